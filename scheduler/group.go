package scheduler

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Time limits of a group's records.
const (
	// OrphanGrace is how long running requests of an entry whose stream ended keep
	// their slots unless the entry reconnects and reports them. It is twice the
	// longest delay before an entry opens a new stream (1.5 s,
	// broker.reconnectMax).
	OrphanGrace = 3 * time.Second
	// reclaimRetention is how long a reclaimed grant is kept, so that a late
	// message about its dispatch is recognized.
	reclaimRetention = 10 * time.Second
	// defaultDeadline is the time until the deadline of a ticket that has none.
	defaultDeadline = time.Hour
)

// Group schedules the tickets of one target group. It is not safe for
// concurrent use.
type Group struct {
	cfg GroupConfig
	rng *rand.Rand
	// now is the time of the current call.
	now     time.Time
	targets map[string]*targetState
	// order holds the targets sorted by name, so that equal inputs give equal decisions.
	order   []*targetState
	sets    map[setKey]*versionSet
	holders holders
	links   map[RegionPair]*link
	queue   *queue
	running map[TicketID]*run
	// unbegun holds the running requests that have not begun to receive their response, by
	// shared part of their prompt.
	unbegun map[uint64][]*run
	// grants holds the granted requests in the order of their grants, for expiry.
	grants          []*run
	reclaimed       map[TicketID]*run
	cancellableRuns cancellableRuns
	// cancelling counts the running requests whose cancellation the group has asked for.
	cancelling int
	// halfOpen lists the targets that wait for a probe.
	halfOpen []*targetState
	// reservedTarget is the target that drains for a suspect.
	reservedTarget *targetState
	quarantine     *Quarantine
	// crashRecorded is set when a crash is recorded.
	crashRecorded bool
	// servedSuspects holds the entries of suspects served since TakeServedSuspects.
	servedSuspects []CrashEvidence
	// failedContent holds, by the fingerprint of a request that failed, the targets of
	// which it may be the last failure.
	failedContent map[uint64][]*targetState
	// failureRate is the moving average of served and failed completions, 1 for a
	// failure.
	failureRate float64
	floor       *floor
	capacity    capacity
	forecast    *forecaster
	// refusedContent holds the fingerprints of the tickets that were refused by their
	// forecast, and until when each is remembered.
	refusedContent map[uint64]time.Time
	// lastHopeless is when hopeless tickets were last searched for.
	lastHopeless time.Time
	lastSweep    time.Time
	// lastUrgentCheck is when cancellations for deadlines were last considered.
	lastUrgentCheck time.Time
	// cold holds the limits of cold targets, removedCold the records of removed ones, and
	// coldGrants counts the grants to limited targets.
	cold        coldLimits
	removedCold map[string]*coldState
	coldGrants  int64
	// skippedTickets holds the tickets skipped by scheduleTier. It is kept to reuse
	// its memory.
	skippedTickets []*waiting
	// deferred holds the waiting tickets that are considered again at the next tick.
	deferred []*waiting
	// held lists the sets whose targets are held for a delayed ticket of a higher tier.
	// Like skippedTickets it belongs to the current call.
	held []*versionSet
	// skippedSets lists the restricted sets with tickets that the current call has set aside.
	skippedSets []*versionSet
	spill       spillState
}

// run is a granted ticket.
type run struct {
	ticket     Ticket
	target     *targetState
	granted    time.Time
	dispatched bool
	cancelled  bool
	// exclusive marks a suspect, which must be the only request on its target.
	exclusive bool
	// trial marks a request with a suspect part.
	trial bool
	// begun is set once the request receives its response.
	begun bool
	// orphaned is when the entry's stream ended; zero while the stream is open.
	orphaned time.Time
	// reclaimed is when the unused grant was reclaimed.
	reclaimed time.Time
	// expected is the estimated time of the whole request, wait the time behind
	// other prompts, prefill the time of its own prompt, and firstToken the sum of
	// wait, prefill and the overhead.
	expected, wait, prefill, firstToken time.Duration
	// waitTokens is the wait, expressed in prompt tokens.
	waitTokens float64
	// batch is the number of requests on the target at the grant.
	batch int
	// tokens is what the request is expected to hold on its target.
	tokens int
	// origin is the ticket's zone and kind of work, nil without spill.
	origin *origin
	// older and newer are the neighbours among the tier's cancellable requests.
	older, newer *run
	// isListed is set while the request is among the tier's cancellable requests.
	isListed bool
	// send counts the request towards the limit of a cold target; nil without a limit.
	send *coldSend
}

// NewGroup returns an empty group.
func NewGroup(cfg GroupConfig, rng *rand.Rand) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:            cfg,
		rng:            rng,
		targets:        make(map[string]*targetState),
		sets:           make(map[setKey]*versionSet),
		holders:        make(holders),
		links:          newLinks(cfg.Links),
		queue:          newQueue(),
		running:        make(map[TicketID]*run),
		unbegun:        make(map[uint64][]*run),
		reclaimed:      make(map[TicketID]*run),
		quarantine:     NewQuarantine(),
		failedContent:  make(map[uint64][]*targetState),
		cold:           coldLimits{rate: cfg.ColdRate, coldStart: cfg.ColdStart},
		removedCold:    make(map[string]*coldState),
		floor:          newFloor(cfg.Siblings, cfg.LowestTier),
		forecast:       newForecaster(),
		refusedContent: make(map[uint64]time.Time),
		spill:          newSpillState(cfg.Spill),
	}
}

// SetTargets replaces the targets of the group. State learned about a target that
// remains is kept.
func (g *Group) SetTargets(now time.Time, targets []Target) []Decision {
	g.now = now
	g.beginColdSilence(now)
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.Name] = true
		g.setTarget(t)
	}
	for name, s := range g.targets {
		if !present[name] && !s.removed {
			g.removeTarget(s)
		}
	}
	for _, s := range g.targets {
		s.index.setLimit(g.cfg.PrefixEntries / max(1, len(targets)))
	}
	g.sortTargets()
	g.rebuildSets(now)
	g.capacity.countSlots(g.order)
	return append(g.refuseWithoutTarget(), g.decide(now)...)
}

func (g *Group) setTarget(t Target) {
	s, ok := g.targets[t.Name]
	if !ok || s.isEarlierStart(t) {
		started := newTargetState(g.now, t, g.holders)
		if ok {
			// Requests that were sent to the address may reach the new start.
			started.cold = s.cold
			g.retire(s)
		}
		s = started
		g.targets[t.Name] = s
	}
	g.setColdTimes(s, t)
	if s.Concurrency != t.Concurrency {
		s.limiter = newLimiter(t.Concurrency)
	}
	if s.PrefillTokensPerSecond != t.PrefillTokensPerSecond || s.DecodeTokensPerSecond != t.DecodeTokensPerSecond {
		s.speed = newSpeed(g.now, t)
	}
	s.Target = t
	s.removed = false
}

func (g *Group) removeTarget(s *targetState) {
	g.retire(s)
	g.deleteIfUnused(s)
}

// retire ends the use of a target's state. Requests that still run on it keep it until they
// end. The sets are rebuilt after all removals.
func (g *Group) retire(s *targetState) {
	s.removed = true
	s.index.clear()
	g.release(s)
	s.refs = nil
}

// deleteIfUnused deletes a removed target once nothing runs on it.
func (g *Group) deleteIfUnused(s *targetState) {
	if s.removed && s.running == 0 && g.targets[s.Name] == s {
		delete(g.targets, s.Name)
		g.removedCold[s.Name] = s.cold
		g.order = slices.DeleteFunc(g.order, func(o *targetState) bool { return o == s })
	}
}

func (g *Group) sortTargets() {
	g.order = slices.SortedFunc(maps.Values(g.targets), func(a, b *targetState) int { return cmp.Compare(a.Name, b.Name) })
}

// Submit adds a waiting ticket. A ticket that is already waiting or running is not
// added again.
func (g *Group) Submit(now time.Time, t Ticket) []Decision {
	g.now = now
	if _, ok := g.running[t.ID]; ok || g.queue.byID[t.ID] != nil {
		return nil
	}
	// An entry resubmits only tickets that it has not dispatched.
	delete(g.reclaimed, t.ID)
	if refusal, ok := g.refuseImmediately(now, &t); ok {
		return []Decision{refusal}
	}
	if t.Deadline.IsZero() {
		t.Deadline = now.Add(defaultDeadline)
	}
	g.capacity.submitted(t.Tier)
	g.recordUnreachable(now, &t)
	set := g.setOf(now, &t)
	if g.cannotServe(set) {
		return append([]Decision{Refusal{Ticket: t.ID, Reason: ReasonNoAllowedTarget, RetryAfter: minRetryAfter}}, g.decide(now)...)
	}
	verdict, _ := g.verdict(now, &t)
	w := g.queue.push(t, set, virtualCost(&t, set.usableOutput(now, &t)), t.Deadline, verdict != VerdictClean, g.spillOrigin(&t, set))
	w.answerBy = g.answerBy(now, &t)
	g.queue.setLatest(w, g.latestDispatch(w))
	g.forecast.arrived(now, &t, w.cost*weightOf(&t))
	return g.refuseByForecast(now, w, g.decide(now))
}

// recordUnreachable records a failure of the target that the entry just failed to reach.
func (g *Group) recordUnreachable(now time.Time, t *Ticket) {
	if len(t.Avoid) == 0 {
		return
	}
	s, ok := g.targets[t.Avoid[len(t.Avoid)-1]]
	if !ok {
		return
	}
	unreachable := *t
	unreachable.Fingerprint = 0 // no fault of the request
	g.suspect(now, s)
	g.targetFailed(now, &run{ticket: unreachable, target: s, granted: now}, false)
	g.refreshOpen(s)
}

// Adopt records a ticket that an earlier broker granted.
func (g *Group) Adopt(now time.Time, t Ticket, target string, age time.Duration) {
	g.now = now
	if r, ok := g.running[t.ID]; ok {
		r.orphaned = time.Time{}
		r.dispatched = true
		return
	}
	if w := g.queue.byID[t.ID]; w != nil {
		g.dropWaiting(w)
	}
	delete(g.reclaimed, t.ID)
	s, ok := g.targets[target]
	if !ok {
		s = newTargetState(now, Target{Name: target}, g.holders)
		g.setColdTimes(s, s.Target)
		s.removed = true
		g.targets[target] = s
		g.sortTargets()
	}
	// The time is counted from the adoption because the target's earlier progress
	// is unknown.
	r := &run{ticket: t, target: s, granted: now, dispatched: true, batch: s.running + 1, tokens: t.PromptTokens + t.OutputTokens}
	whole := s.speed.firstTokenSeconds(t.PromptTokens) + s.speed.decodeSeconds(t.OutputTokens, r.batch)
	r.expected = max(0, seconds(whole)-age)
	r.send = s.cold.adopted(now, age)
	g.start(now, r)
}

// start adds a granted request to the counts.
func (g *Group) start(now time.Time, r *run) {
	g.running[r.ticket.ID] = r
	g.forecast.started(now, r.ticket.Tier)
	g.reserveTokens(r)
	r.target.started(now, r.prefill)
	r.target.busyUntil = later(r.target.busyUntil, now.Add(r.expected))
	r.target.index.recordPrompt(r.granted, r.target.prefillEnd, r.ticket.Prefix)
	if r.exclusive {
		r.target.exclusive = true
	}
	g.beginTrial(r)
	g.cancellableRuns.add(r)
	g.refreshOpen(r.target)
}

// stop removes a request from the counts.
func (g *Group) stop(now time.Time, r *run) {
	delete(g.running, r.ticket.ID)
	g.forecast.ended(now)
	r.target.tokens -= r.tokens
	g.cancellableRuns.remove(r)
	if r.cancelled {
		g.cancelling--
	}
	if r.exclusive {
		r.target.exclusive = false
	}
	g.endTrial(r)
	r.target.ended(now)
	if r.target.zone != nil {
		r.target.zone.occupied--
	}
	g.refreshOpen(r.target)
	g.deleteIfUnused(r.target)
}

// Dispatched records that the entry has begun to use its grant.
func (g *Group) Dispatched(now time.Time, id TicketID) {
	g.now = now
	if r, ok := g.running[id]; ok {
		r.dispatched = true
		return
	}
	r, ok := g.reclaimed[id]
	if !ok {
		return
	}
	// The grant was reclaimed while the message was in transit, and the request is
	// running.
	delete(g.reclaimed, id)
	switch s, ok := g.targets[r.target.Name]; {
	case !ok:
		g.targets[r.target.Name] = r.target
		g.sortTargets()
	case s.Start == r.target.Start:
		r.target = s
	}
	r.dispatched = true
	g.start(now, r)
}

// Withdraw removes a waiting ticket whose caller has disconnected.
func (g *Group) Withdraw(now time.Time, id TicketID) []Decision {
	g.now = now
	if w := g.queue.byID[id]; w != nil {
		g.dropWaiting(w)
	}
	return g.decide(now)
}

// Complete ends a granted ticket. An unknown or reclaimed ticket is ignored.
func (g *Group) Complete(now time.Time, c Completion) []Decision {
	g.now = now
	if r, ok := g.reclaimed[c.ID]; ok {
		r.send.completed(now, c)
		delete(g.reclaimed, c.ID)
	}
	r, ok := g.running[c.ID]
	if !ok {
		return nil
	}
	r.send.completed(now, c)
	g.recordCompletion(now, r, c)
	g.spillEnded(now, r, &c)
	g.stop(now, r)
	if c.Result != ResultTargetCrashed {
		g.forecast.freed()
	}
	return g.decide(now)
}

// recordCompletion updates the state of the target from a completion.
func (g *Group) recordCompletion(now time.Time, r *run, c Completion) {
	s := r.target
	switch c.Result {
	case ResultServed:
		g.recordOutcome(false)
		g.recordServed(now, r, c)
	case ResultFailed:
		g.recordOutcome(true)
		g.targetFailed(now, r, false)
	case ResultTargetCrashed:
		g.suspect(now, s)
		g.recordCrash(now, r, r.begun || c.FirstToken > 0)
		g.recordCancelled(now, s)
		g.targetFailed(now, r, true)
		s.index.clear()
		s.prefillEnd = now
		s.external = 0
	case ResultNotDispatched:
		s.index.undo(r.granted, r.ticket.Prefix)
		s.prefillEnd = s.prefillEnd.Add(-r.prefill)
		if s.health.probe == r.ticket.ID {
			// Returning to half-open would assign the next ticket to an
			// unreachable target at once.
			g.targetFailed(now, r, false)
		}
	case ResultCancelled:
		g.probeEnded(r)
		if !r.begun && c.FirstToken == 0 {
			s.keepCancelled(now, r)
		}
	}
	if c.Result != ResultNotDispatched {
		s.health.lastDone = now
	}
}

func (g *Group) recordServed(now time.Time, r *run, c Completion) {
	s := r.target
	if e, ok := g.quarantine.RecordSuccess(now, r.ticket.Fingerprint); ok {
		g.servedSuspects = append(g.servedSuspects, e)
	}
	g.contentServed(r.ticket.Fingerprint)
	s.cold.times.Served(now, r.granted)
	g.markBegun(now, r)
	batch := (r.batch + s.running + 1) / 2
	if c.PromptTokens == 0 {
		c.PromptTokens = r.ticket.PromptTokens
	}
	s.speed.recordError(r.firstToken, c.FirstToken)
	slowness := s.speed.observe(now, c, backlog{r.waitTokens, r.wait}, batch)
	s.health.served(now, c.ID, slowness, g.rng)
	if interval, ok := tokenInterval(c); ok && !s.Service {
		s.limiter.observe(interval, s.speed.objective(g.cfg.TokenInterval), batch)
	}
	s.index.recordPrompt(now, now, r.ticket.Prefix)
	g.capacity.served(c.Total)
}

func (g *Group) probeEnded(r *run) {
	if r.target.health.probeEnded(r.ticket.ID) {
		g.halfOpen = append(g.halfOpen, r.target)
	}
}

// reclaim revokes a grant that was not used.
func (g *Group) reclaim(now time.Time, r *run) {
	g.probeEnded(r)
	r.target.index.undo(r.granted, r.ticket.Prefix)
	g.stop(now, r)
	r.cancelled = false
	r.reclaimed = now
	g.reclaimed[r.ticket.ID] = r
}

// ObserveLoad corrects the group's own counts by a target's published load.
func (g *Group) ObserveLoad(now time.Time, r LoadReport) {
	g.now = now
	if s, ok := g.targets[r.Target]; ok {
		s.observeLoad(now, r)
		g.refreshOpen(s)
	}
}

// SetExternalLoad sets the load on a target that the group has not granted: running
// requests and prompt tokens that wait for prefill.
func (g *Group) SetExternalLoad(now time.Time, target string, running, promptTokens int) {
	g.now = now
	if s, ok := g.targets[target]; ok {
		s.setExternalLoad(now, running, promptTokens)
		g.refreshOpen(s)
	}
}

// ObserveCache applies a target's cache events to the prefix index.
func (g *Group) ObserveCache(now time.Time, target string, events []CacheEvent) {
	g.now = now
	if s, ok := g.targets[target]; ok && !s.removed {
		s.index.observe(now, events)
	}
}

// TakeServedSuspects returns the entries of the suspects that were served since the last
// call, to send to other instances.
func (g *Group) TakeServedSuspects() []CrashEvidence {
	served := g.servedSuspects
	g.servedSuspects = nil
	return served
}

// Quarantined returns the suspects and quarantined fingerprints to send to other
// instances.
func (g *Group) Quarantined(now time.Time) []CrashEvidence { return g.quarantine.Entries(now) }
