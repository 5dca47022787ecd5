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
