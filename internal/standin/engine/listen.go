package engine

import (
	"github.com/basilloom/basilloom/internal/standin/httpserver"
)

// Server is an engine that listens at a TCP address.
type Server struct {
	*Engine
	server *httpserver.Server
}

// Listen starts an engine at a TCP address, which may have port 0. Unless
// settings.OnCrash is set, a crash resets all connections and closes the
// listener, and Restart opens it again.
func Listen(address string, settings Settings) (*Server, error) {
	s := &Server{}
	if settings.OnCrash == nil {
		settings.OnCrash = func() { s.server.Abort() }
		settings.OnRestart = func() error { return s.server.Start() }
	}
	s.Engine = New(settings)
	s.server = httpserver.New(address, s.Engine)
	if err := s.server.Start(); err != nil {
		s.Engine.Close()
		return nil, err
	}
	return s, nil
}

// Address returns the listening address with the actual port.
func (s *Server) Address() string {
	return s.server.Address()
}

// Close stops the engine and resets its connections.
func (s *Server) Close() {
	s.server.Abort()
	s.Engine.Close()
}
