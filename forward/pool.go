package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/basilloom/basilloom/internal/http1"
)

// Timeouts and sizes of connections.
const (
	// dialTimeout bounds the time to connect. The farthest target is about 25 ms away.
	// A target that takes longer is down or its packets were lost, and another target
	// serves the request sooner.
	dialTimeout = 400 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the target sends no timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveFraction is the fraction of the target's timeout after which a connection
	// is no longer reused, so that few requests use one that the target is closing.
	keepAliveFraction = 0.7
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 24
	// userTimeout is the TCP_USER_TIMEOUT: a connection is closed if the target has not
	// acknowledged sent data for this long.
	userTimeout   = 3 * time.Second
	readBufferLen = 4 << 10
)

// Target identifies one start of a target.
type Target struct {
	ID                 string
	StartedAtUnixMilli int64
	Address            string
	// Zone is the availability zone, for the measurement of delays; empty if not known.
	Zone string
}

// Stats counts connections since the pool was created. Stale counts idle connections
// that could not be reused because they were closed or had unread data.
type Stats struct {
	Opened, Reused, Stale int64
}

// Pool holds the idle connections to targets.
type Pool struct {
	dialer net.Dialer

	opened, reused, stale atomic.Int64
	connects              connectTimes

	mu     sync.Mutex
	idle   map[Target][]*conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: make(map[Target][]*conn)}
	p.dialer.Timeout = dialTimeout
	p.dialer.KeepAlive = -1
	p.dialer.Control = setUserTimeout
	return p
}

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	return Stats{Opened: p.opened.Load(), Reused: p.reused.Load(), Stale: p.stale.Load()}
}

// conn is a connection to a target. One request uses it at a time.
type conn struct {
	*http1.Conn
	target Target
	reader *bufio.Reader
	limit  *limitedReader
	// wrote is set before the first byte of the current request is written.
	wrote bool
	// writeDone receives the result of a body that is written while the response is
	// read; nil if there is none.
	writeDone chan error
	expires   time.Time
}

// limitedReader fails once more than left bytes have been read.
type limitedReader struct {
	reader io.Reader
	left   int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

func (c *conn) abort() { _ = c.Close() } // the request's outcome is already known

// writeCompleted reports whether the whole request has been written.
func (c *conn) writeCompleted() bool {
	if c.writeDone == nil {
		return true
	}
	select {
	case err := <-c.writeDone:
		c.writeDone = nil
		return err == nil
	default:
		return false
	}
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, target Target, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.takeIdle(target)
		if c == nil {
			break
		}
		if c.isClean() {
			p.reused.Add(1)
			c.wrote = false
			return c, nil
		}
		p.stale.Add(1)
		c.abort()
	}
	began := time.Now()
	opened, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.Drop(target) // the target has crashed, and its other connections are about to break
	}
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	now := time.Now()
	p.connects.record(now, target.Zone, now.Sub(began))
	wire := http1.NewConn(opened)
	limit := &limitedReader{reader: wire, left: math.MaxInt64}
	return &conn{Conn: wire, target: target, reader: bufio.NewReaderSize(limit, readBufferLen), limit: limit}, nil
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(target Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	now := time.Now()
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		p.setIdle(target, idle)
		if now.Before(c.expires) {
			return c
		}
		c.abort()
	}
	return nil
}

func (p *Pool) setIdle(target Target, idle []*conn) {
	if len(idle) == 0 {
		delete(p.idle, target)
		return
	}
	p.idle[target] = idle
}

// isClean reports whether the connection is open and has no unread data. Bytes that
// arrived after the last response belong to no request.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 || c.Broken() {
		return false
	}
	tcp, ok := c.NetConn().(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.expires = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || idleTimeout <= 0 || len(p.idle[c.target]) >= maxIdlePerTarget {
		c.abort()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Prune closes the connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				c.abort()
			}
		}
		clear(idle[len(kept):])
		p.setIdle(target, kept)
	}
}

// Drop closes the idle connections to a target after one of its connections failed.
func (p *Pool) Drop(target Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[target] {
		c.abort()
	}
	delete(p.idle, target)
}

// Close closes all idle connections. Connections in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	targets := make([]Target, 0, len(p.idle))
	for target := range p.idle {
		targets = append(targets, target)
	}
	p.mu.Unlock()
	for _, target := range targets {
		p.Drop(target)
	}
}

// RefusesConnections reports whether nothing listens at the target's address, as after
// a crash.
func (p *Pool) RefusesConnections(ctx context.Context, target Target) bool {
	probe, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = probe.Close() // opened only to check whether the target listens
	return false
}

// keepAliveTimeout returns how long a connection may stay idle according to the
// response header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(keepAliveFraction * float64(n) * float64(time.Second))
		}
	}
	return defaultKeepAlive
}
