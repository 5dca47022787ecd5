package fuzz

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/scheduler"
)

// Limits of the entry role, as in packages entry and broker.
const (
	ownerCheckPeriod = 200 * time.Millisecond
	reconnectDelay   = 100 * time.Millisecond
	decisionGrace    = 250 * time.Millisecond
	dialTime         = 5 * time.Millisecond
	maxAttempts      = 4
)

// requestState is the state of a request at its entry.
type requestState int

const (
	stateWaiting requestState = iota
	stateGranted
	stateDispatched
	stateEnded
)

// outcome is the outcome of a request that its caller sees.
type outcome string

const (
	outcomeServed  outcome = "served"
	outcomeNotRun  outcome = "not-run"
	outcomeFailed  outcome = "failed"
	outcomeUnknown outcome = "unknown"
)

// request is one call of a caller.
type request struct {
	id           string
	workspace    string
	route        string
	tier         scheduler.Rank
	key          groupKey
	claimKey     string
	fingerprint  uint64
	poison       bool
	promptTokens int
	arrived      time.Time
	deadline     time.Time

	state     requestState
	sequence  uint64
	version   string
	target    string
	grantedAt time.Time
	expires   time.Time
	attempts  int
	avoid     []string
	claim     *claims.Claim
}

// entryRole holds the requests of one instance; no other component dispatches them.
type entryRole struct {
	in            *instance
	requests      map[uint64]*request
	sequence      uint64
	brokerStreams map[groupKey]*stream
	reconnectAt   map[groupKey]time.Time
	ownersChecked time.Time
}

func newEntryRole(in *instance) *entryRole {
	return &entryRole{
		in:            in,
		requests:      make(map[uint64]*request),
		brokerStreams: make(map[groupKey]*stream),
		reconnectAt:   make(map[groupKey]time.Time),
	}
}

// accept handles a new request from a caller.
func (e *entryRole) accept(r *request) {
	e.in.world.oracle.arrived(e.in, r)
	if !e.in.alive || e.in.paused || e.in.draining || !e.in.ready {
		e.finish(r, outcomeNotRun, "not ready", "")
		return
	}
	e.submit(r)
}

// submit requests a grant with a new ticket.
func (e *entryRole) submit(r *request) {
	if r.attempts == maxAttempts {
		e.endUndispatched(r, "retry budget")
		return
	}
	r.attempts++
	e.sequence++
	r.sequence, r.state, r.target = e.sequence, stateWaiting, ""
	r.version = e.in.chooseVersion(r)
	e.requests[r.sequence] = r
	if s, ok := e.brokerStreams[r.key]; ok {
		e.send(r.key, s, ticketMessage{submit: []scheduler.Ticket{e.ticket(r)}})
		return
	}
	e.connect(r.key) // a new stream sends all waiting tickets first
}

func (e *entryRole) ticket(r *request) scheduler.Ticket {
	return scheduler.Ticket{
		ID: e.ticketID(r), Workspace: r.workspace, Weight: 1, Tier: r.tier, Route: r.route, Version: r.version,
		PromptTokens: r.promptTokens, OutputTokens: 100, BodyBytes: int64(4 * r.promptTokens), Region: e.in.region,
		Deadline: r.deadline, Fingerprint: r.fingerprint, Cancellable: r.tier == lowestRank && r.claimKey == "",
		Idempotent: r.claimKey == "", Avoid: slices.Clone(r.avoid),
	}
}

func (e *entryRole) ticketID(r *request) scheduler.TicketID {
	return scheduler.TicketID{Instance: e.in.name, Incarnation: e.in.incarnation, Sequence: r.sequence}
}

// connect opens a stream to the group's owner if the owner is reachable. It
// tries again after reconnectDelay at the earliest.
func (e *entryRole) connect(key groupKey) {
	now := time.Now()
	if now.Before(e.reconnectAt[key]) {
		return
	}
	owner := e.in.owner(key)
	e.reconnectAt[key] = now.Add(reconnectDelay)
	if owner == nil || !owner.alive || !e.in.world.network.connected(e.in, owner) {
		return
	}
	s := e.in.world.network.open(e.in, owner)
	s.onEntryLost = func() {
		if e.brokerStreams[key] == s {
			delete(e.brokerStreams, key)
			e.reconnectAt[key] = time.Now().Add(reconnectDelay)
		}
	}
	e.brokerStreams[key] = s
	e.in.world.network.sendToBroker(s, func() {
		b := owner.broker(key)
		if b == nil {
			e.in.world.network.breakStream(s)
			return
		}
		b.addSession(s)
	})
	e.resend(key, s)
}

// resend reports all waiting tickets and running grants to a broker.
func (e *entryRole) resend(key groupKey, s *stream) {
	var m ticketMessage
	for _, r := range e.sortedRequests() {
		switch {
		case r.key != key:
		case r.state == stateWaiting:
			m.submit = append(m.submit, e.ticket(r))
		default:
			m.running = append(m.running, runningTicket{e.ticket(r), r.target, time.Since(r.grantedAt)})
		}
	}
	e.send(key, s, m)
}

func (e *entryRole) send(key groupKey, s *stream, m ticketMessage) {
	owner := s.broker
	e.in.world.network.sendToBroker(s, func() {
		if b, ok := owner.brokers[key]; ok {
			b.receive(s, m)
		}
	})
}

// notifyBroker sends a message if a stream is open. Otherwise the next stream
// resends the state.
func (e *entryRole) notifyBroker(r *request, m ticketMessage) {
	if s, ok := e.brokerStreams[r.key]; ok {
		e.send(r.key, s, m)
	}
}

func (e *entryRole) sortedRequests() []*request {
	all := make([]*request, 0, len(e.requests))
	for _, r := range e.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return all
}

func (e *entryRole) streams() []*stream {
	var all []*stream
	for _, key := range groupKeys(baseConfig) {
		if s, ok := e.brokerStreams[key]; ok {
			all = append(all, s)
		}
	}
	return all
}

// tick ends requests that no broker has decided, closes streams to former owners
// and opens missing ones.
func (e *entryRole) tick(now time.Time) {
	for _, r := range e.sortedRequests() {
		if r.state == stateWaiting && now.After(r.deadline.Add(decisionGrace)) {
			e.notifyBroker(r, ticketMessage{withdraw: []scheduler.TicketID{e.ticketID(r)}})
			e.endUndispatched(r, "no broker")
		}
	}
	if now.Sub(e.ownersChecked) < ownerCheckPeriod {
		return
	}
	e.ownersChecked = now
	for _, key := range groupKeys(baseConfig) {
		s, ok := e.brokerStreams[key]
		if ok && e.in.owner(key) != s.broker {
			e.in.world.network.breakStream(s)
			delete(e.brokerStreams, key)
			ok = false
		}
		needed := slices.ContainsFunc(e.sortedRequests(), func(r *request) bool { return r.key == key })
		if !ok && needed {
			e.connect(key)
		}
	}
}

// granted handles a grant after a check against the current state of the entry.
func (e *entryRole) granted(id scheduler.TicketID, target string, valid time.Duration) {
	r := e.requests[id.Sequence]
	now := time.Now()
	if r == nil || r.state != stateWaiting {
		if r == nil {
			e.complete(groupOf(target), id, scheduler.ResultNotDispatched)
		}
		return
	}
	r.state, r.target, r.grantedAt, r.expires = stateGranted, target, now, now.Add(valid)
	if !e.in.usableTarget(target) && !e.in.world.defect.grantsLeaving() {
		r.avoid = append(r.avoid, target)
		e.retry(r)
		return
	}
	if !e.in.versionAllowed(r.version) {
		e.retry(r)
		return
	}
	e.dispatch(r)
}

func groupOf(target string) groupKey {
	for _, p := range baseConfig.GetPools() {
		position := 0
		for _, t := range baseConfig.GetTargets() {
			if t.GetPool() != p.GetName() {
				continue
			}
			if t.GetName() == target {
				return groupKey{p.GetName(), position % shardsOf(p)}
			}
			position++
		}
	}
	return groupKey{}
}

func (e *entryRole) complete(key groupKey, id scheduler.TicketID, result scheduler.Result) {
	if s, ok := e.brokerStreams[key]; ok {
		e.send(key, s, ticketMessage{complete: []scheduler.Completion{{
			ID: id, Result: result, PromptTokens: 200, OutputTokens: 100,
			FirstToken: 100 * time.Millisecond, Total: 500 * time.Millisecond,
		}}})
	}
}

// retry returns the grant and requests another. It is valid only if nothing has
// been written to the target.
func (e *entryRole) retry(r *request) {
	e.complete(r.key, e.ticketID(r), scheduler.ResultNotDispatched)
	delete(e.requests, r.sequence)
	e.submit(r)
}

// dispatch claims a call that must not run twice, dials the target and writes the
// request.
func (e *entryRole) dispatch(r *request) {
	if r.claimKey != "" && r.claim == nil && !e.claimCall(r) {
		return
	}
	t := e.in.world.targetNamed(r.target)
	if !t.up || !e.in.world.network.reaches(e.in, t.region) {
		r.avoid = append(r.avoid, r.target)
		e.in.world.after(dialTime, e.inIncarnation(func() { e.retry(r) }))
		return
	}
	r.state = stateDispatched
	e.notifyBroker(r, ticketMessage{dispatched: []scheduler.TicketID{e.ticketID(r)}})
	sequence, delivered := r.sequence, false
	receive := func(resp response) {
		if !delivered && r.sequence == sequence && r.state == stateDispatched {
			delivered = true
			e.handleResponse(r, resp)
		}
	}
	t.receive(e.in, r, r.version, func(resp response) {
		d := e.in.world.network.delay(t.region, e.in.region)
		e.in.world.after(d, e.inIncarnation(func() {
			if !e.in.world.network.reaches(e.in, t.region) {
				resp = response{broken: true}
			}
			receive(resp)
		}))
	})
	e.in.world.after(responseTimeout, e.inIncarnation(func() {
		t.cancel(r)
		receive(response{failed: true})
	}))
}

// inIncarnation wraps an event so that it runs only in this incarnation, and only
// after a pause has ended.
func (e *entryRole) inIncarnation(run func()) func() {
	return func() {
		if e.in.entry == e {
			e.in.handle(run)
		}
	}
}

func versionHash(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}
