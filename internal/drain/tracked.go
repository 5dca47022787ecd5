package drain

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// phaseUnused connections have sent nothing since they were accepted.
	phaseUnused phase = iota
	// phaseHead connections have sent a part of a request's head.
	phaseHead
	// phaseBody connections have sent a whole head. Their request is not in work: its body may
	// be unfinished, or it is refused.
	phaseBody
	// phaseWork connections have a request in work.
	phaseWork
	// phaseIdle connections wait for the next request.
	phaseIdle
)

// trackedConn is a connection that is either read or closed while it is idle, never both.
type trackedConn struct {
	net.Conn
	conns      *Conns
	acceptedAt time.Time

	mu sync.Mutex
	// used is set once a byte was read. busy is set from the first byte of a request until
	// the server has sent the response.
	used, busy, closed bool
	phase              phase
	// since is when the phase began.
	since time.Time
	head  headCounter
	// base and headBytes are the bytes reserved for the connection and for the head of its
	// request.
	base, headBytes int64
	// received is the number of bytes read. trusted is set once the peer has proved that it
	// is an instance.
	received         int64
	trusted          bool
	hasWriteDeadline atomic.Bool
}

// Read implements net.Conn. Bytes that arrive while the connection is closed as idle are
// dropped, so that their request is not served.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.count(p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. A caller that does not read is left after writeTimeout unless the
// server has set a deadline.
func (c *trackedConn) Write(p []byte) (int, error) {
	if limits := c.conns.limits.Load(); limits == nil || limits.Budget == nil || c.hasWriteDeadline.Load() {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *trackedConn) SetWriteDeadline(deadline time.Time) error {
	c.hasWriteDeadline.Store(!deadline.IsZero())
	return c.Conn.SetWriteDeadline(deadline)
}

// count counts bytes that were read. It returns false if the connection is closed.
func (c *trackedConn) count(p []byte) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.used, c.busy = true, true
	c.received += int64(len(p))
	if c.phase == phaseUnused || c.phase == phaseIdle {
		c.phase, c.since, c.head = phaseHead, time.Now(), headCounter{}
	}
	cost := int64(0)
	if c.phase == phaseHead {
		cost = c.head.count(p)
	}
	received, headSize, trusted := c.received, c.head.bytes, c.trusted
	c.mu.Unlock()
	limits := c.conns.limits.Load()
	if limits == nil {
		return true
	}
	if limits.UntrustedBytes > 0 && !trusted && received > limits.UntrustedBytes {
		return !c.conns.close(c, CauseUntrusted, anyPhase)
	}
	if limits.HeadBytes > 0 && headSize > limits.HeadBytes {
		c.refuseHead()
		return !c.conns.close(c, CauseHeadSize, inHead)
	}
	return c.conns.charge(c, cost)
}

// refuseHead writes the response to a head that is too large. No response is in progress, as
// the server sends the last one before it reads the next head.
func (c *trackedConn) refuseHead() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, headTooLarge) // the caller may have disconnected
}

func (c *trackedConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHead()
	c.phase, c.since, c.head = phaseBody, time.Now(), headCounter{}
}

func (c *trackedConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.releaseHead()
	c.phase, c.since = phaseIdle, time.Now()
}

// beginWork begins the work on a request whose body was read. It returns false if the connection
// is closed.
func (c *trackedConn) beginWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.phase, c.since = phaseWork, time.Now()
	return true
}

// endHead ends the count of the head among the unfinished ones. The caller holds the lock.
func (c *trackedConn) endHead() {
	if c.phase == phaseHead {
		c.conns.unfinished.Add(-c.headBytes)
	}
}

// releaseHead releases what is reserved for the head. The caller holds the lock.
func (c *trackedConn) releaseHead() {
	c.endHead()
	c.conns.release(c.headBytes)
	c.headBytes = 0
}

// release releases all that is reserved for the connection.
func (c *trackedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.releaseHead()
	c.conns.release(c.base)
	c.base = 0
}

func (c *trackedConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed || !c.used && now.Sub(c.acceptedAt) < unusedConnTimeout {
		return
	}
	c.closed = true
	_ = c.Close() // the server's read fails and removes the connection
}

// closeIf closes the connection if it is in a phase that allows it, and releases what is
// reserved for it. It returns false if the connection stays open.
func (c *trackedConn) closeIf(allowed func(phase) bool) bool {
	c.mu.Lock()
	if c.closed || !allowed(c.phase) {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.mu.Unlock()
	c.conns.remove(c)
	c.release()
	_ = c.Close() // the server's read fails
	return true
}

func (c *trackedConn) state() (p phase, since time.Time, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since, c.closed
}

// headCounter counts the bytes and the lines of a head.
type headCounter struct {
	bytes int64
	// lineBytes is the length of the current line without its end.
	lineBytes int64
	// begun is set once a line that is not empty was read, ended after the empty line at the
	// end of the head.
	begun, ended bool
}

// count counts bytes and returns the memory that the server holds for them. Bytes after the
// head belong to the body.
func (h *headCounter) count(p []byte) int64 {
	h.bytes += int64(len(p))
	cost := int64(0)
	for _, b := range p {
		if h.ended {
			break
		}
		cost += headByteCost
		switch {
		case b == '\n':
			h.ended = h.begun && h.lineBytes == 0
			h.begun = h.begun || h.lineBytes > 0
			h.lineBytes = 0
			cost += headLineCost
		case b != '\r':
			h.lineBytes++
		}
	}
	return cost
}
