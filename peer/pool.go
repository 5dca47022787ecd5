// Package peer connects instances. It has a pool of connect clients over HTTP/2 without
// TLS, a server with the same settings, and shared-key authentication.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
)

// Limits of connections between instances.
const (
	// MaxMessageBytes bounds a message. The largest is a configuration.
	MaxMessageBytes = 4 << 20
	// DialTimeout bounds the setup of a connection.
	DialTimeout = time.Second
	// UnaryTimeout is the deadline of a unary call whose context has none.
	UnaryTimeout = 5 * time.Second
	// IdleTimeout is the time after which a connection without calls is closed.
	// Exchanges choose random peers, so connections kept for longer would form a full
	// mesh.
	IdleTimeout = 10 * time.Second
	// PingInterval is the time without traffic after which a connection is checked. The
	// check detects a peer of a ticket stream that disappeared without closing the
	// connection. PingInterval exceeds IdleTimeout, so connections without streams are
	// closed before they are pinged.
	PingInterval = 15 * time.Second
	// PingTimeout is the time after which a connection without a ping response is closed.
	PingTimeout = 2 * time.Second
	// HeaderTimeout bounds the time for reading request headers on the server.
	HeaderTimeout = 5 * time.Second
	// MaxStreams bounds the concurrent calls on one connection.
	MaxStreams = 256
)

// MinKeyBytes is the minimum length of the shared key.
const MinKeyBytes = 16

// ErrWeakKey is returned for a shared key that is shorter than MinKeyBytes.
var ErrWeakKey = errors.New("shared key is too short")

// ErrTooLarge is returned for a message that exceeds MaxMessageBytes and was not sent.
var ErrTooLarge = errors.New("message exceeds the size limit")

// Key is the secret that all instances share.
type Key struct{ bearer string }

// NewKey returns a key or ErrWeakKey.
func NewKey(secret string) (Key, error) {
	if len(secret) < MinKeyBytes {
		return Key{}, ErrWeakKey
	}
	return Key{bearer: "Bearer " + secret}, nil
}

// matches reports whether the header has the key. It compares in constant time. The
// hashes have equal lengths, so the comparison does not reveal the key's length.
func (k Key) matches(header http.Header) bool {
	got := sha256.Sum256([]byte(header.Get("Authorization")))
	want := sha256.Sum256([]byte(k.bearer))
	return k.bearer != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// Pool caches one client per address. It is safe for concurrent use.
type Pool struct {
	dialer  *net.Dialer
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[string]pooledClient
}

type pooledClient struct {
	client    basilloomv1connect.PeerServiceClient
	transport *http.Transport
	used      time.Time
}

// NewPool returns a pool with its own transport. The interceptors, for instance those
// of otelconnect, run before the shared key is added.
func NewPool(key Key, interceptors ...connect.Interceptor) *Pool {
	return NewPoolFrom(netip.Addr{}, key, interceptors...)
}

// NewPoolFrom returns a pool that connects from the given local address; the
// zero address lets the operating system choose.
func NewPoolFrom(source netip.Addr, key Key, interceptors ...connect.Interceptor) *Pool {
	dialer := &net.Dialer{Timeout: DialTimeout}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &Pool{
		dialer: dialer,
		options: []connect.ClientOption{
			connect.WithReadMaxBytes(MaxMessageBytes),
			connect.WithSendMaxBytes(MaxMessageBytes),
			connect.WithInterceptors(append(interceptors, clientAuth{key: key})...),
		},
		clients: map[string]pooledClient{},
	}
}

func (p *Pool) newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        p.dialer.DialContext,
		Protocols:          protocols,
		IdleConnTimeout:    IdleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: PingInterval, PingTimeout: PingTimeout},
	}
}

// Client returns the client for address, a numeric IP address with a port.
func (p *Pool) Client(address string) basilloomv1connect.PeerServiceClient {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	cached, ok := p.clients[address]
	if !ok {
		p.dropUnused(now)
		cached.transport = p.newTransport()
		cached.client = basilloomv1connect.NewPeerServiceClient(roundTripClient{cached.transport}, "http://"+address, p.options...)
	}
	cached.used = now
	p.clients[address] = cached
	return cached.client
}

// dropUnused removes clients of addresses that are no longer called. A removed client
// that a caller still holds keeps working.
func (p *Pool) dropUnused(now time.Time) {
	for address, cached := range p.clients {
		if now.Sub(cached.used) > 10*IdleTimeout {
			cached.transport.CloseIdleConnections()
			delete(p.clients, address)
		}
	}
}

// Renew makes further calls to address use a new connection. The current one may be
// silent, which a ping would only detect after PingInterval; calls in progress stay on it.
func (p *Pool) Renew(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.clients[address]; ok {
		cached.transport.CloseIdleConnections()
		delete(p.clients, address)
	}
}

// Exchange calls Exchange of the instance at address. It implements
// membership.Transport.
func (p *Pool) Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	response, err := p.Client(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Close closes idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cached := range p.clients {
		cached.transport.CloseIdleConnections()
	}
}

// roundTripClient calls the transport directly. An http.Client would follow redirects
// and send the shared key along.
type roundTripClient struct{ transport *http.Transport }

func (c roundTripClient) Do(r *http.Request) (*http.Response, error) {
	return c.transport.RoundTrip(r)
}

// clientAuth adds the shared key to outgoing calls. It sets a deadline for unary calls that have
// none and refuses unary calls whose message is too large.
type clientAuth struct{ key Key }

func (a clientAuth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", a.key.bearer)
		// connect checks its own limit only after the request has been started, and the
		// receiver then treats the aborted body as an empty message.
		if message, ok := request.Any().(proto.Message); ok && proto.Size(message) > MaxMessageBytes {
			return nil, connect.NewError(connect.CodeResourceExhausted, ErrTooLarge)
		}
		if _, limited := ctx.Deadline(); !limited {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, UnaryTimeout)
			defer cancel()
		}
		return next(ctx, request)
	}
}

func (a clientAuth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", a.key.bearer)
		return conn
	}
}

func (a clientAuth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// serverAuth refuses calls without the shared key.
type serverAuth struct{ key Key }

var errWrongKey = errors.New("missing or wrong shared key")

func (a serverAuth) check(header http.Header) error {
	if a.key.matches(header) {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, errWrongKey)
}

func (a serverAuth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if err := a.check(request.Header()); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func (a serverAuth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

func (a serverAuth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.check(conn.RequestHeader()); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// Handler returns a handler that serves the peer service to instances with the shared
// key. The interceptors run before the key is checked.
func Handler(key Key, service basilloomv1connect.PeerServiceHandler, interceptors ...connect.Interceptor) http.Handler {
	path, handler := basilloomv1connect.NewPeerServiceHandler(service,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(append(interceptors, serverAuth{key: key})...),
	)
	mux := http.NewServeMux()
	mux.Handle(path, requireKey(key, handler))
	return mux
}

// NewServer returns a server for peers. The caller must not enable other protocols on
// it, and is responsible for its listener and shutdown.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout + PingInterval,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: MaxStreams,
			SendPingTimeout:      PingInterval,
			PingTimeout:          PingTimeout,
		},
	}
}
