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

// link maintains one group's ticket stream to the group's owner. Its goroutine owns
// all its fields except commands, lastResponseNanos and admission, and never waits for the owner.
// When the owner changes or the stream breaks, the link resends the waiting tickets and
// the grants in use.
type link struct {
	client   *Client
	key      GroupKey
	commands *commands
	calls    map[uint64]*Call

	peer     Peer
	stream   Stream
	received chan received
	out      *pb.TicketsRequest
	backoff  time.Duration
	retryAt  time.Time
	// staleUntil holds, for each owner whose stream closed, the time until which it may
	// still count ended requests of this entry as running, because it may not have
	// received their completions.
	staleUntil map[string]time.Time
	// cold holds the entry's observations of cold targets.
	cold map[string]coldObservation
	// probe is set while an empty request is to be sent.
	probe bool
	// lastResponse is when the owner last responded or no ticket was waiting. probedAt
	// is when the pending empty request was sent, zero without one.
	lastResponse, probedAt time.Time
	// lastResponseNanos is when the owner last responded, in Unix nanoseconds, for
	// other goroutines.
	lastResponseNanos atomic.Int64
	admission         admission
}

type received struct {
	stream   Stream
	owner    Peer
	response *pb.TicketsResponse
	err      error
}

func newLink(c *Client, key GroupKey) *link {
	return &link{
		client:     c,
		key:        key,
		commands:   newCommands(),
		calls:      make(map[uint64]*Call),
		received:   make(chan received, sessionQueue),
		out:        &pb.TicketsRequest{},
		staleUntil: make(map[string]time.Time),
		cold:       make(map[string]coldObservation),
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
		case <-l.commands.ready:
			for _, f := range l.commands.take() {
				f()
			}
		case r := <-l.received:
			l.handle(r)
		case now := <-ticker.C:
			l.expire(now)
			l.checkOwner()
			l.checkOwnerResponds(now)
		case <-l.retryTimer():
		}
	}
}

// retryTimer fires when a closed stream may be reopened.
func (l *link) retryTimer() <-chan time.Time {
	if l.stream != nil || len(l.calls) == 0 {
		return nil
	}
	return time.After(time.Until(l.retryAt))
}

// connect opens a stream to the owner and queues the state to resend. Without calls
// no stream is opened, unless the owner may still count ended calls as running.
func (l *link) connect(ctx context.Context) {
	if l.stream != nil || (len(l.calls) == 0 && len(l.staleUntil) == 0) || time.Now().Before(l.retryAt) {
		return
	}
	owner, ok := l.client.settings.Resolver.Owner(l.key)
	if !ok {
		l.delayReconnect()
		return
	}
	if len(l.calls) == 0 && !l.mayBeStale(owner.Name) {
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
	l.lastResponse, l.probedAt = time.Now(), time.Time{}
	delete(l.staleUntil, owner.Name)
	go l.receive(ctx, stream, owner)
	l.out = l.resend()
	l.out.Hello = hello
}

func (l *link) open(ctx context.Context, owner Peer, hello *pb.Hello) (Stream, error) {
	if owner.Name == l.client.settings.Self && l.client.settings.Local != nil {
		return l.client.settings.Local.Join(hello)
	}
	return l.client.settings.Opener.Open(ctx, owner)
}

// resend collects the waiting tickets and the grants in use in the order of their
// submission. A grant that is not used yet, for example because a claim is being
// written, is left out, because the new broker would take it for a request that
// hangs on the target. It is reported when it is dispatched.
func (l *link) resend() *pb.TicketsRequest {
	request := &pb.TicketsRequest{}
	now := time.Now()
	request.Cold = l.coldMessages(now)
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		call := l.calls[id]
		switch {
		case call.state == callWaiting:
			request.Submit = append(request.Submit, call.message(now))
		case call.dispatched:
			request.Running = append(request.Running, call.running(now))
		}
	}
	return request
}

// receive passes on responses until the stream ends. It stops after a NotBroker
// response, because both sides then close the stream and the resulting error is not
// a failure.
func (l *link) receive(ctx context.Context, stream Stream, owner Peer) {
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
		// This includes streams closed after a failed send, whose error does not
		// state the cause.
		l.reportFailure(r.owner)
	}
	if r.stream != l.stream {
		return // from a stream that was already closed
	}
	if named := r.response.GetNotBroker(); named != "" && l.client.settings.OnOwnerRedirect != nil {
		l.client.settings.OnOwnerRedirect(named)
	}
	if r.err != nil || r.response.GetNotBroker() != "" {
		l.closeFailed()
		return
	}
	l.backoff = 0
	l.lastResponse, l.probedAt = time.Now(), time.Time{}
	l.lastResponseNanos.Store(l.lastResponse.UnixNano())
	if forecast := r.response.GetForecast(); forecast != nil {
		l.admission.set(l.lastResponse, toForecast(forecast))
	}
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
		// The ticket was withdrawn while the grant was in transit: release the slot.
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
		Forecast:   m.GetForecastMs(),
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
	call.dispatched = true
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

func (l *link) begun(call *Call) {
	if call.state == callGranted && l.stream != nil {
		l.out.Begun = append(l.out.Begun, call.ticket.GetId())
	}
}

// running returns the message that reports the call to a broker that did not grant it.
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

// expire refuses tickets that no broker has decided in time, for example because no
// broker is reachable.
func (l *link) expire(now time.Time) {
	for _, call := range l.calls {
		if call.state == callWaiting && now.After(call.deadline.Add(decisionGrace)) {
			l.withdraw(call)
			call.decided <- noBrokerRefusal()
		}
	}
}

// decisionGrace is how long after the deadline a decision may still arrive.
const decisionGrace = 250 * time.Millisecond

// checkOwner closes a stream to an instance that no longer owns the group.
func (l *link) checkOwner() {
	if l.stream == nil {
		return
	}
	if owner, ok := l.client.settings.Resolver.Owner(l.key); ok && owner != l.peer {
		l.disconnect()
	}
}

// checkOwnerResponds probes an unresponsive owner while tickets wait, because the
// stream to a paused process does not break. An owner that does not respond is
// reported; the stream is closed when the membership names another owner.
func (l *link) checkOwnerResponds(now time.Time) {
	if l.stream == nil || !l.hasWaiting() {
		l.lastResponse, l.probedAt = now, time.Time{}
		return
	}
	switch {
	case l.probedAt.IsZero() && now.Sub(l.lastResponse) >= l.client.settings.OwnerTimeout:
		l.probe, l.probedAt = true, now
	case !l.probedAt.IsZero() && now.Sub(l.probedAt) >= l.client.settings.ResponseTimeout:
		l.reportFailure(l.peer)
		l.probe, l.probedAt = true, now
	}
}

// mayBeStale reports whether the owner may still count ended requests of this entry
// as running.
func (l *link) mayBeStale(owner string) bool {
	now := time.Now()
	maps.DeleteFunc(l.staleUntil, func(_ string, until time.Time) bool { return now.After(until) })
	_, ok := l.staleUntil[owner]
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

func (l *link) reportFailure(owner Peer) {
	if report := l.client.settings.OnOwnerFailure; report != nil && owner.Name != l.client.settings.Self {
		report(owner)
	}
}

func (l *link) flush() {
	if l.stream == nil || (isEmpty(l.out) && !l.probe) {
		return
	}
	l.probe = false
	request := l.out
	l.out = &pb.TicketsRequest{}
	if err := l.stream.Send(request); err != nil {
		l.closeFailed()
	}
}

func isEmpty(r *pb.TicketsRequest) bool {
	return r.GetHello() == nil && len(r.GetSubmit()) == 0 && len(r.GetWithdraw()) == 0 &&
		len(r.GetComplete()) == 0 && len(r.GetRunning()) == 0 && len(r.GetDispatched()) == 0 &&
		len(r.GetBegun()) == 0 && len(r.GetCold()) == 0
}

// closeFailed closes a failed stream and delays the next attempt to open one.
func (l *link) closeFailed() {
	l.disconnect()
	l.delayReconnect()
}

func (l *link) disconnect() {
	if l.stream == nil {
		return
	}
	// The owner's state may be stale even if no call is running, because the last
	// completions may be lost.
	l.staleUntil[l.peer.Name] = time.Now().Add(scheduler.OrphanGrace)
	_ = l.stream.Close() // the peer detects the end of the stream in either case
	l.stream = nil
	l.admission.set(time.Now(), nil)
	l.probe = false
	l.out = &pb.TicketsRequest{}
}

// delayReconnect doubles the delay up to reconnectMax, with jitter so that the entries
// of a failed broker do not all connect to its successor at once.
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
