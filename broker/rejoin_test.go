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

// Guards against a ticket that is forgotten because its grant was lost with a
// stream that the entry replaced before the broker noticed its end. The entry
// would wait until the deadline and then refuse the request.
func TestGrantLostWithStreamIsGivenAgain(t *testing.T) {
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
// knew of the stream: nobody decides the entry's tickets, and nothing tells it.
func TestSessionOfStoppedGroupEnds(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		m := f.managers["a"]
		r, err := m.runner(testKey)
		require.NoError(t, err)
		r.cancel()
		<-r.done
		for range 32 { // the stopped group's queue takes about half of them
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

// refusingStream names another owner and then ends with an error.
type refusingStream struct{ told chan struct{} }

func (s *refusingStream) Send(*pb.TicketsRequest) error { return nil }

func (s *refusingStream) Receive() (*pb.TicketsResponse, error) {
	select {
	case <-s.told:
		return nil, errors.New("the peer has left the stream")
	default:
		close(s.told)
		return &pb.TicketsResponse{NotBroker: "b"}, nil
	}
}

func (s *refusingStream) Close() error { return nil }

type refusingOpener struct{}

func (refusingOpener) Open(context.Context, Peer) (Stream, error) {
	return &refusingStream{told: make(chan struct{})}, nil
}

// Guards against an instance that is avoided because it says that it is not the
// broker, and against a live owner that is avoided by one entry alone.
func TestInstanceThatIsNotTheBrokerIsNotReported(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		reported, named := make(chan string, 64), make(chan string, 64)
		c := NewClient(ctx, ClientSettings{
			Self: "entry", Incarnation: 1, Resolver: newFakeFleet(ctx, "a"), Opener: refusingOpener{}, Log: zap.NewNop(),
			OnOwnerFailure:  func(instance string) { reported <- instance },
			OnOwnerRedirect: func(instance string) { named <- instance },
		})
		submit(c, time.Second)
		time.Sleep(500 * time.Millisecond)
		require.Empty(t, reported)
		require.Equal(t, "b", <-named)
	})
}
