package http1_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/http1"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// dial connects to a server that serves the connection by a function.
func dial(t *testing.T, serve func(*rawserver.Conn)) *http1.Conn {
	t.Helper()
	server, err := rawserver.Start(serve)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return http1.NewConn(conn)
}

// Guards against a read after a failed one that returns io.EOF, as the kernel returns an
// error once.
func TestErrorIsReturnedAgain(t *testing.T) {
	conn := dial(t, func(c *rawserver.Conn) {
		time.Sleep(rawserver.Pause)
		c.Reset()
	})
	for range 2 {
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against a clean end because a write returned the error of the connection.
func TestErrorOfAWriteIsReturnedToTheReader(t *testing.T) {
	conn := dial(t, func(c *rawserver.Conn) {
		time.Sleep(rawserver.Pause)
		c.Reset()
	})
	time.Sleep(4 * rawserver.Pause)
	_, err := conn.Write([]byte("x"))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	for range 2 {
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against a clean end that is taken for a broken one because the server refuses the
// rest of a request, and against a reader that waits for a write in progress.
func TestCleanEndDuringAWrite(t *testing.T) {
	for name, reset := range map[string]bool{"blocked write": false, "refused write": true} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			conn := dial(t, func(c *rawserver.Conn) {
				c.CloseWrite()
				time.Sleep(rawserver.Pause)
				if reset {
					c.Reset()
				}
				<-release
			})
			defer close(release)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, 16<<20))
				written <- err
			}()
			time.Sleep(4 * rawserver.Pause)
			_, err := conn.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err)
			require.Error(t, <-written)
		})
	}
}
