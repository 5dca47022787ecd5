package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/internal/standin/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type service struct {
	basilloomv1connect.UnimplementedPeerServiceHandler
	tickets   atomic.Int64
	exchanges atomic.Int64
}

func (s *service) Tickets(_ context.Context, stream *connect.BidiStream[pb.TicketsRequest, pb.TicketsResponse]) error {
	s.tickets.Add(1)
	for {
		request, err := stream.Receive()
		if err != nil {
			return nil // the caller closed the stream
		}
		for _, ticket := range request.GetSubmit() {
			response := &pb.TicketsResponse{Grant: []*pb.GrantMessage{{Id: ticket.GetId()}}}
			if err := stream.Send(response); err != nil {
				return err
			}
		}
	}
}

func (s *service) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	s.exchanges.Add(1)
	if r.Msg.GetProbe() == "slow" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&pb.ExchangeResponse{Sender: r.Msg.GetSender()}), nil
}

func mustKey(t *testing.T, secret string) Key {
	key, err := NewKey(secret)
	require.NoError(t, err)
	return key
}

func serve(t *testing.T, s *service) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Handler(mustKey(t, "correct shared key"), s))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func newPool(t *testing.T, secret string) *Pool {
	pool := NewPool(mustKey(t, secret))
	t.Cleanup(pool.Close)
	return pool
}

// Guards against exchanges and tickets from clients without the shared key, and
// against an empty key that admits every client.
func TestSharedKey(t *testing.T) {
	s := &service{}
	address := serve(t, s)
	wrong := newPool(t, "another shared key")
	_, err := wrong.Exchange(t.Context(), address, &pb.ExchangeRequest{})
	require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	stream := wrong.Client(address).Tickets(ctx)
	_ = stream.Send(&pb.TicketsRequest{}) // may fail already; Receive returns the cause
	_, err = stream.Receive()
	require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	_ = stream.CloseRequest()
	_ = stream.CloseResponse()
	require.Zero(t, s.exchanges.Load()+s.tickets.Load())

	_, err = NewKey("short")
	require.ErrorIs(t, err, ErrWeakKey)
	require.False(t, Key{}.matches(http.Header{}))
	require.False(t, Key{}.matches(http.Header{"Authorization": {""}}))
}

// Guards against a half-duplex stream. Grants must arrive while the entry is still
// sending tickets.
func TestTicketStreamIsFullDuplex(t *testing.T) {
	address := serve(t, &service{})
	pool := newPool(t, "correct shared key")
	require.Equal(t, pool.Client(address), pool.Client(address), "one client for each address")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	stream := pool.Client(address).Tickets(ctx)
	for id := range uint64(3) {
		require.NoError(t, stream.Send(&pb.TicketsRequest{Submit: []*pb.Ticket{{Id: id}}}))
		response, err := stream.Receive()
		require.NoError(t, err)
		require.Equal(t, id, response.GetGrant()[0].GetId())
	}
	require.NoError(t, stream.CloseRequest())
	require.NoError(t, stream.CloseResponse())
}

// Guards against ticket streams that are opened on a silent connection after their owner
// has failed to respond.
func TestRenewReplacesASilentConnection(t *testing.T) {
	network := link.New(link.Settings{})
	defer network.Close()
	address, err := network.Forward(link.AToB, "127.0.0.1:0", serve(t, &service{}))
	require.NoError(t, err)
	pool := newPool(t, "correct shared key")
	granted := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		stream := pool.Client(address).Tickets(ctx)
		_ = stream.Send(&pb.TicketsRequest{Submit: []*pb.Ticket{{Id: 1}}}) // Receive returns the cause of a failure
		_, err := stream.Receive()
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
		return err == nil
	}
	require.True(t, granted())
	network.Silence()
	require.False(t, granted())
	pool.Renew(address)
	require.True(t, granted())
}

// Guards against an exchange that never returns, and against a message that exhausts
// the receiver's memory.
func TestDeadlineAndSizeLimit(t *testing.T) {
	s := &service{}
	address := serve(t, s)
	pool := newPool(t, "correct shared key")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Exchange(ctx, address, &pb.ExchangeRequest{Probe: "slow"})
	require.Equal(t, connect.CodeDeadlineExceeded, connect.CodeOf(err))

	large := string(bytes.Repeat([]byte("x"), MaxMessageBytes+1))
	_, err = pool.Exchange(t.Context(), address, &pb.ExchangeRequest{ConfigHash: large})
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
	time.Sleep(50 * time.Millisecond) // an empty request would arrive within this time
	require.Equal(t, int64(1), s.exchanges.Load(), "too large to send")

	unlimited := basilloomv1connect.NewPeerServiceClient(roundTripClient{pool.newTransport()}, "http://"+address)
	request := connect.NewRequest(&pb.ExchangeRequest{ConfigHash: large})
	request.Header().Set("Authorization", "Bearer correct shared key")
	_, err = unlimited.Exchange(t.Context(), request)
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
	require.Equal(t, int64(1), s.exchanges.Load())
}

// Guards against unary calls without a deadline.
func TestDefaultDeadline(t *testing.T) {
	next := func(ctx context.Context, _ connect.AnyRequest) (connect.AnyResponse, error) {
		deadline, ok := ctx.Deadline()
		require.True(t, ok)
		require.WithinDuration(t, time.Now().Add(UnaryTimeout), deadline, time.Second)
		return nil, nil
	}
	_, err := clientAuth{}.WrapUnary(next)(context.Background(), connect.NewRequest(&pb.ExchangeRequest{}))
	require.NoError(t, err)
}
