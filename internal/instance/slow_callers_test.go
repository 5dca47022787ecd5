package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/worker"
)

// slowCallerTimeout is the timeout of requests of slow callers, slowCallerEnd the time by
// which they must have ended.
const (
	slowCallerTimeout = time.Second
	slowCallerEnd     = 2500 * time.Millisecond
)

// dialCaller connects as a caller and sends the beginning of a request.
func (n *node) dialCaller(t *testing.T, head string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.settings.Load().Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s\r\nHost: %s\r\nRequest-Id: slow\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		head, testHost, slowCallerTimeout.Milliseconds(), testKey)
	require.NoError(t, err)
	return conn
}

// requireEnded checks that no request is in flight by slowCallerEnd.
func (n *node) requireEnded(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), slowCallerEnd)
	defer cancel()
	require.NoError(t, n.gateway.Wait(ctx))
}

// Guards against requests that stay for as long as their callers keep a connection open and
// send no more of the body.
func TestBodyThatStallsIsRefused(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	w := env.worker("w-a", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	for _, framing := range []string{"Content-Length: 100\r\n\r\nbegun", "Transfer-Encoding: chunked\r\n\r\n5\r\nbegun"} {
		conn := n.dialCaller(t, "POST /unsafe/1 HTTP/1.1")
		_, err := fmt.Fprint(conn, framing)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(slowCallerEnd)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
		n.requireEnded(t)
	}
	require.Empty(t, w.Runs())
}

// Guards against requests that stay for as long as their callers keep a connection open and do
// not read the response.
func TestCallerThatDoesNotReadIsLeft(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	endless := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		rw.Header().Set("Response-Seal", "s")
		rw.Header().Set("Content-Type", "text/event-stream")
		event := make([]byte, 64<<10)
		copy(event, "data: ")
		copy(event[len(event)-2:], "\n\n")
		for {
			if _, err := rw.Write(event); err != nil {
				return
			}
		}
	})}
	go func() { _ = endless.Serve(listener) }()
	t.Cleanup(func() { _ = endless.Close() })
	env.registerAddress("w-endless", listener.Addr().String())
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	conn := n.dialCaller(t, "GET /stream/1 HTTP/1.1")
	_, err = fmt.Fprint(conn, "\r\n")
	require.NoError(t, err)
	time.Sleep(slowCallerTimeout / 2)
	n.requireEnded(t)
}

// Guards against a deadline that a request leaves on its connection: the next request on it
// would be cut.
func TestNextRequestOnAConnectionHasItsOwnTime(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.worker("w-a", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	conn := n.dialCaller(t, "POST /safe/1 HTTP/1.1")
	reader := bufio.NewReader(conn)
	const body = "Content-Length: 4\r\n\r\nbody"
	_, err := fmt.Fprint(conn, body)
	require.NoError(t, err)
	for k := range 2 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		if k > 0 {
			return
		}
		time.Sleep(2 * slowCallerTimeout)
		_, err = fmt.Fprintf(conn, "POST /safe/2 HTTP/1.1\r\nHost: %s\r\nRequest-Id: next\r\nDeadline-Ms: 3000\r\nAuthorization: Token %s\r\n%s", testHost, testKey, body)
		require.NoError(t, err)
	}
}
