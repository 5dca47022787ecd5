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
	// commandQueue is the number of queued commands from which on a link takes no tickets.
	commandQueue = 1024
	// defaultOwnerCheckInterval is how often a link compares its peer with the owner.
	defaultOwnerCheckInterval = 200 * time.Millisecond
	reconnectMin              = 20 * time.Millisecond
	reconnectMax              = time.Second
	// defaultOwnerTimeout is how long an owner with waiting tickets may send nothing
	// before it is probed, and defaultResponseTimeout is how long its response may
	// take. Together with the membership's probe they bound the wait for a paused
	// owner to 2 s.
	defaultOwnerTimeout    = 500 * time.Millisecond
	defaultResponseTimeout = 500 * time.Millisecond
)

// Stream is the client side of one ticket stream.
type Stream interface {
	Send(*pb.TicketsRequest) error
	Receive() (*pb.TicketsResponse, error)
	Close() error
}

// Opener opens ticket streams to other instances.
type Opener interface {
	Open(ctx context.Context, peer Peer) (Stream, error)
}

// ClientSettings identifies the entry and holds the dependencies of its Client.
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
	// OnOwnerFailure is called for an owner that broke a stream or does not respond; may be nil.
	OnOwnerFailure func(owner Peer)
	// OnOwnerRedirect is called with the owner that an instance names when it does not
	// own the group itself; may be nil.
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
	setDefault(&settings.OwnerTimeout, defaultOwnerTimeout)
	setDefault(&settings.ResponseTimeout, defaultResponseTimeout)
	setDefault(&settings.OwnerCheckInterval, defaultOwnerCheckInterval)
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
	// decided receives the grant or the refusal; its capacity is one.
	decided   chan decision
	cancelled chan struct{}
	submitted time.Time

	// The link's goroutine owns the fields below.
	state     callState
	target    string
	grantedAt time.Time
	// grantedOn is the stream that delivered the grant; dispatched is set by
	// Dispatched.
	grantedOn  Stream
	dispatched bool
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

// Submit sends a copy of the ticket, with an id, to the owner of the group. The deadline
// is the time by which the first token is due. Submit does not wait; a ticket for which the
// link has no room is refused.
func (c *Client) Submit(key GroupKey, ticket *pb.Ticket, deadline time.Time) *Call {
	ticket = proto.CloneOf(ticket)
	c.mu.Lock()
	c.sequence++
	ticket.Id = c.sequence
	l := c.linkLocked(key)
	c.mu.Unlock()
	call := &Call{
		link:      l,
		ticket:    ticket,
		deadline:  deadline,
		decided:   make(chan decision, 1),
		cancelled: make(chan struct{}),
		submitted: time.Now(),
	}
	if !l.commands.tryAdd(func() { l.submit(call) }) {
		call.decided <- noBrokerRefusal()
	}
	return call
}

// linkLocked returns the link of a group and starts it if needed.
func (c *Client) linkLocked(key GroupKey) *link {
	l, ok := c.links[key]
	if !ok {
		l = newLink(c, key)
		c.links[key] = l
		c.wg.Go(func() { l.run(c.ctx) })
	}
	return l
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
		call.link.commands.add(func() { call.link.withdraw(call) })
		return Grant{}, ctx.Err()
	}
}

// OwnerUnresponsiveFor returns the time without a response of the group's owner since
// the ticket was submitted.
func (call *Call) OwnerUnresponsiveFor(now time.Time) time.Duration {
	last := call.link.lastResponseNanos.Load()
	if last == 0 {
		return now.Sub(call.submitted)
	}
	return min(now.Sub(time.Unix(0, last)), now.Sub(call.submitted))
}

// PromptTokens returns the ticket's estimate of the prompt's length.
func (call *Call) PromptTokens() int32 { return call.ticket.GetPromptTokens() }

// Cancelled is closed when the broker asks to stop the running request.
func (call *Call) Cancelled() <-chan struct{} { return call.cancelled }

// Dispatched notifies the broker that the grant is being used.
func (call *Call) Dispatched() {
	call.link.commands.add(func() { call.link.dispatched(call) })
}

// Begun notifies the broker that the request has begun to receive its response.
func (call *Call) Begun() {
	if len(call.ticket.GetSharedParts()) > 0 {
		call.Received()
	}
}

// Received notifies the broker that the target has begun to respond to the request.
func (call *Call) Received() {
	call.link.commands.add(func() { call.link.begun(call) })
}

// Complete ends a granted call. The client sets the id of the completion.
func (call *Call) Complete(completion *pb.Completion) {
	completion.Id = call.ticket.GetId()
	call.link.commands.add(func() { call.link.complete(call, completion) })
}

// message returns a copy of the ticket with the remaining time. It is a copy because
// a local session reads it concurrently with the link.
func (call *Call) message(now time.Time) *pb.Ticket {
	m := proto.CloneOf(call.ticket)
	m.DeadlineMs = call.deadline.Sub(now).Milliseconds()
	if m.GetFinishMs() != 0 {
		m.FinishMs = max(1, m.GetFinishMs()-now.Sub(call.submitted).Milliseconds())
	}
	for i := range m.GetExcludedMs() {
		m.ExcludedMs[i] -= now.Sub(call.submitted).Milliseconds()
	}
	return m
}

// noBrokerRefusal returns the refusal of a ticket that no broker can decide in time.
func noBrokerRefusal() decision {
	return decision{refused: &RefusedError{Reason: scheduler.ReasonNoTarget}}
}
