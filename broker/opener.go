package broker

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
)

// ConnectOpener opens ticket streams over connect. The function returns the client
// for an address.
type ConnectOpener func(address string) basilloomv1connect.PeerServiceClient

// Open implements Opener.
func (o ConnectOpener) Open(ctx context.Context, p Peer) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &connectStream{stream: o(p.Address).Tickets(ctx), out: make(chan *pb.TicketsRequest, sessionQueue), cancel: cancel}
	go s.sendAll(ctx)
	return s, nil
}

// errStreamBlocked reports that the owner does not take what is sent to it.
var errStreamBlocked = errors.New("the owner of the group does not read its stream")

// connectStream sends in a goroutine of its own, because flow control stops a send to a
// process that does not read.
type connectStream struct {
	stream *connect.BidiStreamForClient[pb.TicketsRequest, pb.TicketsResponse]
	out    chan *pb.TicketsRequest
	cancel context.CancelFunc
}

func (s *connectStream) sendAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.out:
			if err := s.stream.Send(m); err != nil {
				return // Receive returns the cause
			}
		}
	}
}

// Send queues a message.
func (s *connectStream) Send(m *pb.TicketsRequest) error {
	select {
	case s.out <- m:
		return nil
	default:
		return errStreamBlocked
	}
}

func (s *connectStream) Receive() (*pb.TicketsResponse, error) { return s.stream.Receive() }

// Close ends the stream.
func (s *connectStream) Close() error {
	s.cancel()
	return nil
}
