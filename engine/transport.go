// Package engine is the client of model engines and plain services. It sends each
// request at most once: after a byte of a request has been written, neither this
// package nor net/http writes the request to a second connection.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/basilloom/basilloom/internal/http1"
)

// Parameters of the connections to targets.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is shorter than the usual keep-alive timeout of a server (5 s and
	// more), so that few requests use a connection that the server is closing.
	idleTimeout         = 4 * time.Second
	maxIdleConnsPerHost = 64
	writeBufferSize     = 32 << 10
)

// DispatchError reports a failed dispatch and whether the request may have run.
type DispatchError struct {
	// Written is set if a byte of the request may have reached the target. Otherwise
	// the request did not run and may be dispatched to another target.
	Written bool
	// Broken is set if the connection broke, for example because the target crashed.
	Broken bool
	Err    error
}

func (e *DispatchError) Error() string {
	if e.Written {
		return fmt.Sprintf("request failed after dispatch: %v", e.Err)
	}
	return fmt.Sprintf("request failed before dispatch: %v", e.Err)
}

func (e *DispatchError) Unwrap() error { return e.Err }

// SafeToRetry reports whether the request certainly did not run.
func (e *DispatchError) SafeToRetry() bool { return !e.Written }

var errSealed = errors.New("connection sealed after a failed request")

// countingConn counts the writes that were handed to the kernel.
type countingConn struct {
	*http1.TransportConn
	mu     sync.Mutex
	writes int64
	sealed bool
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	// The write is counted before it starts, because a failed write may have sent bytes.
	// A count that is too high only prevents a retry.
	c.writes++
	c.mu.Unlock()
	return c.TransportConn.Write(p)
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes and returns the count. Without it, the write loop
// of net/http could write a request after RoundTrip has returned an error.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// Transport sends requests to targets.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport with its own connection pool.
func NewTransport() *Transport { return newTransport(dialerFrom(netip.Addr{})) }

func dialerFrom(source netip.Addr) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return dialer
}

func newTransport(dialer *net.Dialer) *Transport {
	base := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{TransportConn: http1.NewTransportConn(conn)}, nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		WriteBufferSize:     writeBufferSize,
	}
	return &Transport{base: base}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.base.CloseIdleConnections() }

// RoundTrip sends the request once. It does not follow redirects. The error is
// a *DispatchError.
func (t *Transport) RoundTrip(req *http.Request, body []byte) (*http.Response, error) {
	var probe writeProbe
	ctx := httptrace.WithClientTrace(req.Context(), probe.trace(req.Method))
	req = req.WithContext(ctx)
	setSingleUseBody(req, body)
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, &DispatchError{Written: probe.wrote(), Broken: isBroken(err), Err: err}
	}
	return resp, nil
}

// writeProbe observes whether bytes of one request were written.
type writeProbe struct {
	conn   *countingConn
	before int64
}

func (p *writeProbe) trace(method string) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			panic(fmt.Sprintf("engine: connection of type %T was not made by this transport", info.Conn))
		}
		p.conn = conn
		p.before = conn.count()
		conn.Expect(method)
	}}
}

// wrote reports whether a byte of the failed request was written, and prevents
// later writes.
func (p *writeProbe) wrote() bool {
	return p.conn != nil && p.conn.seal() > p.before
}

// setSingleUseBody gives the request a body that net/http cannot rewind.
// http.Transport.RoundTrip sends a request again on a new connection if a reused
// connection turns out to be closed and the request has no body (nil or NoBody) or
// a body with GetBody, and a safe method or an Idempotency-Key header. An opaque
// body without GetBody prevents this for every method and header.
func setSingleUseBody(req *http.Request, body []byte) {
	req.Body = &singleUseBody{rest: body}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
}

type singleUseBody struct {
	rest []byte
}

func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *singleUseBody) Close() error { return nil }

// isBroken reports whether the error is a broken connection and not a timeout, a
// cancellation or a failed dial.
func isBroken(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return false
	}
	return true
}
