// Package httpserver serves a stand-in's handler over TCP in a way that can be
// broken: connections can be aborted and the listener closed and opened again.
package httpserver

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time to read the headers of a request.
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

// New returns a server for a TCP address, which may have port 0. It does not
// listen before Start.
func New(address string, handler http.Handler) *Server {
	return &Server{handler: handler, address: address, conns: make(map[net.Conn]http.ConnState)}
}

// Address returns the address, after Start with the actual port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens, after Abort at the same address as before. It has no effect
// while listening.
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
		_ = server.Serve(listener) // always ends with an error when the listener is closed
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
	_ = listener.Close() // fails only when it is closed already
	s.mu.Lock()
	conns := s.connsIn(http.StateNew, http.StateActive, http.StateIdle)
	s.mu.Unlock()
	for _, conn := range conns {
		reset(conn)
	}
	_ = server.Close() // the listener is closed already
}

// CloseIdle closes the connections without a request, as a server does at its
// idle timeout, and returns their number.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	conns := s.connsIn(http.StateIdle)
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the client may have closed it
	}
	return len(conns)
}

// connsIn returns the connections in one of the states.
func (s *Server) connsIn(states ...http.ConnState) []net.Conn {
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

// reset closes a connection so that the peer sees a reset and not an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only when it is closed already
	}
	_ = conn.Close()
}
