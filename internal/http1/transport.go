package http1

import (
	"context"
	"net"
	"sync"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext returns a function for http.Transport that opens a connection with dial and
// reads responses through a Conn.
func DialContext(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewTransportConn(conn), nil
	}
}

// TransportConn is a Conn for http.Transport, which closes a connection when a write fails and
// so loses a response that the server sent before it refused the rest of the request. A failed
// write returns when the reader has met the end of the connection, or it was closed. The reader
// does not wait for a broken connection: it reads what has arrived and then the end.
type TransportConn struct {
	*Conn
	ended chan struct{}
	once  sync.Once
}

// NewTransportConn returns a TransportConn over an established connection.
func NewTransportConn(conn net.Conn) *TransportConn {
	return &TransportConn{Conn: NewConn(conn), ended: make(chan struct{})}
}

func (c *TransportConn) end() { c.once.Do(func() { close(c.ended) }) }

// Read implements net.Conn.
func (c *TransportConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *TransportConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// Close implements net.Conn.
func (c *TransportConn) Close() error {
	c.end()
	return c.Conn.Close()
}
