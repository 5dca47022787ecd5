package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unusedConnTimeout is how long a new connection may wait for its first request before it
	// counts as idle.
	unusedConnTimeout = 5 * time.Second
	// idleCheckPeriod is the interval between checks for connections that became idle.
	idleCheckPeriod = 50 * time.Millisecond
)

// Conns tracks the connections of a server, so that a shutdown can close the idle
// ones and limits can close those without a request. http.Server.Shutdown closes a connection
// whose request has been read but not yet parsed; the request is then passed on and its response
// has nowhere to go. The zero value is ready to use and has no limits.
type Conns struct {
	mu    sync.Mutex
	conns map[*trackedConn]bool

	limits atomic.Pointer[Limits]
	closed closings
	// unfinished is the memory reserved for heads that have not ended.
	unfinished atomic.Int64
}

// Listener wraps the server's listener, so that its connections can be tracked.
func (c *Conns) Listener(inner net.Listener) net.Listener {
	return trackedListener{Listener: inner, conns: c}
}

type trackedListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		conn := &trackedConn{Conn: inner, conns: l.conns, acceptedAt: now, since: now}
		if l.conns.admit(conn) {
			return conn, nil
		}
		_ = inner.Close() // the caller is refused without a response
	}
}

func (c *Conns) add(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[*trackedConn]bool)
	}
	c.conns[conn] = true
}

func (c *Conns) remove(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// all returns the open connections.
func (c *Conns) all() []*trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*trackedConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// Observe is the server's ConnState hook.
func (c *Conns) Observe(tracked net.Conn, state http.ConnState) {
	conn, ok := tracked.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.setActive()
	case http.StateIdle:
		conn.setIdle()
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
		conn.release()
	}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// CloseIdle closes connections as they become idle, until all are closed or ctx ends. The
// server must not accept any more.
func (c *Conns) CloseIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckPeriod)
	defer ticker.Stop()
	for {
		c.closeIdle(time.Now())
		if c.Open() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// closeIdle closes the connections on which no request has begun.
func (c *Conns) closeIdle(now time.Time) {
	for _, conn := range c.all() {
		conn.closeIfIdle(now)
	}
}
