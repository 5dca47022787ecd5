// Package link is a stand-in of the slow link between two sides, for example two
// regions. It forwards TCP connections with a one-way delay and a bandwidth that
// all connections share, and it can be cut.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// partBytes is the unit in which connections take turns on the link.
	partBytes = 8 << 10
	// queuedParts bounds the data of one connection on its way over the link.
	queuedParts = 128
	dialTimeout = 5 * time.Second
)

// Direction is a direction over the link.
type Direction int

// Directions between the sides A and B.
const (
	AToB Direction = iota
	BToA
	directions
)

func (d Direction) other() Direction {
	return 1 - d
}

// Settings configures a Link.
type Settings struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond is the bandwidth of each direction; 0 is unlimited.
	BytesPerSecond float64
	// Sides holds the addresses of the sides A and B. A connection from the side
	// of its target passes at once, also while the link is cut, so that both
	// sides can use one address for a target.
	Sides [directions]netip.Prefix
}

// CutMode is what a cut link does to connections.
type CutMode string

// Modes of a cut.
const (
	// BlackHole holds data back until the link heals, and answers no new connection.
	BlackHole CutMode = "black_hole"
	// Reset resets all connections, and new ones at once.
	Reset CutMode = "reset"
)

// Stats counts what passed the link.
type Stats struct {
	AToBBytes   int64 `json:"a_to_b_bytes"`
	BToABytes   int64 `json:"b_to_a_bytes"`
	Connections int64 `json:"connections"`
}

// Link forwards connections between two sides.
type Link struct {
	settings    Settings
	ctx         context.Context
	cancel      context.CancelFunc
	limiters    [directions]*rate.Limiter
	bytes       [directions]atomic.Int64
	connections atomic.Int64
	running     sync.WaitGroup
	direct      *Link // joins the connections that stay on one side

	mu        sync.Mutex
	mode      CutMode       // empty when the link is up
	healed    chan struct{} // closed while the link is up or resetting
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// New returns a link without forwarded addresses.
func New(settings Settings) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		settings: settings,
		ctx:      ctx,
		cancel:   cancel,
		healed:   make(chan struct{}),
		conns:    make(map[net.Conn]struct{}),
	}
	close(l.healed)
	limit := rate.Inf
	if settings.BytesPerSecond > 0 {
		limit = rate.Limit(settings.BytesPerSecond)
	}
	for i := range l.limiters {
		l.limiters[i] = rate.NewLimiter(limit, partBytes)
	}
	if settings.Sides != ([directions]netip.Prefix{}) {
		l.direct = New(Settings{})
	}
	return l
}

// Forward accepts connections at a listening address on the side where the
// direction starts, connects them to target on the other side, and returns the
// listening address with its actual port.
func (l *Link) Forward(direction Direction, listen, target string) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", fmt.Errorf("listen at %s: %w", listen, err)
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.running.Go(func() { l.accept(listener, direction, target) })
	return listener.Addr().String(), nil
}

// Cut interrupts the link until Heal.
func (l *Link) Cut(mode CutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode != BlackHole && mode == BlackHole {
		l.healed = make(chan struct{})
	}
	if l.mode == BlackHole && mode == Reset {
		close(l.healed)
	}
	l.mode = mode
	if mode == Reset {
		l.resetAll()
	}
}

// Restore ends a cut. Data held back by a black hole is delivered then.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == BlackHole {
		close(l.healed)
	}
	l.mode = ""
}

// Stats returns the counts.
func (l *Link) Stats() Stats {
	return Stats{
		AToBBytes:   l.bytes[AToB].Load(),
		BToABytes:   l.bytes[BToA].Load(),
		Connections: l.connections.Load(),
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
	l.resetAll()
	l.mu.Unlock()
	if l.direct != nil {
		l.direct.Close()
	}
	l.running.Wait()
}

func (l *Link) resetAll() {
	for conn := range l.conns {
		reset(conn)
	}
}

// reset closes a connection so that the peer sees a reset and not an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only when it is closed already
	}
	_ = conn.Close()
}

func (l *Link) accept(listener net.Listener, direction Direction, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if l.staysOnSide(conn, direction) {
			if l.direct.register(conn) {
				l.running.Go(func() { l.direct.connect(conn, direction, target) })
			}
			continue
		}
		if !l.register(conn) {
			continue
		}
		l.connections.Add(1)
		l.running.Go(func() { l.connect(conn, direction, target) })
	}
}

// staysOnSide tells whether a connection comes from the side of its target.
func (l *Link) staysOnSide(conn net.Conn, direction Direction) bool {
	from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	targetSide := l.settings.Sides[direction.other()] // AToB ends on side B, which is the second
	return err == nil && targetSide.IsValid() && targetSide.Contains(from.Addr())
}

// register adds a connection, or resets it when the link is closed or resetting.
func (l *Link) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == Reset || l.ctx.Err() != nil {
		reset(conn)
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) unregister(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// connect joins an accepted connection to the target until both directions end.
func (l *Link) connect(near net.Conn, direction Direction, target string) {
	defer l.unregister(near)
	if !l.cross(time.Now().Add(l.settings.Delay)) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(l.ctx, "tcp", target)
	if err != nil {
		reset(near)
		return
	}
	if !l.register(far) {
		reset(near)
		return
	}
	defer l.unregister(far)
	var both sync.WaitGroup
	both.Go(func() { l.pump(direction, near, far) })
	both.Go(func() { l.pump(direction.other(), far, near) })
	both.Wait()
}

// part is data on its way over the link.
type part struct {
	due  time.Time
	data []byte
}

// pump forwards one direction of one connection.
func (l *Link) pump(direction Direction, from, to net.Conn) {
	parts := make(chan part, queuedParts)
	ended := make(chan struct{})
	var readErr error // read by the writer after the channel is closed
	go func() {
		defer close(parts)
		readErr = l.read(direction, from, parts, ended)
	}()
	broken := l.write(direction, to, parts)
	if !broken {
		broken = !l.passEnd(to, readErr)
	}
	close(ended)
	if broken {
		reset(from)
		reset(to)
	}
	for range parts { // until the reader ends
	}
}

// read takes data from a connection at the link's bandwidth until the writer has
// ended or the connection ends; io.EOF is a proper end.
func (l *Link) read(direction Direction, from net.Conn, parts chan<- part, ended <-chan struct{}) error {
	for {
		data := make([]byte, partBytes)
		n, err := from.Read(data)
		if n > 0 {
			if err := l.limiters[direction].WaitN(l.ctx, n); err != nil {
				return err
			}
			select {
			case parts <- part{due: time.Now().Add(l.settings.Delay), data: data[:n]}:
			case <-ended:
				return net.ErrClosed
			}
		}
		if err != nil {
			return err
		}
	}
}

// write delivers data when it is due. broken tells that the connection cannot
// go on.
func (l *Link) write(direction Direction, to net.Conn, parts <-chan part) (broken bool) {
	for next := range parts {
		if !l.cross(next.due) {
			return true
		}
		l.bytes[direction].Add(int64(len(next.data)))
		if _, err := to.Write(next.data); err != nil {
			return true
		}
	}
	return false
}

// passEnd passes the end of one direction on, so that the other direction may
// continue. It reports false when the connection did not end properly.
func (l *Link) passEnd(to net.Conn, readErr error) bool {
	if !l.cross(time.Now().Add(l.settings.Delay)) || !errors.Is(readErr, io.EOF) {
		return false
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the peer may be gone
	}
	return true
}

// cross waits until due and until the link is up. It reports false when the
// link is closed.
func (l *Link) cross(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
		return false
	}
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	select {
	case <-healed:
		return true
	case <-l.ctx.Done():
		return false
	}
}
