// Package httpserver serves an HTTP handler over TCP and simulates server failures:
// it can abort connections, and close the listener and open it again.
package httpserver

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout limits the time to read the headers of a request.
const headerTimeout = 30 * time.Second

// Server serves one handler at one address.
type Server struct {
	handler http.Handler
	address string

	mu       sync.Mutex
	server   *http.Server // nil while not listening
	listener net.Listener
	conns    map[net.Conn]http.ConnState
}

// New returns a server for a TCP address, which may have port 0. Call Start to
// listen.
func New(address string, handler http.Handler) *Server {
	return &Server{handler: handler, address: address, conns: make(map[net.Conn]http.ConnState)}
}

// Address returns the address, which has the actual port once Start has returned.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens. After Abort it listens at the same address again. It has no effect
// if the server is already listening.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", s.address, err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         s.track,
	}
	s.server, s.listener = server, listener
	go func() {
		_ = server.Serve(listener) // always returns an error once the listener is closed
	}()
	return nil
}

// Abort resets all connections and refuses new ones until Start. The listener is
// closed first, so that a client that sees the reset cannot connect again.
func (s *Server) Abort() {
	s.mu.Lock()
	server, listener := s.server, s.listener
	s.server, s.listener = nil, nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	_ = listener.Close() // fails only if it is already closed
	s.mu.Lock()
	conns := s.connsInState(http.StateNew, http.StateActive, http.StateIdle)
	s.mu.Unlock()
	for _, conn := range conns {
		reset(conn)
	}
	_ = server.Close() // the listener is already closed
}

// CloseIdle closes the connections without a current request, as a server does
// after its idle timeout, and returns their number.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	conns := s.connsInState(http.StateIdle)
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the client may have closed it
	}
	return len(conns)
}

// connsInState returns the connections in any of the given states.
func (s *Server) connsInState(states ...http.ConnState) []net.Conn {
	var conns []net.Conn
	for conn, state := range s.conns {
		for _, wanted := range states {
			if state == wanted {
				conns = append(conns, conn)
			}
		}
	}
	return conns
}

func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = state
}

// reset closes a connection so that the peer sees a reset instead of end of file.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if it is already closed
	}
	_ = conn.Close()
}
