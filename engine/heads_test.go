package engine

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// callRaw returns the response of a target that answers with the text, and its body.
func callRaw(t *testing.T, client *Client, target Target, method string) (*http.Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := client.Call(ctx, target, ServiceRequest{ID: "1", Method: method, Path: "/", Body: []byte("x")})
	if err != nil {
		require.NoError(t, ctx.Err(), "the target's bytes must be refused before the deadline")
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	require.NoError(t, ctx.Err(), "the target's bytes must be refused before the deadline")
	return response, string(body), err
}

func requireNoResponses(t *testing.T, texts []rawserver.Text) {
	t.Helper()
	for _, broken := range texts {
		t.Run(broken.Name, func(t *testing.T) {
			t.Parallel()
			client := NewClient()
			defer client.Close()
			_, body, err := callRaw(t, client, startRaw(t, rawserver.Reply(broken.With(""))), http.MethodPost)
			require.Error(t, err, "taken for a response with the body %q", body)
		})
	}
}

// Guards against a response with a status that is none.
func TestResponseWithABrokenStatus(t *testing.T) { requireNoResponses(t, rawserver.BrokenStatuses) }

// Guards against a response with a field line that is not one of the protocol.
func TestResponseWithABrokenField(t *testing.T) { requireNoResponses(t, rawserver.BrokenFields) }

// Guards against a response whose end is not where its target puts it.
func TestResponseWithBrokenFraming(t *testing.T) { requireNoResponses(t, rawserver.BrokenFraming) }

// Guards against a sound response that is refused, also on a connection that is used again.
func TestSoundResponses(t *testing.T) {
	for _, sound := range rawserver.Sound {
		t.Run(sound.Name, func(t *testing.T) {
			t.Parallel()
			client := NewClient()
			defer client.Close()
			target := startRaw(t, rawserver.Reply(sound.With("")))
			for range 3 {
				response, body, err := callRaw(t, client, target, http.MethodPost)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, rawserver.SoundBody, body)
			}
		})
	}
	t.Run("HEAD", func(t *testing.T) {
		t.Parallel()
		client := NewClient()
		defer client.Close()
		target := startRaw(t, rawserver.Reply("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"))
		for range 3 {
			_, body, err := callRaw(t, client, target, http.MethodHead)
			require.NoError(t, err)
			require.Empty(t, body)
		}
	})
}
