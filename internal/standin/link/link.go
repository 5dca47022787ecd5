// Package link simulates a slow network link between two sides, for example two
// regions. It forwards TCP connections with a one-way delay and a bandwidth that
// all connections share, and it can be cut to simulate a network partition.
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
	// chunkBytes is the maximum amount of data that a connection sends over the link
	// before other connections get their turn.
	chunkBytes = 8 << 10
	// maxQueuedChunks limits the data in flight of one direction of a connection.
	maxQueuedChunks = 128
	dialTimeout     = 5 * time.Second
)

// Direction is a direction of traffic over the link.
type Direction int

// Directions between the sides A and B.
const (
	AToB Direction = iota
	BToA
	directions
)

func (d Direction) opposite() Direction {
	return 1 - d
}

// Settings configures a Link.
type Settings struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond is the bandwidth of each direction; 0 is unlimited.
	BytesPerSecond float64
	// Sides holds the address ranges of the sides A and B. A connection from the side
	// of its target is forwarded without delay, even while the link is cut, so that
	// both sides can use the same address for a target.
	Sides [directions]netip.Prefix
}

// CutMode is how a cut link treats connections.
type CutMode string

// Modes of a cut.
const (
	// BlackHole holds data back until the link is restored. New connections get no
	// response.
	BlackHole CutMode = "black_hole"
	// Reset resets all existing and new connections.
	Reset CutMode = "reset"
)

// Stats counts the bytes and connections that the link forwarded.
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
	direct      *Link // forwards connections from the side of their target; nil without Sides

	mu        sync.Mutex
	mode      CutMode       // empty when the link is up
	restored  chan struct{} // closed while the link is up or resetting
	silenced  chan struct{} // closed when the connections made so far go silent
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// New returns a link that forwards nothing until Forward is called.
func New(settings Settings) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		settings: settings,
		ctx:      ctx,
		cancel:   cancel,
		restored: make(chan struct{}),
		silenced: make(chan struct{}),
		conns:    make(map[net.Conn]struct{}),
	}
	close(l.restored)
	limit := rate.Inf
	if settings.BytesPerSecond > 0 {
		limit = rate.Limit(settings.BytesPerSecond)
	}
	for i := range l.limiters {
		l.limiters[i] = rate.NewLimiter(limit, chunkBytes)
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

// Cut interrupts the link until Restore.
func (l *Link) Cut(mode CutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode != BlackHole && mode == BlackHole {
		l.restored = make(chan struct{})
	}
	if l.mode == BlackHole && mode == Reset {
		close(l.restored)
	}
	l.mode = mode
	if mode == Reset {
		l.resetAll()
	}
}

// Restore ends a cut and delivers the data that a black hole held back.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == BlackHole {
		close(l.restored)
	}
	l.mode = ""
}

// Silence makes all existing connections go silent for good: they stay open and deliver
// nothing more. New connections work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silenced)
	l.silenced = make(chan struct{})
}

// Stats returns the traffic counts.
func (l *Link) Stats() Stats {
	return Stats{
		AToBBytes:   l.bytes[AToB].Load(),
		BToABytes:   l.bytes[BToA].Load(),
		Connections: l.connections.Load(),
	}
}

// Close stops the link and resets its connections.
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

// reset closes a connection so that the peer sees a reset instead of end of file.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if it is already closed
	}
	_ = conn.Close()
}

func (l *Link) accept(listener net.Listener, direction Direction, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if l.isSameSide(conn, direction) {
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

// isSameSide reports whether a connection comes from the side of its target.
func (l *Link) isSameSide(conn net.Conn, direction Direction) bool {
	from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	targetSide := l.settings.Sides[direction.opposite()] // the target of AToB is on side B, the second entry
	return err == nil && targetSide.IsValid() && targetSide.Contains(from.Addr())
}

// register adds a connection, or resets it if the link is closed or in mode Reset. It
// reports whether the connection was added.
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

// connect forwards between an accepted connection and the target until both
// directions have ended.
func (l *Link) connect(client net.Conn, direction Direction, target string) {
	defer l.unregister(client)
	if !l.waitForDelivery(time.Now().Add(l.settings.Delay)) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	upstream, err := dialer.DialContext(l.ctx, "tcp", target)
	if err != nil {
		reset(client)
		return
	}
	if !l.register(upstream) {
		reset(client)
		return
	}
	defer l.unregister(upstream)
	l.mu.Lock()
	silenced := l.silenced
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forwardOneWay(direction, client, upstream, silenced) })
	both.Go(func() { l.forwardOneWay(direction.opposite(), upstream, client, silenced) })
	both.Wait()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// chunk is data in flight over the link.
type chunk struct {
	due  time.Time
	data []byte
}

// forwardOneWay forwards one direction of a connection until it ends. Once the
// connection is silenced it forwards neither data nor the end.
func (l *Link) forwardOneWay(direction Direction, from, to net.Conn, silenced <-chan struct{}) {
	chunks := make(chan chunk, maxQueuedChunks)
	writerDone := make(chan struct{})
	var readErr error // set before the channel chunks is closed
	go func() {
		defer close(chunks)
		readErr = l.read(direction, from, chunks, writerDone)
	}()
	broken := l.write(direction, to, chunks, silenced)
	if isClosed(silenced) {
		broken = false
	} else if !broken {
		broken = !l.forwardEOF(to, readErr)
	}
	close(writerDone)
	if broken {
		reset(from)
		reset(to)
	}
	for range chunks { // until the reader ends
	}
}

// read queues data from a connection at the link's bandwidth until the connection
// ends or writerDone is closed. It returns io.EOF if the connection ended normally.
func (l *Link) read(direction Direction, from net.Conn, chunks chan<- chunk, writerDone <-chan struct{}) error {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			if err := l.limiters[direction].WaitN(l.ctx, n); err != nil {
				return err
			}
			select {
			case chunks <- chunk{due: time.Now().Add(l.settings.Delay), data: data[:n]}:
			case <-writerDone:
				return net.ErrClosed
			}
		}
		if err != nil {
			return err
		}
	}
}

// write delivers each chunk when it is due. broken is set if the connection must be
// reset.
func (l *Link) write(direction Direction, to net.Conn, chunks <-chan chunk, silenced <-chan struct{}) (broken bool) {
	for next := range chunks {
		if !l.waitForDelivery(next.due) {
			return true
		}
		if isClosed(silenced) {
			continue
		}
		l.bytes[direction].Add(int64(len(next.data)))
		if _, err := to.Write(next.data); err != nil {
			return true
		}
	}
	return false
}

// forwardEOF closes the write side of a connection, so that the opposite direction
// can continue. It reports false if the read side did not end normally.
func (l *Link) forwardEOF(to net.Conn, readErr error) bool {
	if !l.waitForDelivery(time.Now().Add(l.settings.Delay)) || !errors.Is(readErr, io.EOF) {
		return false
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the peer may have disconnected
	}
	return true
}

// waitForDelivery waits until due and until no black hole holds data back. It
// reports false if the link is closed.
func (l *Link) waitForDelivery(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
		return false
	}
	l.mu.Lock()
	restored := l.restored
	l.mu.Unlock()
	select {
	case <-restored:
		return true
	case <-l.ctx.Done():
		return false
	}
}
