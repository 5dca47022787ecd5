// Package peer connects instances: a pool of connect clients over HTTP/2
// without TLS, a server with the same settings, and shared-key authentication.
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
	// IdleTimeout closes connections without calls. Exchanges pick random peers,
	// so connections kept for longer would add up to a full mesh.
	IdleTimeout = 10 * time.Second
	// PingInterval is the silence after which a connection is checked, so that a
	// ticket stream notices a peer that vanished without closing. It exceeds
	// IdleTimeout so that connections without streams cost no pings.
	PingInterval = 15 * time.Second
	// PingTimeout closes a connection whose check is not answered.
	PingTimeout = 2 * time.Second
	// HeaderTimeout bounds the time in which a server reads request headers.
	HeaderTimeout = 5 * time.Second
	// MaxStreams bounds the concurrent calls on one connection.
	MaxStreams = 256
)

// MinKeyBytes is the length of the shortest shared key that is accepted.
const MinKeyBytes = 16

// ErrWeakKey means that the shared key is shorter than MinKeyBytes.
var ErrWeakKey = errors.New("shared key is too short")

// ErrTooLarge means that a message exceeds MaxMessageBytes and was not sent.
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

// accepts compares in constant time. The hashes have equal lengths, so the
// comparison does not reveal the length of the key either.
func (k Key) accepts(header http.Header) bool {
	given := sha256.Sum256([]byte(header.Get("Authorization")))
	wanted := sha256.Sum256([]byte(k.bearer))
	return k.bearer != "" && subtle.ConstantTimeCompare(given[:], wanted[:]) == 1
}

// Pool keeps one client for each address. It is safe for concurrent use.
type Pool struct {
	transport *http.Transport
	options   []connect.ClientOption

	mu      sync.Mutex
	clients map[string]pooled
}

type pooled struct {
	client basilloomv1connect.PeerServiceClient
	used   time.Time
}

// NewPool returns a pool with its own transport. The interceptors, for instance
// those of otelconnect, run before authentication is added.
func NewPool(key Key, interceptors ...connect.Interceptor) *Pool {
	return NewPoolFrom(netip.Addr{}, key, interceptors...)
}

// NewPoolFrom returns a pool that connects from the given local address; the
// zero address lets the system choose.
func NewPoolFrom(source netip.Addr, key Key, interceptors ...connect.Interceptor) *Pool {
	dialer := &net.Dialer{Timeout: DialTimeout}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Pool{
		transport: &http.Transport{
			DialContext:        dialer.DialContext,
			Protocols:          protocols,
			IdleConnTimeout:    IdleTimeout,
			DisableCompression: true,
			HTTP2:              &http.HTTP2Config{SendPingTimeout: PingInterval, PingTimeout: PingTimeout},
		},
		options: []connect.ClientOption{
			connect.WithReadMaxBytes(MaxMessageBytes),
			connect.WithSendMaxBytes(MaxMessageBytes),
			connect.WithInterceptors(append(interceptors, clientAuth{key: key})...),
		},
		clients: map[string]pooled{},
	}
}

// Client returns the client for a numeric address with port.
func (p *Pool) Client(address string) basilloomv1connect.PeerServiceClient {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.clients[address]
	if !ok {
		p.dropUnused(now)
		entry.client = basilloomv1connect.NewPeerServiceClient(roundTripClient{p.transport}, "http://"+address, p.options...)
	}
	entry.used = now
	p.clients[address] = entry
	return entry.client
}

// dropUnused forgets clients of addresses that are no longer called. A caller
// may still hold such a client; it keeps working.
func (p *Pool) dropUnused(now time.Time) {
	for address, entry := range p.clients {
		if now.Sub(entry.used) > 10*IdleTimeout {
			delete(p.clients, address)
		}
	}
}

// Exchange calls an instance's Exchange. It implements membership.Transport.
func (p *Pool) Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	response, err := p.Client(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Close closes idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// roundTripClient calls the transport directly, because an http.Client would
// follow a redirect with the shared key.
type roundTripClient struct{ transport *http.Transport }

func (c roundTripClient) Do(r *http.Request) (*http.Response, error) {
	return c.transport.RoundTrip(r)
}

// clientAuth adds the shared key. It gives unary calls a deadline if they have
// none and refuses those that are too large.
type clientAuth struct{ key Key }

func (a clientAuth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", a.key.bearer)
		// connect checks its own limit only after the request has begun, and
		// the receiver then takes the aborted body for an empty message.
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

var errKey = errors.New("missing or wrong shared key")

func (a serverAuth) check(header http.Header) error {
	if a.key.accepts(header) {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, errKey)
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

// Handler serves the peer service to instances that have the shared key. The
// interceptors run before the key is checked.
func Handler(key Key, service basilloomv1connect.PeerServiceHandler, interceptors ...connect.Interceptor) http.Handler {
	path, handler := basilloomv1connect.NewPeerServiceHandler(service,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(append(interceptors, serverAuth{key: key})...),
	)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return mux
}

// NewServer returns a server for peers. The caller sets no other protocol on it
// and owns its listener and shutdown.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout + PingInterval,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: MaxStreams,
			SendPingTimeout:      PingInterval,
			PingTimeout:          PingTimeout,
		},
	}
}
