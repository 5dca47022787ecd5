package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/telemetry/field"
)

// Memory of a connection.
const (
	// connCost is what an open connection holds without a request: two goroutine stacks, the
	// server's read and write buffers and the kernel's structures.
	connCost = 16 << 10
	// headByteCost and headLineCost are what the server holds for a byte and a line of a head:
	// a line is copied twice, and each header has an entry in a map.
	headByteCost = 2
	headLineCost = 128
	// receiveBuffer and sendBuffer bound the bytes that the kernel holds for a connection, which
	// it enlarges to some megabytes otherwise. Linux reserves twice as much. They are set once:
	// with a receive buffer that shrank while a request was in work, 1 of 12 large bodies on a
	// kept connection stalled for 30 s.
	receiveBuffer = 32 << 10
	sendBuffer    = 32 << 10
	writePart     = 64 << 10
)

const (
	// writeTimeout bounds the writing of writePart bytes if the server has set no deadline.
	writeTimeout = 30 * time.Second
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = 50 * time.Millisecond
	// sweepPeriod is the interval between checks of the connections' ages.
	sweepPeriod = 250 * time.Millisecond
	// closingsLogPeriod is the interval between log lines on closed connections.
	closingsLogPeriod = 10 * time.Second
)

// headTooLarge is the response to a head that is too large.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Budget is the memory that connections share with requests.
type Budget interface {
	// Reserve adds bytes, or returns false if there is no room for them.
	Reserve(bytes int64) bool
	// Release removes reserved bytes.
	Release(bytes int64)
}

// Limits bounds what connections without a request in work may hold. A zero value means no
// bound.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// HeadBytes is the largest head; the last read may contain bytes of a body.
	HeadBytes int64
	// HeadMemory is the most memory that all unfinished heads may hold.
	HeadMemory int64
	// HeadTimeout is the longest time from the first byte of a head to its end, UnusedTimeout
	// the longest time from the acceptance to the first byte.
	HeadTimeout, UnusedTimeout time.Duration
	// UntrustedBytes and UntrustedTimeout bound a connection until Trust is called.
	UntrustedBytes   int64
	UntrustedTimeout time.Duration
	// UntrustedConnections is the largest number of connections for which Trust was not
	// called. The oldest one is closed for a new one, also with a request in work.
	UntrustedConnections int
	// Budget is charged for connections and heads. It may not change.
	Budget Budget
}

// Cause is why a connection was refused or closed.
type Cause string

// Causes.
const (
	// CauseMemory is a lack of memory, CauseConnections of connections.
	CauseMemory      Cause = "memory"
	CauseConnections Cause = "connections"
	// CauseHeadSize is a head that is too large, CauseHeadTimeout one that takes too long.
	CauseHeadSize    Cause = "head size"
	CauseHeadTimeout Cause = "head timeout"
	// CauseUnused is a connection that sent nothing.
	CauseUnused Cause = "unused"
	// CauseUntrusted is a connection to the peers' listener that is not an instance's.
	CauseUntrusted Cause = "untrusted"
)

// closings counts closed connections by cause.
type closings struct {
	mu     sync.Mutex
	counts map[Cause]int64
}

func (c *closings) add(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[Cause]int64)
	}
	c.counts[cause]++
}

// Closed returns the number of connections that were refused or closed, by cause.
func (c *Conns) Closed() map[Cause]int64 {
	c.closed.mu.Lock()
	defer c.closed.mu.Unlock()
	counts := make(map[Cause]int64, len(c.closed.counts))
	for cause, n := range c.closed.counts {
		counts[cause] = n
	}
	return counts
}

// SetLimits sets the limits, also of connections that are open.
func (c *Conns) SetLimits(limits Limits) { c.limits.Store(&limits) }

func anyPhase(phase) bool      { return true }
func inHead(p phase) bool      { return p == phaseHead }
func withoutWork(p phase) bool { return p != phaseWork }
func withoutRequest(p phase) bool {
	return p == phaseUnused || p == phaseHead || p == phaseIdle
}

// closingOrder is the order in which connections are closed: unfinished heads first, then idle
// connections, then those with a request that is not in work.
var closingOrder = map[phase]int{phaseHead: 0, phaseUnused: 1, phaseIdle: 1, phaseBody: 2}

// close closes a connection in a phase that allows it, and reports whether it did.
func (c *Conns) close(conn *trackedConn, cause Cause, allowed func(phase) bool) bool {
	if !conn.closeIf(allowed) {
		return false
	}
	c.closed.add(cause)
	return true
}

// admit accepts a connection or refuses it.
func (c *Conns) admit(conn *trackedConn) bool {
	limits := c.limits.Load()
	if limits == nil {
		c.add(conn)
		return true
	}
	for limits.UntrustedConnections > 0 && c.closeOldestUntrusted(limits.UntrustedConnections) {
	}
	for limits.Connections > 0 && c.Open() >= limits.Connections {
		if !c.evictOne(CauseConnections, withoutWork) {
			c.closed.add(CauseConnections)
			return false
		}
	}
	if limits.Budget != nil {
		if !c.reserve(limits, connCost, withoutWork) {
			c.closed.add(CauseMemory)
			return false
		}
		conn.base = connCost
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBuffer) // the kernel's own limits remain
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
	}
	c.add(conn)
	return true
}

// reserve reserves memory, in place of connections in the allowed phases if needed.
func (c *Conns) reserve(limits *Limits, bytes int64, allowed func(phase) bool) bool {
	for !limits.Budget.Reserve(bytes) {
		if !c.evictOne(CauseMemory, allowed) {
			return false
		}
	}
	return true
}

// charge reserves memory for a part of a connection's head. It returns false if the connection
// is closed.
func (c *Conns) charge(conn *trackedConn, bytes int64) bool {
	limits := c.limits.Load()
	if limits == nil || limits.Budget == nil || bytes == 0 {
		return true
	}
	for limits.HeadMemory > 0 && c.unfinished.Load()+bytes > limits.HeadMemory {
		if !c.evictOne(CauseMemory, inHead) {
			break
		}
	}
	if !c.reserve(limits, bytes, withoutRequest) {
		return !c.close(conn, CauseMemory, inHead)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		limits.Budget.Release(bytes)
		return false
	}
	conn.headBytes += bytes
	if conn.phase == phaseHead {
		c.unfinished.Add(bytes)
	}
	return true
}

func (c *Conns) release(bytes int64) {
	if limits := c.limits.Load(); limits != nil && limits.Budget != nil && bytes != 0 {
		limits.Budget.Release(bytes)
	}
}

// Evict closes a connection without a request, for lack of memory. It returns false if there is
// none.
func (c *Conns) Evict() bool { return c.evictOne(CauseMemory, withoutRequest) }

// evictOne closes one connection in a phase that allows it: the one with the oldest unfinished
// head, else the one that has been idle for longest, else the one with the oldest request that
// is not in work. It returns false if there is none.
func (c *Conns) evictOne(cause Cause, allowed func(phase) bool) bool {
	for {
		victim := c.victim(allowed)
		if victim == nil {
			return false
		}
		if c.close(victim, cause, allowed) {
			return true
		}
		// Its request began meanwhile, or it is closed.
	}
}

func (c *Conns) victim(allowed func(phase) bool) *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim *trackedConn
	var victimOrder int
	var victimSince time.Time
	for conn := range c.conns {
		p, since, closed := conn.state()
		if !allowed(p) || closed {
			continue
		}
		order := closingOrder[p]
		if victim == nil || order < victimOrder || order == victimOrder && since.Before(victimSince) {
			victim, victimOrder, victimSince = conn, order, since
		}
	}
	return victim
}

// closeOldestUntrusted closes the oldest untrusted connection if there are as many as allowed.
func (c *Conns) closeOldestUntrusted(allowed int) bool {
	var oldest *trackedConn
	untrusted := 0
	for _, conn := range c.all() {
		if conn.isTrusted() {
			continue
		}
		untrusted++
		if oldest == nil || conn.acceptedAt.Before(oldest.acceptedAt) {
			oldest = conn
		}
	}
	return untrusted >= allowed && c.close(oldest, CauseUntrusted, anyPhase)
}

func (c *trackedConn) isTrusted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trusted
}

type connKey struct{}

// Context is the server's ConnContext hook. Trust, Abort and BeginWork need it.
func (c *Conns) Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Trust marks the connection of a request's context as one of another instance.
func Trust(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.trusted = true
	}
}

// Abort ends the handler of a request whose response is not complete, and its connection.
// Callers of HTTP/1.0 may take the clean end of a connection for the end of the response, so
// theirs is reset.
func Abort(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*trackedConn); ok && !r.ProtoAtLeast(1, 1) {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
	}
	panic(http.ErrAbortHandler)
}

// BeginWork marks the connection of a request's context as one with a request in work, which is
// not closed at a limit. A handler calls it when it has read the body. It returns false if the
// connection is closed already; the request must not run then.
func BeginWork(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*trackedConn)
	return !ok || conn.beginWork()
}

// Working wraps a handler whose requests are in work from their beginning.
func Working(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if BeginWork(r.Context()) {
			next.ServeHTTP(w, r)
		}
	})
}

// Run closes connections that are too old, and logs the closings, until ctx ends.
func (c *Conns) Run(ctx context.Context, listener string, log *zap.Logger) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	logged := c.Closed()
	var loggedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.sweep(now)
			if now.Sub(loggedAt) < closingsLogPeriod {
				continue
			}
			counts := c.Closed()
			for cause, n := range counts {
				if n > logged[cause] {
					loggedAt = now
					log.Warn("connections closed at a limit", zap.String(field.Listener, listener),
						zap.String(field.Cause, string(cause)), zap.Int64(field.Connections, n-logged[cause]))
				}
			}
			logged = counts
		}
	}
}

func (c *Conns) sweep(now time.Time) {
	limits := c.limits.Load()
	if limits == nil {
		return
	}
	expired := func(timeout time.Duration, since time.Time) bool { return timeout > 0 && now.Sub(since) > timeout }
	for _, conn := range c.all() {
		p, since, _ := conn.state()
		switch {
		case p == phaseHead && expired(limits.HeadTimeout, since):
			c.close(conn, CauseHeadTimeout, inHead)
		case p == phaseUnused && expired(limits.UnusedTimeout, since):
			c.close(conn, CauseUnused, func(p phase) bool { return p == phaseUnused })
		case expired(limits.UntrustedTimeout, conn.acceptedAt) && !conn.isTrusted():
			c.close(conn, CauseUntrusted, anyPhase)
		}
	}
}
