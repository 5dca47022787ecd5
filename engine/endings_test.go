package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// uploadBytes is more than the socket buffers hold, so that an upload that is not read is
// still being written.
const uploadBytes = 16 << 20

func startRaw(t *testing.T, serve func(*rawserver.Conn)) Target {
	t.Helper()
	server, err := rawserver.Start(serve)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return Target{Name: "raw", Address: "http://" + server.Address()}
}

// Guards against a whole response that is lost because its target does not read the rest of
// the upload.
func TestResponseBeforeARefusedUpload(t *testing.T) {
	text := strings.Repeat("a response that is read late ", 1_000)
	lengths := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", len(text)), "no length": ""}
	for name, length := range lengths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startRaw(t, func(c *rawserver.Conn) {
				if _, err := c.Request(); err == nil {
					c.Send("HTTP/1.1 200 OK\r\n" + length + "\r\n" + text)
					c.CloseWrite()
					time.Sleep(rawserver.Pause)
					c.Reset()
				}
			})
			client := NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			request := ServiceRequest{ID: "1", Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes)}
			response, err := client.Call(ctx, target, request)
			require.NoError(t, err)
			time.Sleep(4 * rawserver.Pause)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, text, string(body))
		})
	}
}

// Guards against a part of a response that is taken for the whole one because the connection
// broke while the request was written, and against a whole one that is taken for broken.
func TestResponseWithoutLengthEndsCleanly(t *testing.T) {
	const head, text = "HTTP/1.1 200 OK\r\n\r\n", "a response without a length"
	upload := []byte(strings.Repeat("x", uploadBytes))
	for _, ending := range rawserver.Endings {
		// A late reader leaves the error of the connection to the writer.
		for reader, lag := range map[string]time.Duration{"early reader": 0, "late reader": 4 * rawserver.Pause} {
			t.Run(ending.Name+"/"+reader, func(t *testing.T) {
				t.Parallel()
				target := startRaw(t, func(c *rawserver.Conn) { ending.Serve(c, head+text) })
				client := NewClient()
				defer client.Close()
				for range 5 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					response, err := client.Call(ctx, target, ServiceRequest{ID: "1", Method: http.MethodPost, Path: "/", Body: upload})
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
