package broker

import (
	"context"

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
	return &connectStream{stream: o(p.Address).Tickets(ctx), cancel: cancel}, nil
}

type connectStream struct {
	stream *connect.BidiStreamForClient[pb.TicketsRequest, pb.TicketsResponse]
	cancel context.CancelFunc
}

func (s *connectStream) Send(m *pb.TicketsRequest) error       { return s.stream.Send(m) }
func (s *connectStream) Receive() (*pb.TicketsResponse, error) { return s.stream.Receive() }
func (s *connectStream) Close() error {
	s.cancel()
	return nil
}
