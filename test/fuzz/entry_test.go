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

// requestState is how far an entry has come with a request.
type requestState int

const (
	stateWaiting requestState = iota
	stateGranted
	stateDispatched
	stateEnded
)

// outcome is the end of a request as its caller sees it.
type outcome string

const (
	outcomeServed  outcome = "served"
	outcomeNotRun  outcome = "not-run"
	outcomeFailed  outcome = "failed"
	outcomeUnknown outcome = "unknown"
)

// request is one call of a caller.
type request struct {
	id          string
	workspace   string
	route       string
	tier        scheduler.Rank
	key         groupKey
	claimKey    string
	fingerprint uint64
	poison      bool
	prompt      int
	arrived     time.Time
	deadline    time.Time

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

// entryRole keeps the requests of one instance. It alone dispatches them.
type entryRole struct {
	in       *instance
	requests map[uint64]*request
	sequence uint64
	links    map[groupKey]*stream
	retryAt  map[groupKey]time.Time
	checked  time.Time
}

func newEntryRole(in *instance) *entryRole {
	return &entryRole{
		in:       in,
		requests: make(map[uint64]*request),
		links:    make(map[groupKey]*stream),
		retryAt:  make(map[groupKey]time.Time),
	}
}

// accept takes a call from a caller.
func (e *entryRole) accept(r *request) {
	e.in.world.oracle.arrived(e.in, r)
	if !e.in.alive || e.in.paused || e.in.draining || !e.in.ready {
		e.finish(r, outcomeNotRun, "not ready", "")
		return
	}
	e.submit(r)
}

// submit asks for a grant with a new ticket.
func (e *entryRole) submit(r *request) {
	if r.attempts == maxAttempts {
		e.giveUp(r, "retry budget")
		return
	}
	r.attempts++
	e.sequence++
	r.sequence, r.state, r.target = e.sequence, stateWaiting, ""
	r.version = e.in.chooseVersion(r)
	e.requests[r.sequence] = r
	if s, ok := e.links[r.key]; ok {
		e.send(r.key, s, ticketMessage{submit: []scheduler.Ticket{e.ticket(r)}})
		return
	}
	e.connect(r.key) // a new stream starts with all waiting tickets
}

func (e *entryRole) ticket(r *request) scheduler.Ticket {
	return scheduler.Ticket{
		ID: e.id(r), Workspace: r.workspace, Weight: 1, Tier: r.tier, Route: r.route, Version: r.version,
		PromptTokens: r.prompt, OutputTokens: 100, BodyBytes: int64(4 * r.prompt), Region: e.in.region,
		Deadline: r.deadline, Fingerprint: r.fingerprint, Cancellable: r.tier == lowestRank && r.claimKey == "",
		Idempotent: r.claimKey == "", Avoid: slices.Clone(r.avoid),
	}
}

func (e *entryRole) id(r *request) scheduler.TicketID {
	return scheduler.TicketID{Instance: e.in.name, Incarnation: e.in.incarnation, Sequence: r.sequence}
}

// connect opens a stream to the group's owner if it can.
func (e *entryRole) connect(key groupKey) {
	now := time.Now()
	if now.Before(e.retryAt[key]) {
		return
	}
	owner := e.in.owner(key)
	e.retryAt[key] = now.Add(reconnectDelay)
	if owner == nil || !owner.alive || !e.in.world.network.connected(e.in, owner) {
		return
	}
	s := e.in.world.network.open(e.in, owner)
	s.onEntryLost = func() {
		if e.links[key] == s {
			delete(e.links, key)
			e.retryAt[key] = time.Now().Add(reconnectDelay)
		}
	}
	e.links[key] = s
	e.in.world.network.toBrokerSide(s, func() {
		b := owner.broker(key)
		if b == nil {
			e.in.world.network.breakStream(s)
			return
		}
		b.join(s)
	})
	e.resend(key, s)
}

// resend tells a broker of all waiting tickets and running grants.
func (e *entryRole) resend(key groupKey, s *stream) {
	var m ticketMessage
	for _, r := range e.ordered() {
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
	e.in.world.network.toBrokerSide(s, func() {
		if b, ok := owner.brokers[key]; ok {
			b.receive(s, m)
		}
	})
}

// tell sends a message if a stream is open; a later stream repeats the state.
func (e *entryRole) tell(r *request, m ticketMessage) {
	if s, ok := e.links[r.key]; ok {
		e.send(r.key, s, m)
	}
}

func (e *entryRole) ordered() []*request {
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
		if s, ok := e.links[key]; ok {
			all = append(all, s)
		}
	}
	return all
}

// tick follows the owners, opens streams and refuses what no broker decides.
func (e *entryRole) tick(now time.Time) {
	for _, r := range e.ordered() {
		if r.state == stateWaiting && now.After(r.deadline.Add(decisionGrace)) {
			e.tell(r, ticketMessage{withdraw: []scheduler.TicketID{e.id(r)}})
			e.giveUp(r, "no broker")
		}
	}
	if now.Sub(e.checked) < ownerCheckPeriod {
		return
	}
	e.checked = now
	for _, key := range groupKeys(baseConfig) {
		s, ok := e.links[key]
		if ok && e.in.owner(key) != s.broker {
			e.in.world.network.breakStream(s)
			delete(e.links, key)
			ok = false
		}
		waits := slices.ContainsFunc(e.ordered(), func(r *request) bool { return r.key == key })
		if !ok && waits {
			e.connect(key)
		}
	}
}

// granted handles a grant, which is checked against what the entry knows now.
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
	if s, ok := e.links[key]; ok {
		e.send(key, s, ticketMessage{complete: []scheduler.Completion{{
			ID: id, Result: result, PromptTokens: 200, OutputTokens: 100,
			FirstToken: 100 * time.Millisecond, Total: 500 * time.Millisecond,
		}}})
	}
}

// retry gives the grant back and asks for another; nothing has been written.
func (e *entryRole) retry(r *request) {
	e.complete(r.key, e.id(r), scheduler.ResultNotDispatched)
	delete(e.requests, r.sequence)
	e.submit(r)
}

// dispatch claims the call if it must not run twice, dials and writes.
func (e *entryRole) dispatch(r *request) {
	if r.claimKey != "" && r.claim == nil && !e.claimCall(r) {
		return
	}
	t := e.in.world.targetNamed(r.target)
	if !t.up || !e.in.world.network.reaches(e.in, t.region) {
		r.avoid = append(r.avoid, r.target)
		e.in.world.after(dialTime, e.whileHere(func() { e.retry(r) }))
		return
	}
	r.state = stateDispatched
	e.tell(r, ticketMessage{dispatched: []scheduler.TicketID{e.id(r)}})
	sequence, delivered := r.sequence, false
	receive := func(a answer) {
		if !delivered && r.sequence == sequence && r.state == stateDispatched {
			delivered = true
			e.answered(r, a)
		}
	}
	t.receive(e.in, r, r.version, func(a answer) {
		d := e.in.world.network.delay(t.region, e.in.region)
		e.in.world.after(d, e.whileHere(func() {
			if !e.in.world.network.reaches(e.in, t.region) {
				a = answer{broken: true}
			}
			receive(a)
		}))
	})
	e.in.world.after(responseTimeout, e.whileHere(func() {
		t.cancel(r)
		receive(answer{failed: true})
	}))
}

// whileHere makes an event of this incarnation, which waits while paused.
func (e *entryRole) whileHere(run func()) func() {
	return func() {
		if e.in.entry == e {
			e.in.handle(run)
		}
	}
}

func versionHash(id string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return digest.Sum64()
}
