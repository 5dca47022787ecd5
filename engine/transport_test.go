package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closingServer responds to the first request of each connection. It reads the
// second and closes the connection without a response.
type closingServer struct {
	listener net.Listener
	mu       sync.Mutex
	received map[string]int
}

func startClosingServer(t *testing.T) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &closingServer{listener: listener, received: make(map[string]int)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.received[req.Header.Get("X-Request-Id")]++
		s.mu.Unlock()
		if i > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *closingServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

func (s *closingServer) request(t *testing.T, method, id string) *http.Request {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.listener.Addr().String()+"/", nil)
	require.NoError(t, err)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", id)
	return req
}

// Shows the fault that Transport prevents: http.Transport silently sends a request
// with a rewindable body a second time.
func TestPlainTransportReplays(t *testing.T) {
	s := startClosingServer(t)
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	send := func(id string) {
		req := s.request(t, http.MethodPost, id)
		req.Body = io.NopCloser(bytes.NewReader([]byte("body")))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader([]byte("body"))), nil }
		req.ContentLength = 4
		resp, err := base.RoundTrip(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	send("warm")
	send("second")
	require.Equal(t, 2, s.count("second"))
}

// Guards against a silent second dispatch after the server closed a reused connection.
func TestTransportNeverReplays(t *testing.T) {
	tests := []struct {
		name   string
		method string
		body   []byte
	}{
		{"post with body", http.MethodPost, []byte("body")},
		{"post without body", http.MethodPost, nil},
		{"get without body", http.MethodGet, nil},
		{"delete without body", http.MethodDelete, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startClosingServer(t)
			transport := NewTransport()
			defer transport.Close()
			resp, err := transport.RoundTrip(s.request(t, tt.method, "warm"), tt.body)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			_, err = transport.RoundTrip(s.request(t, tt.method, "second"), tt.body)
			var dispatchErr *DispatchError
			require.ErrorAs(t, err, &dispatchErr)
			require.True(t, dispatchErr.Written)
			require.True(t, dispatchErr.Broken)
			require.Equal(t, 1, s.count("second"))
		})
	}
}

// Guards against reporting a failed dial as written, which would prevent a safe retry.
func TestFailedDialIsNotWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	transport := NewTransport()
	defer transport.Close()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = transport.RoundTrip(req, []byte("x"))
	var dispatchErr *DispatchError
	require.ErrorAs(t, err, &dispatchErr)
	require.True(t, dispatchErr.SafeToRetry())
	require.False(t, dispatchErr.Broken)
}

// Guards against reporting a request as not run if it timed out after being sent.
func TestTimeoutAfterWriteIsWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	transport := NewTransport()
	defer transport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/", nil)
	require.NoError(t, err)
	_, err = transport.RoundTrip(req, []byte("x"))
	var dispatchErr *DispatchError
	require.True(t, errors.As(err, &dispatchErr))
	require.True(t, dispatchErr.Written)
	require.False(t, dispatchErr.Broken)
}

// Guards against mistaking an unreachable target for a crashed one. The requests
// that ran on a crashed target are suspected of having caused the crash.
func TestRefusesConnections(t *testing.T) {
	client := NewClient()
	t.Cleanup(client.Close)
	refuses := func(address string) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		return client.RefusesConnections(ctx, Target{Address: "http://" + address})
	}
	responding := httptest.NewServer(http.NotFoundHandler())
	defer responding.Close()
	require.False(t, refuses(responding.Listener.Addr().String()))

	resetting, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := resetting.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	require.False(t, refuses(resetting.Addr().String()))
	require.NoError(t, resetting.Close())
	require.True(t, refuses(resetting.Addr().String()))
}
