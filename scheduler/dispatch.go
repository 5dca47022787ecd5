package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// maxSkips bounds the tickets that are skipped in one call because no open
	// target suits them. Each costs an estimate for every open target; with 16 in
	// each tier a decision of 12 backlogged targets took 0.2 ms. If a call reaches the
	// bound in a long queue, its unsuited tickets are set aside until the next tick, so
	// that they do not keep the tickets behind them from open targets.
	maxSkips = 8
	// longQueue is the number of waiting tickets above which tickets are set aside. In a
	// shorter queue the order of arrival matters more.
	longQueue = 64
	// maxProbeScan bounds the tickets of a tier that are considered as a probe.
	maxProbeScan = 16
)

// placement is the result of an attempt to place a ticket.
type placement int

const (
	placed placement = iota
	// refused tickets have left the queue.
	refused
	// unsuited tickets remain queued; no open target suits them.
	unsuited
	// becameSuspect tickets have become suspects while they waited.
	becameSuspect
	// delayed tickets remain queued; an open target suits them once its current
	// prompts are done.
	delayed
)

// schedule grants waiting tickets while targets are open, the higher tiers first.
func (g *Group) schedule(now time.Time) []Decision {
	decisions := g.probe(now, nil)
	decisions = g.serveReserved(now, decisions)
	g.held = g.held[:0]
	for _, set := range g.skippedSets {
		set.skipped = 0
	}
	g.skippedSets = g.skippedSets[:0]
	skips := 0
	for _, tier := range g.queue.tiers {
		if tier.count == 0 {
			continue
		}
		decisions = g.scheduleSuspects(now, tier, decisions)
		var holdLower bool
		var skipped int
		decisions, holdLower, skipped = g.scheduleTier(now, tier, decisions, maxSkips-skips)
		skips += skipped
		if holdLower || skips >= maxSkips {
			// A grant to a lower tier would lengthen the wait of a delayed ticket.
			break
		}
	}
	return decisions
}

// scheduleTier reports whether lower tiers must wait for a delayed ticket, and how many of
// the permitted skips it used. Each restricted set has maxSkips of its own in a call, so that
// the tickets of a region without a suitable target do not use up those of all others.
func (g *Group) scheduleTier(now time.Time, tier *tierQueue, decisions []Decision, skips int) (_ []Decision, holdLower bool, skipped int) {
	var held []*versionSet
	g.skippedTickets = g.skippedTickets[:0]
	for skipped < skips {
		w := tier.next(now, g.held)
		if w == nil {
			break
		}
		d, result := g.place(now, w)
		switch result {
		case placed, refused:
			decisions = append(decisions, d)
		case becameSuspect:
			// The ticket is in the class of suspects now.
		case delayed, unsuited:
			if g.holdForZone(now, w, result) {
				break
			}
			if result == delayed {
				if w.class.set.restricted() {
					held = append(held, w.class.set)
				} else {
					holdLower = true
				}
			}
			skipped += g.setAside(w)
		}
	}
	for _, w := range g.skippedTickets {
		exhausted := skipped >= skips && !holdLower
		if w.class.set.restricted() {
			exhausted = w.class.set.skipped >= maxSkips && !slices.Contains(held, w.class.set)
		}
		if exhausted && g.queue.len() > longQueue {
			g.deferred = append(g.deferred, w)
			continue
		}
		heap.Push(&w.class.tickets, w)
	}
	g.held = append(g.held, held...)
	return decisions, holdLower, skipped
}

// restoreDeferred returns the tickets that were set aside to their classes. The tick does
// so before it removes empty classes.
func (g *Group) restoreDeferred() {
	for _, w := range g.deferred {
		if g.queue.byID[w.ticket.ID] == w {
			heap.Push(&w.class.tickets, w)
		}
	}
	clear(g.deferred)
	g.deferred = g.deferred[:0]
}

// setAside removes a ticket from its class until the end of the tier's turn. It returns the
// number of skips that this takes from the other classes.
func (g *Group) setAside(w *waiting) int {
	heap.Remove(&w.class.tickets, w.classIndex)
	g.skippedTickets = append(g.skippedTickets, w)
	set := w.class.set
	if !set.restricted() {
		return 1
	}
	if set.skipped == 0 {
		g.skippedSets = append(g.skippedSets, set)
	}
	set.skipped++
	return 0
}

// next returns the ticket with the least start tag among the classes that have
// an open target outside the held sets.
func (t *tierQueue) next(now time.Time, held []*versionSet) *waiting {
	var best *waiting
	for _, c := range t.classes {
		if len(c.tickets) == 0 || c.suspects || c.held(now) || c.set.skipped >= maxSkips || !c.set.hasOpenOutside(held) {
			continue
		}
		w := c.tickets[0]
		if best == nil || w.start < best.start || (w.start == best.start && w.sequence < best.sequence) {
			best = w
		}
	}
	return best
}

func (g *Group) place(now time.Time, w *waiting) (Decision, placement) {
	verdict, remaining := g.verdict(now, &w.ticket)
	switch verdict {
	case VerdictQuarantined:
		return g.refuse(w, ReasonQuarantined, remaining), refused
	case VerdictSuspect, VerdictTrial:
		g.queue.setSuspect(w, true)
		return nil, becameSuspect
	}
	s, best, fitsLater := g.choose(now, w, w.class.set.open)
	switch {
	case s != nil:
		w, best = g.preferShorter(now, w, s, best)
		return g.grant(now, w, s, best), placed
	case fitsLater:
		return nil, delayed
	}
	return nil, unsuited
}

// grant gives the ticket a slot on the target.
func (g *Group) grant(now time.Time, w *waiting, s *targetState, e estimate) Decision {
	g.queue.removeGranted(w)
	g.spillGranted(w, s)
	g.unreserve(w)
	r := &run{
		ticket: w.ticket, target: s, granted: now, batch: s.load(now) + 1,
		origin:   w.class.origin,
		expected: seconds(e.total), wait: seconds(e.wait), prefill: seconds(e.prefill), firstToken: seconds(e.first),
	}
	r.waitTokens = e.wait / s.speed.perToken
	switch verdict, _ := g.verdict(now, &w.ticket); verdict {
	case VerdictSuspect:
		r.exclusive = true
	case VerdictTrial:
		r.trial = true
	}
	g.countColdGrant(now, r)
	g.start(now, r)
	g.grants = append(g.grants, r)
	g.chargeLink(now, &w.ticket, s.Region)
	return Grant{Ticket: w.ticket.ID, Target: s.Name, Expires: now.Add(GrantValidity)}
}

// scheduleSuspects grants targets to the suspects of a tier and to the tickets with
// suspect parts.
func (g *Group) scheduleSuspects(now time.Time, tier *tierQueue, decisions []Decision) []Decision {
	// The loop may add classes, but only ones without suspects.
	for _, c := range tier.classes {
		if !c.suspects {
			continue
		}
		var waiting []*waiting
		for len(c.tickets) > 0 && len(waiting) < maxSkips {
			w := c.tickets[0]
			d, ok := g.scheduleSuspect(now, w)
			if !ok {
				// Others of the class may wait for something else.
				heap.Remove(&c.tickets, w.classIndex)
				waiting = append(waiting, w)
			}
			if d != nil {
				decisions = append(decisions, d)
			}
		}
		for _, w := range waiting {
			heap.Push(&c.tickets, w)
		}
	}
	return decisions
}

// scheduleSuspect reports false if the suspect has to wait. The decision is nil if
// the ticket is no longer a suspect.
func (g *Group) scheduleSuspect(now time.Time, w *waiting) (Decision, bool) {
	verdict, remaining := g.verdict(now, &w.ticket)
	switch verdict {
	case VerdictQuarantined:
		return g.refuse(w, ReasonQuarantined, remaining), true
	case VerdictClean:
		g.queue.setSuspect(w, false)
		return nil, true
	}
	if g.awaitsTrial(now, &w.ticket) {
		return nil, false
	}
	if verdict == VerdictTrial {
		return g.placeTrial(now, w)
	}
	return g.placeSuspect(now, w)
}

// placeSuspect grants a suspect an idle target, so that no other request fails
// with it, or reserves a target that then drains for it.
func (g *Group) placeSuspect(now time.Time, w *waiting) (Decision, bool) {
	var idle []*targetState
	for _, s := range w.class.set.open {
		if s.load(now) == 0 && len(idle) < maxFullScan {
			idle = append(idle, s)
		}
	}
	if s, best, _ := g.choose(now, w, idle); s != nil {
		return g.grant(now, w, s, best), true
	}
	if len(idle) == 0 && g.reservedTarget == nil {
		g.reserve(now, w)
	}
	return nil, false
}

// reserve reserves the target that is expected to be idle first; it then drains
// for the suspect. A target that would not be idle in time is not reserved.
func (g *Group) reserve(now time.Time, w *waiting) {
	var first *targetState
	for _, s := range w.class.set.members {
		if s.health.state != HealthHealthy || s.exclusive || avoids(now, &w.ticket, s) || s.busyUntil.After(w.latest) {
			continue
		}
		if first == nil || s.busyUntil.Before(first.busyUntil) {
			first = s
		}
	}
	if first == nil {
		return
	}
	g.reservedTarget, first.reservedFor = first, w
	g.refreshOpen(first)
}

// serveReserved grants the reserved target to its suspect once it is idle, and
// releases it if a ticket of a higher tier needs it.
func (g *Group) serveReserved(now time.Time, decisions []Decision) []Decision {
	s := g.reservedTarget
	if s == nil {
		return decisions
	}
	w := s.reservedFor
	if s.health.state != HealthHealthy || !s.isMember(w.class.set) || g.neededByHigherTier(s, w.ticket.Tier) {
		g.release(s)
		return decisions
	}
	if s.load(now) > 0 {
		return decisions
	}
	g.release(s)
	if e := g.estimate(now, &w.ticket, s); e.inTime && s.canOpen(now) {
		decisions = append(decisions, g.grant(now, w, s, e))
	}
	return decisions
}

// neededByHigherTier reports whether a ticket above the tier waits that only the
// reserved target could take.
func (g *Group) neededByHigherTier(s *targetState, rank Rank) bool {
	for _, tier := range g.queue.tiers {
		if tier.rank >= rank {
			return false
		}
		for _, c := range tier.classes {
			if len(c.tickets) > 0 && len(c.set.open) == 0 && s.isMember(c.set) {
				return true
			}
		}
	}
	return false
}

// release ends the reservation of a target.
func (g *Group) release(s *targetState) {
	if g.reservedTarget != s {
		return
	}
	g.reservedTarget, s.reservedFor = nil, nil
	g.refreshOpen(s)
}

// probe grants each half-open target one request as its probe, from the lowest
// suitable tier.
func (g *Group) probe(now time.Time, decisions []Decision) []Decision {
	if len(g.halfOpen) == 0 || g.queue.len() == 0 {
		return decisions
	}
	kept := g.halfOpen[:0]
	for _, s := range g.halfOpen {
		if s.health.state != HealthHalfOpen || s.removed {
			continue
		}
		w := g.findProbe(now, s)
		if w == nil {
			kept = append(kept, s)
			continue
		}
		s.health.startProbe(w.ticket.ID)
		decisions = append(decisions, g.grant(now, w, s, g.estimate(now, &w.ticket, s)))
	}
	clear(g.halfOpen[len(kept):])
	g.halfOpen = kept
	return decisions
}

func (g *Group) findProbe(now time.Time, s *targetState) *waiting {
	if s.Leaving || s.running >= s.limiter.limit() || !s.cold.allows(now) {
		return nil
	}
	lowest := g.capacity.lowestInUse()
	for i := len(g.queue.tiers) - 1; i >= 0; i-- {
		scanned := 0
		for w := g.queue.tiers[i].newest; w != nil && scanned < maxProbeScan; w = w.older {
			scanned++
			if g.isProbe(now, w, s, lowest) {
				return w
			}
		}
	}
	return nil
}

func (g *Group) isProbe(now time.Time, w *waiting, s *targetState, lowest Rank) bool {
	t := &w.ticket
	if !s.health.mayProbe(now, t, lowest) || !s.isMember(w.class.set) || avoids(now, t, s) {
		return false
	}
	verdict, _ := g.verdict(now, t)
	return verdict == VerdictClean
}
