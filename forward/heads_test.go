package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/forward"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// ownFields identify the response to the request with the id 1.
const ownFields = "Request-Id: 1\r\n"

// respond sends the request once and returns the response and its body.
func respond(t *testing.T, p *forward.Pool, target forward.Target, r *forward.Request) (*forward.Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := p.Do(ctx, target, r)
	if err != nil {
		require.NoError(t, ctx.Err(), "the target's bytes must be refused before the deadline")
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	require.NoError(t, ctx.Err(), "the target's bytes must be refused before the deadline")
	return response, string(body), err
}

func requireNoResponse(t *testing.T, text string) {
	t.Helper()
	target := startRaw(t, rawserver.Reply(text))
	p := forward.NewPool()
	defer p.Close()
	for _, r := range []*forward.Request{request("1", "short"), request("1", strings.Repeat("x", 64<<10))} {
		_, body, err := respond(t, p, target, r)
		require.Error(t, err, "taken for a response with the body %q", body)
	}
}

// requireNoResponses checks that none of the texts is taken for a response, as the one to the
// request or as one that is discarded.
func requireNoResponses(t *testing.T, texts []rawserver.Text) {
	t.Helper()
	for _, broken := range texts {
		t.Run(broken.Name, func(t *testing.T) {
			t.Parallel()
			requireNoResponse(t, broken.With(ownFields))
		})
		t.Run(broken.Name+", discarded response", func(t *testing.T) {
			t.Parallel()
			requireNoResponse(t, broken.With("Request-Id: other\r\n")+rawserver.Sound[0].With(ownFields))
		})
	}
}

// Guards against a response with a status that is none, and against bytes of another protocol
// after a response that is discarded.
func TestResponseWithABrokenStatus(t *testing.T) { requireNoResponses(t, rawserver.BrokenStatuses) }

// Guards against a sound response that is refused, also after other responses and on a
// connection that is used again.
func TestSoundResponses(t *testing.T) {
	for _, sound := range rawserver.Sound {
		for name, before := range map[string]string{"": "", ", after another response": sound.With("Request-Id: other\r\n")} {
			if strings.HasPrefix(before, "HTTP/1.0") {
				continue // a response of HTTP/1.0 is the last one on its connection
			}
			t.Run(sound.Name+name, func(t *testing.T) {
				t.Parallel()
				target := startRaw(t, rawserver.Reply(before+sound.With(ownFields)))
				p := forward.NewPool()
				defer p.Close()
				for range 3 {
					response, body, err := respond(t, p, target, request("1", "x"))
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.Equal(t, rawserver.SoundBody, body)
				}
			})
		}
	}
}

// Guards against a body that is expected after a response without one.
func TestSoundResponsesWithoutABody(t *testing.T) {
	for name, c := range map[string]struct{ method, text string }{
		"HEAD with a length": {http.MethodHead, "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 5\r\n\r\n"},
		"HEAD with chunks":   {http.MethodHead, "HTTP/1.1 200 OK\r\n" + ownFields + "Transfer-Encoding: chunked\r\n\r\n"},
		"HEAD":               {http.MethodHead, "HTTP/1.1 200 OK\r\n" + ownFields + "\r\n"},
		"no content":         {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + ownFields + "\r\n"},
		"no content, length": {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + ownFields + "Content-Length: 0\r\n\r\n"},
		"not modified":       {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + ownFields + "Content-Length: 5\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startRaw(t, rawserver.Reply(c.text))
			p := forward.NewPool()
			defer p.Close()
			for range 3 {
				r := request("1", "")
				r.Method = c.method
				_, body, err := respond(t, p, target, r)
				require.NoError(t, err)
				require.Empty(t, body)
			}
			require.EqualValues(t, 1, p.Stats().Opened)
		})
	}
}

// Guards against a connection that is used again after bytes that are not a response.
func TestConnectionWithAMalformedLineIsNotReused(t *testing.T) {
	target := startRaw(t, rawserver.Reply(rawserver.Sound[0].With(ownFields)+"no response\r\n"))
	p := forward.NewPool()
	defer p.Close()
	for range 3 {
		_, body, err := respond(t, p, target, request("1", "x"))
		require.NoError(t, err)
		require.Equal(t, rawserver.SoundBody, body)
		time.Sleep(rawserver.Pause)
	}
	require.EqualValues(t, 3, p.Stats().Opened)
}

// Guards against a response with a field line that is not one of the protocol.
func TestResponseWithABrokenField(t *testing.T) { requireNoResponses(t, rawserver.BrokenFields) }

// Guards against a response whose end is not where its target puts it.
func TestResponseWithBrokenFraming(t *testing.T) { requireNoResponses(t, rawserver.BrokenFraming) }
