package broker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// Sizes and periods of the client.
const (
	commandQueue = 1024
	// defaultOwnerCheck is how often a link compares its peer with the owner.
	defaultOwnerCheck = 200 * time.Millisecond
	reconnectMin      = 20 * time.Millisecond
	reconnectMax      = time.Second
	// defaultMaxSilence is how long an owner with waiting tickets may send nothing
	// before it is asked for an answer, and defaultAnswerTimeout how long that may take.
	// With the membership's probe they bound the wait for a paused owner to 2 s.
	defaultMaxSilence    = 500 * time.Millisecond
	defaultAnswerTimeout = 500 * time.Millisecond
)

// Stream is the client's side of one ticket stream.
type Stream interface {
	Send(*pb.TicketsRequest) error
	Receive() (*pb.TicketsResponse, error)
	Close() error
}

// Opener opens ticket streams to other instances.
type Opener interface {
	Open(ctx context.Context, peer Peer) (Stream, error)
}

// ClientSettings names the entry and what it uses.
type ClientSettings struct {
	Self        string
	Incarnation uint64
	Region      string
	Resolver    Resolver
	Opener      Opener
	// Local serves the groups that this instance owns without a connection.
	Local *Manager
	// OwnerTimeout, ResponseTimeout and OwnerCheckInterval replace the defaults of the same
	// names if they are set.
	OwnerTimeout, ResponseTimeout, OwnerCheckInterval time.Duration
	// OnOwnerFailure is told of an owner that broke a stream or does not answer; may be nil.
	OnOwnerFailure func(instance string)
	// OnOwnerRedirect is told of the owner that another instance names in its own place; may be nil.
	OnOwnerRedirect func(instance string)
	Log             *zap.Logger
}

// Client submits the tickets of one entry.
type Client struct {
	settings ClientSettings
	ctx      context.Context

	mu       sync.Mutex
	links    map[GroupKey]*link
	sequence uint64
	wg       sync.WaitGroup
}

// NewClient returns a Client whose links stop when ctx ends.
func NewClient(ctx context.Context, settings ClientSettings) *Client {
	setDefault(&settings.OwnerTimeout, defaultMaxSilence)
	setDefault(&settings.ResponseTimeout, defaultAnswerTimeout)
	setDefault(&settings.OwnerCheckInterval, defaultOwnerCheck)
	return &Client{settings: settings, ctx: ctx, links: make(map[GroupKey]*link)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Wait blocks until all links have stopped.
func (c *Client) Wait() { c.wg.Wait() }

// Grant permits the dispatch of a request to a target until Expires.
type Grant struct {
	Target  string
	Expires time.Time
}

// Call is one submitted ticket.
type Call struct {
	link     *link
	ticket   *pb.Ticket
	deadline time.Time
	// decided gets the grant or the refusal; it has room for one.
	decided   chan decision
	cancelled chan struct{}
	submitted time.Time

	// The link's goroutine owns the fields below.
	state     callState
	target    string
	grantedAt time.Time
	// grantedOn is the stream of the grant; sent is set by the dispatch.
	grantedOn Stream
	sent      bool
}

type callState int

const (
	callWaiting callState = iota
	callGranted
	callEnded
)

type decision struct {
	grant   Grant
	refused *RefusedError
}

// Submit sends a ticket to the owner of the group. The client sets the ticket's
// id. The deadline is the time by which the first token is due.
func (c *Client) Submit(key GroupKey, ticket *pb.Ticket, deadline time.Time) *Call {
	c.mu.Lock()
	c.sequence++
	ticket.Id = c.sequence
	l, ok := c.links[key]
	if !ok {
		l = newLink(c, key)
		c.links[key] = l
		c.wg.Go(func() { l.run(c.ctx) })
	}
	c.mu.Unlock()
	call := &Call{
		link:      l,
		ticket:    ticket,
		deadline:  deadline,
		decided:   make(chan decision, 1),
		cancelled: make(chan struct{}),
		submitted: time.Now(),
	}
	l.do(func() { l.submit(call) })
	return call
}

// Wait returns the broker's grant. The error is a *RefusedError or the
// context's error, in which case the ticket is withdrawn.
func (call *Call) Wait(ctx context.Context) (Grant, error) {
	select {
	case d := <-call.decided:
		if d.refused != nil {
			return Grant{}, d.refused
		}
		return d.grant, nil
	case <-ctx.Done():
		call.link.do(func() { call.link.withdraw(call) })
		return Grant{}, ctx.Err()
	}
}

// UnansweredFor is how long the group's owner has not answered while tickets wait.
func (call *Call) UnansweredFor(now time.Time) time.Duration {
	heard := call.link.answered.Load()
	if heard == 0 {
		return now.Sub(call.submitted)
	}
	return min(now.Sub(time.Unix(0, heard)), now.Sub(call.submitted))
}

// PromptTokens is the ticket's estimate of the prompt's length.
func (call *Call) PromptTokens() int32 { return call.ticket.GetPromptTokens() }

// Cancelled is closed when the broker asks to stop the running request.
func (call *Call) Cancelled() <-chan struct{} { return call.cancelled }

// Dispatched tells the broker that the grant is being used.
func (call *Call) Dispatched() {
	call.link.do(func() { call.link.dispatched(call) })
}

// Complete ends a granted call. The client sets the id of the completion.
func (call *Call) Complete(completion *pb.Completion) {
	completion.Id = call.ticket.GetId()
	call.link.do(func() { call.link.complete(call, completion) })
}

// message returns a copy of the ticket with the time that is left. A copy,
// because a local session reads it after the link has gone on.
func (call *Call) message(now time.Time) *pb.Ticket {
	m := proto.CloneOf(call.ticket)
	m.DeadlineMs = call.deadline.Sub(now).Milliseconds()
	if m.GetFinishMs() != 0 {
		m.FinishMs = max(1, m.GetFinishMs()-now.Sub(call.submitted).Milliseconds())
	}
	return m
}

// noBroker refuses a ticket that no broker has decided in time.
func noBroker() decision {
	return decision{refused: &RefusedError{Reason: scheduler.ReasonNoTarget}}
}
