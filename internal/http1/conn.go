// Package http1 has the client side of HTTP/1.1 connections. Everything that reads responses
// over HTTP/1.1 reads them through a Conn, which turns a broken response that net/http takes
// for a complete one into an error.
package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is the client side of a connection. Reads return io.EOF only if the server closed the
// connection cleanly. One goroutine reads and one writes, as with net/http.
type Conn struct {
	net.Conn
	responses checker

	// readErr is the error of the first failed read. The kernel returns the error of a
	// connection only once; the next read would look like a clean end.
	readErr error

	writing sync.Mutex // held during a write
	// writeErr is the error of the connection that a write returned.
	writeErr error
}

// NewConn returns a Conn over an established connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	n, malformed := c.responses.check(p[:n])
	if malformed != nil {
		err = malformed
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	if n > 0 {
		return n, nil // the next read returns the error
	}
	return 0, err
}

// Expect sets the method of the request that is written next. It is needed for HEAD only.
func (c *Conn) Expect(method string) { c.responses.headRequest.Store(method == http.MethodHead) }

// Broken reports whether a read has failed, so that the connection cannot be used again. It
// must not be called during a read.
func (c *Conn) Broken() bool { return c.readErr != nil }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil && isConnectionError(err) {
		c.writeErr = err
	}
	return n, err
}

// end returns io.EOF if the connection ended cleanly. The kernel returns the error of a broken
// connection to whichever of reader and writer asks first, and the other then sees the end of
// the data. A write in progress is stopped to learn its result; after the end of its response,
// the rest of a request is of no use.
func (c *Conn) end() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where no write waits
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("connection broke while the request was written: %w", c.writeErr)
	}
	return io.EOF
}

// isConnectionError reports whether a write met an error of the connection that a read has
// not returned. EPIPE is none: the server had closed its side before it refused further data,
// or a read has returned the error.
func isConnectionError(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
