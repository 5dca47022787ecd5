package broker

import (
	"context"
	"io"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// sendTimeout bounds how long a session waits for room in the queue of its group. An entry
// whose group is busy for longer joins again and resends its tickets.
const sendTimeout = 250 * time.Millisecond

// Session is one entry's connection to a group on the instance that owns it. It ends
// when it is closed or its group stops, even if the group stops before it has handled
// the join.
type Session struct {
	hello  *pb.Hello
	runner *runner
	out    chan *pb.TicketsResponse
	// ctx ends with the session; it is derived from the group's context.
	ctx   context.Context
	close context.CancelFunc
	// forecast is the number of the last forecast sent to the entry. The runner's goroutine
	// owns it.
	forecast int
}

func (s *Session) entry() entryKey {
	return entryKey{s.hello.GetInstance(), s.hello.GetIncarnation()}
}

// push queues a response. If the entry does not read its responses, the session is
// closed and the entry resends its tickets, so that it cannot block other entries.
func (s *Session) push(response *pb.TicketsResponse) {
	select {
	case s.out <- response:
	default:
		s.close()
	}
}

// Send passes a request to the group. The session ends if the group does not take it, so that
// the entry sends everything again.
func (s *Session) Send(request *pb.TicketsRequest) error {
	if s.ctx.Err() != nil {
		return io.EOF
	}
	if isEmpty(request) && s.runner.isResponsive(time.Now()) {
		// The entry checks whether the broker responds. Behind the queue of an overloaded
		// group the response would be late, and the entries would replace a broker that
		// works by one that knows less.
		s.push(&pb.TicketsResponse{})
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	err := s.runner.post(ctx, s.runner.handle(s, request))
	if err != nil {
		s.close()
	}
	return err
}

// Receive returns the next response, or io.EOF when the session has ended.
func (s *Session) Receive() (*pb.TicketsResponse, error) {
	select {
	case response := <-s.out:
		return response, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

// Close ends the session. The group drops the entry's waiting tickets, at its next tick if
// its queue is full now.
func (s *Session) Close() error {
	s.close()
	select {
	case s.runner.events <- s.runner.leave(s):
	default:
	}
	return nil
}
