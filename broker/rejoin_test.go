package broker

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Guards against a ticket that is dropped because its grant was lost with a stream
// that the entry replaced before the broker detected its end. The entry would wait
// until the deadline and then refuse the request.
func TestGrantLostWithStreamIsRepeated(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		hello := &pb.Hello{Instance: "entry", Incarnation: 1, Pool: testKey.Pool}
		ticket := &pb.Ticket{Id: 1, Workspace: "w", DeadlineMs: time.Minute.Milliseconds()}
		for range 2 {
			session, err := f.managers["a"].Join(hello)
			require.NoError(t, err)
			require.NoError(t, session.Send(&pb.TicketsRequest{Submit: []*pb.Ticket{ticket}}))
			time.Sleep(time.Second)
			require.Len(t, session.out, 1)
			require.Len(t, (<-session.out).GetGrant(), 1)
		}
	})
}

// Guards against an entry that keeps a stream to a group that stopped before it
// registered the stream: the entry's tickets would never be decided.
func TestSessionOfStoppedGroupEnds(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		m := f.managers["a"]
		r, err := m.runner(testKey)
		require.NoError(t, err)
		r.cancel()
		<-r.done
		for range 32 { // the stopped group's queue accepts about half of them
			s, err := m.joinRunner(r, &pb.Hello{Instance: "entry", Incarnation: 1})
			if err != nil {
				continue
			}
			ended := make(chan error, 1)
			go func() {
				_, err := s.Receive()
				ended <- err
			}()
			select {
			case err := <-ended:
				require.ErrorIs(t, err, io.EOF)
			case <-time.After(time.Second):
				require.Fail(t, "the session did not end")
			}
			require.Error(t, s.Send(&pb.TicketsRequest{}))
		}
	})
}

// redirectingStream names another owner and then ends with an error.
type redirectingStream struct{ redirected chan struct{} }

func (s *redirectingStream) Send(*pb.TicketsRequest) error { return nil }

func (s *redirectingStream) Receive() (*pb.TicketsResponse, error) {
	select {
	case <-s.redirected:
		return nil, errors.New("the peer has left the stream")
	default:
		close(s.redirected)
		return &pb.TicketsResponse{NotBroker: "b"}, nil
	}
}

func (s *redirectingStream) Close() error { return nil }

type redirectingOpener struct{}

func (redirectingOpener) Open(context.Context, Peer) (Stream, error) {
	return &redirectingStream{redirected: make(chan struct{})}, nil
}

// Guards against avoiding an instance because it responds that it is not the broker,
// and against a single entry that avoids a live owner although another instance
// redirects to that owner.
func TestInstanceThatIsNotTheBrokerIsNotReported(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		reported, named := make(chan string, 64), make(chan string, 64)
		c := NewClient(ctx, ClientSettings{
			Self: "entry", Incarnation: 1, Resolver: newFakeFleet(ctx, "a"), Opener: redirectingOpener{}, Log: zap.NewNop(),
			OnOwnerFailure:  func(owner Peer) { reported <- owner.Name },
			OnOwnerRedirect: func(instance string) { named <- instance },
		})
		submit(c, time.Second)
		time.Sleep(500 * time.Millisecond)
		require.Empty(t, reported)
		require.Equal(t, "b", <-named)
	})
}
