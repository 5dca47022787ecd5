// Package rawserver simulates a server that writes any bytes as its responses and ends its
// connections in any way.
package rawserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Server is a running server.
type Server struct {
	Listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start listens on a free port of the loopback interface. The server calls serve for each
// connection and then closes it.
func Start(serve func(*Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Listener: listener, conns: make(map[net.Conn]bool)}
	go s.accept(serve)
	return s, nil
}

func (s *Server) accept(serve func(*Conn)) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			defer func() { _ = conn.Close() }()
			serve(&Conn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)})
		}()
	}
}

// Address returns the listening address.
func (s *Server) Address() string { return s.Listener.Addr().String() }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Conn is the server's side of a connection.
type Conn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// Request reads the head of the next request. Its body is read from the connection.
func (c *Conn) Request() (*http.Request, error) { return http.ReadRequest(c.reader) }

// Send writes text. It ignores errors, as a client may close the connection at any time.
func (c *Conn) Send(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// Reset ends the connection without a clean end.
func (c *Conn) Reset() {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

// AwaitUnread waits until the connection holds data that has not been read. Closing it then
// resets it; without such data it would end cleanly.
func (c *Conn) AwaitUnread() {
	raw, err := c.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// CloseWrite ends the responses cleanly. The connection still takes requests.
func (c *Conn) CloseWrite() { _ = c.TCPConn.CloseWrite() }

// Drain reads until the client closes the connection.
func (c *Conn) Drain() { _, _ = io.Copy(io.Discard, c.reader) }

// Reply returns a function for Start that reads each request whole and answers it with the text.
func Reply(text string) func(*Conn) {
	return func(c *Conn) {
		for {
			r, err := c.Request()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			c.Send(text)
		}
	}
}
