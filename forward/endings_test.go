package forward_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/forward"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// uploadBytes is more than the socket buffers hold, so that an upload that is not read is
// still being written.
const uploadBytes = 16 << 20

func startRaw(t *testing.T, serve func(*rawserver.Conn)) forward.Target {
	t.Helper()
	server, err := rawserver.Start(serve)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return forward.Target{ID: "raw", Address: server.Address()}
}

// Guards against a part of a response that is taken for the whole one because the connection
// broke while the request was written.
func TestResponseWithoutLengthEndsCleanly(t *testing.T) {
	const head, text = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", "a response without a length"
	upload := strings.Repeat("x", uploadBytes)
	for _, ending := range rawserver.Endings {
		// A late reader leaves the error of the connection to the writer.
		for reader, lag := range map[string]time.Duration{"early reader": 0, "late reader": 4 * rawserver.Pause} {
			t.Run(ending.Name+"/"+reader, func(t *testing.T) {
				t.Parallel()
				target := startRaw(t, func(c *rawserver.Conn) { ending.Serve(c, head+text) })
				p := forward.NewPool()
				defer p.Close()
				for range 5 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					response, err := p.Do(ctx, target, request("1", upload))
					if err != nil {
						require.False(t, ending.Clean, err)
						continue
					}
					time.Sleep(lag)
					body, err := io.ReadAll(response.Body)
					require.NoError(t, response.Body.Close())
					require.NoError(t, ctx.Err())
					if ending.Clean {
						require.NoError(t, err)
						require.Equal(t, text, string(body))
						continue
					}
					require.Error(t, err, "%d bytes of the response were taken for the whole", len(body))
				}
			})
		}
	}
}

// Guards against a response with a length that is lost because its target does not read the
// rest of the upload.
func TestResponseWithLengthBeforeAReset(t *testing.T) {
	target := startRaw(t, func(c *rawserver.Conn) {
		if _, err := c.Request(); err == nil {
			c.Send("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nearly")
			time.Sleep(rawserver.Pause)
			c.Reset()
		}
	})
	p := forward.NewPool()
	defer p.Close()
	response, err := p.Do(t.Context(), target, request("1", strings.Repeat("x", uploadBytes)))
	require.NoError(t, err)
	time.Sleep(4 * rawserver.Pause)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, "early", string(body))
}
