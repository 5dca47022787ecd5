package broker

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// link keeps one group's ticket stream to the group's owner. Its goroutine owns
// all its fields but commands. When the owner changes or the stream breaks, the
// link sends the waiting tickets and the running grants again.
type link struct {
	client   *Client
	key      GroupKey
	commands chan func()
	calls    map[uint64]*Call

	peer     Peer
	stream   Stream
	received chan received
	out      *pb.TicketsRequest
	backoff  time.Duration
	retryAt  time.Time
	// owed holds the owners that may count requests of this entry as running
	// although they have ended, because the stream that would have told it is
	// gone, and until when they may.
	owed map[string]time.Time
	// ping is set while an empty request is to be sent.
	ping bool
	// heard is when the owner last answered; asked is when an unanswered empty
	// request was sent, zero without one.
	heard, asked time.Time
	// answered is heard for other goroutines, in Unix nanoseconds.
	answered atomic.Int64
}

type received struct {
	stream   Stream
	owner    string
	response *pb.TicketsResponse
	err      error
}

func newLink(c *Client, key GroupKey) *link {
	return &link{
		client:   c,
		key:      key,
		commands: make(chan func(), commandQueue),
		calls:    make(map[uint64]*Call),
		received: make(chan received, sessionQueue),
		out:      &pb.TicketsRequest{},
		owed:     make(map[string]time.Time),
	}
}

// do runs f in the link's goroutine.
func (l *link) do(f func()) {
	select {
	case l.commands <- f:
	case <-l.client.ctx.Done():
	}
}

func (l *link) run(ctx context.Context) {
	ticker := time.NewTicker(l.client.settings.OwnerCheckInterval)
	defer ticker.Stop()
	defer l.disconnect()
	for {
		l.connect(ctx)
		l.flush()
		select {
		case <-ctx.Done():
			return
		case f := <-l.commands:
			l.drain(f)
		case r := <-l.received:
			l.handle(r)
		case now := <-ticker.C:
			l.expire(now)
			l.followOwner()
			l.checkSilence(now)
		case <-l.retryTimer():
		}
	}
}

func (l *link) drain(first func()) {
	first()
	for range maxBatch {
		select {
		case f := <-l.commands:
			f()
		default:
			return
		}
	}
}

// retryTimer fires when a lost stream may be opened again.
func (l *link) retryTimer() <-chan time.Time {
	if l.stream != nil || len(l.calls) == 0 {
		return nil
	}
	return time.After(time.Until(l.retryAt))
}

// connect opens a stream to the owner and sends what the owner must know. A link
// stays closed without calls, unless the owner may count ended ones as running.
func (l *link) connect(ctx context.Context) {
	if l.stream != nil || (len(l.calls) == 0 && len(l.owed) == 0) || time.Now().Before(l.retryAt) {
		return
	}
	owner, ok := l.client.settings.Resolver.Owner(l.key)
	if !ok {
		l.delayReconnect()
		return
	}
	if len(l.calls) == 0 && !l.owes(owner.Name) {
		return
	}
	hello := &pb.Hello{
		Instance:    l.client.settings.Self,
		Incarnation: l.client.settings.Incarnation,
		Region:      l.client.settings.Region,
		Pool:        l.key.Pool,
		Shard:       int32(l.key.Shard),
	}
	stream, err := l.open(ctx, owner, hello)
	if err != nil {
		l.client.settings.Log.Debug("ticket stream not opened",
			zap.Stringer(field.Group, l.key), zap.String(field.Owner, owner.Name), zap.Error(err))
		l.delayReconnect()
		return
	}
	l.stream, l.peer = stream, owner
	l.heard, l.asked = time.Now(), time.Time{}
	delete(l.owed, owner.Name)
	go l.receive(ctx, stream, owner.Name)
	l.out = l.resend()
	l.out.Hello = hello
}

func (l *link) open(ctx context.Context, owner Peer, hello *pb.Hello) (Stream, error) {
	if owner.Name == l.client.settings.Self && l.client.settings.Local != nil {
		return l.client.settings.Local.Join(hello)
	}
	return l.client.settings.Opener.Open(ctx, owner)
}

// resend collects the waiting tickets and the running grants, in the order in
// which they came. A grant that is not used yet, for example because a claim is
// being written, is left out: the new broker would take it for a request that
// hangs on the target. It is told with the dispatch.
func (l *link) resend() *pb.TicketsRequest {
	request := &pb.TicketsRequest{}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		call := l.calls[id]
		switch {
		case call.state == callWaiting:
			request.Submit = append(request.Submit, call.message(now))
		case call.sent:
			request.Running = append(request.Running, call.running(now))
		}
	}
	return request
}

// receive passes on responses until the stream ends. What comes after the word
// that the peer is not the broker is the end of a stream that both sides leave and
// no failure.
func (l *link) receive(ctx context.Context, stream Stream, owner string) {
	for {
		response, err := stream.Receive()
		select {
		case l.received <- received{stream, owner, response, err}:
		case <-ctx.Done():
			return
		}
		if err != nil || response.GetNotBroker() != "" {
			return
		}
	}
}

func (l *link) handle(r received) {
	if r.err != nil && !errors.Is(r.err, io.EOF) && connect.CodeOf(r.err) != connect.CodeCanceled {
		// Also of a stream that was given up because a send failed, whose
		// error does not tell why.
		l.reportFailure(r.owner)
	}
	if r.stream != l.stream {
		return // from a stream that was given up
	}
	if named := r.response.GetNotBroker(); named != "" && l.client.settings.OnOwnerRedirect != nil {
		l.client.settings.OnOwnerRedirect(named)
	}
	if r.err != nil || r.response.GetNotBroker() != "" {
		l.lost()
		return
	}
	l.backoff = 0
	l.heard, l.asked = time.Now(), time.Time{}
	l.answered.Store(l.heard.UnixNano())
	for _, m := range r.response.GetGrant() {
		l.grant(m)
	}
	for _, m := range r.response.GetRefuse() {
		l.refuse(m)
	}
	for _, m := range r.response.GetCancel() {
		if call, ok := l.calls[m.GetId()]; ok && call.state == callGranted {
			closeOnce(call.cancelled)
		}
	}
}

func (l *link) grant(m *pb.GrantMessage) {
	call, ok := l.calls[m.GetId()]
	if !ok {
		// Withdrawn while the grant was on its way: give the slot back.
		l.out.Complete = append(l.out.Complete, &pb.Completion{
			Id: m.GetId(), Result: pb.Result_RESULT_NOT_DISPATCHED,
		})
		return
	}
	if call.state != callWaiting {
		return
	}
	now := time.Now()
	call.state, call.target, call.grantedAt, call.grantedOn = callGranted, m.GetTarget(), now, l.stream
	call.decided <- decision{grant: Grant{
		Target:  m.GetTarget(),
		Expires: now.Add(time.Duration(m.GetValidMs()) * time.Millisecond),
	}}
}

func (l *link) refuse(m *pb.RefuseMessage) {
	call, ok := l.calls[m.GetId()]
	if !ok || call.state != callWaiting {
		return
	}
	l.end(call)
	call.decided <- decision{refused: &RefusedError{
		Reason:     scheduler.Reason(m.GetReason()),
		RetryAfter: m.GetRetryAfterMs(),
	}}
}

func (l *link) submit(call *Call) {
	l.calls[call.ticket.GetId()] = call
	if l.stream != nil {
		l.out.Submit = append(l.out.Submit, call.message(time.Now()))
	}
}

func (l *link) withdraw(call *Call) {
	switch call.state {
	case callWaiting:
		l.end(call)
		if l.stream != nil {
			l.out.Withdraw = append(l.out.Withdraw, call.ticket.GetId())
		}
	case callGranted:
		l.complete(call, &pb.Completion{Id: call.ticket.GetId(), Result: pb.Result_RESULT_NOT_DISPATCHED})
	}
}

func (l *link) dispatched(call *Call) {
	if call.state != callGranted {
		return
	}
	call.sent = true
	switch l.stream {
	case nil:
	case call.grantedOn:
		l.out.Dispatched = append(l.out.Dispatched, call.ticket.GetId())
	default:
		now := time.Now()
		call.grantedAt = now
		l.out.Running = append(l.out.Running, call.running(now))
	}
}

// running is what a broker that did not grant the call is told of it.
func (call *Call) running(now time.Time) *pb.Running {
	return &pb.Running{
		Ticket: call.message(now),
		Target: call.target,
		AgeMs:  now.Sub(call.grantedAt).Milliseconds(),
	}
}

func (l *link) complete(call *Call, completion *pb.Completion) {
	if call.state == callEnded {
		return
	}
	l.end(call)
	if l.stream != nil {
		l.out.Complete = append(l.out.Complete, completion)
	}
}

func (l *link) end(call *Call) {
	call.state = callEnded
	delete(l.calls, call.ticket.GetId())
}

// expire refuses tickets that no broker has decided in time, for example
// because none can be reached.
func (l *link) expire(now time.Time) {
	for _, call := range l.calls {
		if call.state == callWaiting && now.After(call.deadline.Add(decisionGrace)) {
			l.withdraw(call)
			call.decided <- noBroker()
		}
	}
}

// decisionGrace is the time that a decision may take to arrive after the deadline.
const decisionGrace = 250 * time.Millisecond

// followOwner gives up a stream to an instance that no longer owns the group.
func (l *link) followOwner() {
	if l.stream == nil {
		return
	}
	if owner, ok := l.client.settings.Resolver.Owner(l.key); ok && owner != l.peer {
		l.disconnect()
	}
}

// checkSilence asks a silent owner for an answer while tickets wait, because
// the stream to a paused process does not break. An owner that gives none is
// reported; the stream is given up when the membership names another owner.
func (l *link) checkSilence(now time.Time) {
	if l.stream == nil || !l.hasWaiting() {
		l.heard, l.asked = now, time.Time{}
		return
	}
	switch {
	case l.asked.IsZero() && now.Sub(l.heard) >= l.client.settings.OwnerTimeout:
		l.ping, l.asked = true, now
	case !l.asked.IsZero() && now.Sub(l.asked) >= l.client.settings.ResponseTimeout:
		l.reportFailure(l.peer.Name)
		l.ping, l.asked = true, now
	}
}

// owes tells whether the owner may count ended requests of this entry as running.
func (l *link) owes(owner string) bool {
	now := time.Now()
	maps.DeleteFunc(l.owed, func(_ string, until time.Time) bool { return now.After(until) })
	_, ok := l.owed[owner]
	return ok
}

func (l *link) hasWaiting() bool {
	for _, call := range l.calls {
		if call.state == callWaiting {
			return true
		}
	}
	return false
}

func (l *link) reportFailure(instance string) {
	if report := l.client.settings.OnOwnerFailure; report != nil && instance != l.client.settings.Self {
		report(instance)
	}
}

func (l *link) flush() {
	if l.stream == nil || (isEmpty(l.out) && !l.ping) {
		return
	}
	l.ping = false
	request := l.out
	l.out = &pb.TicketsRequest{}
	if err := l.stream.Send(request); err != nil {
		l.lost()
	}
}

func isEmpty(r *pb.TicketsRequest) bool {
	return r.GetHello() == nil && len(r.GetSubmit()) == 0 && len(r.GetWithdraw()) == 0 &&
		len(r.GetComplete()) == 0 && len(r.GetRunning()) == 0 && len(r.GetDispatched()) == 0
}

// lost closes the stream and delays the next try.
func (l *link) lost() {
	l.disconnect()
	l.delayReconnect()
}

func (l *link) disconnect() {
	if l.stream == nil {
		return
	}
	// Also without running calls: ends that were sent last may be lost.
	l.owed[l.peer.Name] = time.Now().Add(scheduler.OrphanGrace)
	_ = l.stream.Close() // the peer notices the end of the stream either way
	l.stream = nil
	l.ping = false
	l.out = &pb.TicketsRequest{}
}

// delayReconnect doubles the delay up to reconnectMax, with jitter so that the
// entries of a dead broker do not all come to its successor at once.
func (l *link) delayReconnect() {
	l.backoff = min(max(2*l.backoff, reconnectMin), reconnectMax)
	l.retryAt = time.Now().Add(l.backoff/2 + rand.N(l.backoff))
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
