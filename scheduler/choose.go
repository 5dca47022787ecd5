package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

const (
	// scanAll is the number of open targets up to which all are compared.
	scanAll = 32
	// sampled is the number of random open targets that are compared otherwise,
	// beside the holders of the prompt's prefix.
	sampled = 16
	// maxHolders bounds the holders that are compared.
	maxHolders = 16
	// loadSpread is the cost of a full target over an idle one; it only
	// decides between targets that are otherwise alike.
	loadSpread = 10 * time.Millisecond
	// paceReserve is the time before the last useful dispatch at which a ticket
	// stops waiting for a target that keeps its tier's time between tokens.
	paceReserve = 500 * time.Millisecond
	// paceShare is the part of the objective that the expected time between
	// tokens may take. Prompts that arrive later slow the target down, so with
	// the whole objective about half of the requests would miss it.
	paceShare = 0.85
	// refusalMemory is how long a tier that was refused something counts as short
	// of slots.
	refusalMemory = 5 * time.Second
)

// estimate is what running a ticket on a target is expected to take; times in seconds.
type estimate struct {
	cost    float64
	wait    float64
	first   float64
	prefill float64
	total   float64
	// inTime tells that the first token meets the deadline, inTimeIdle that it
	// would without the prompts granted before.
	inTime, inTimeIdle bool
	// paced tells that the time between tokens meets the tier's objective, or
	// that no target of the set would meet it; slack is what is left until the
	// first token would be late.
	paced bool
	slack float64
	// finishes tells that the whole answer is expected in time.
	finishes bool
	// penalty is the price of the paid link.
	penalty float64
}

// estimate is the cost of the ticket on the target: wait, prefill of what is
// not cached, decoding, and transfer with its price.
func (g *Group) estimate(now time.Time, t *Ticket, s *targetState) estimate {
	cached := min(s.index.match(now, t.Prefix), t.PromptTokens)
	uncached := t.PromptTokens - cached
	load := s.load(now)
	var e estimate
	e.wait = s.promptWait(now).Seconds()
	e.prefill = s.speed.perToken * float64(uncached)
	first := s.speed.firstTokenSeconds(uncached)
	x := g.transferTo(now, t, s.Region)
	e.total = x.seconds + e.wait + first + s.speed.decodeSeconds(t.OutputTokens, load+1)
	if s.Service {
		e.total = max(e.total, x.seconds+s.speed.total)
	}
	e.finishes = t.Finish.IsZero() || e.total <= t.Finish.Sub(now).Seconds()
	spread := loadSpread.Seconds() * float64(load) / float64(s.limiter.limit())
	e.penalty = x.penalty
	e.cost = e.total + x.penalty + spread + (g.cfg.PrefillWeight-1)*e.prefill
	left := t.Deadline.Sub(now).Seconds() - x.seconds
	e.first = e.wait + first
	// Without the mean error about half of the tickets that are granted at the
	// last moment would spend their prefill and still be late.
	left -= s.speed.margin(e.first)
	e.slack = left - e.first
	e.inTime = e.slack >= 0
	e.inTimeIdle = e.inTime
	if !e.inTime {
		trust := s.speed.trust(now)
		e.inTimeIdle = trust*first <= left
		e.inTime = trust*e.first <= left
	}
	return e
}

// choose returns the open target of least cost that meets the ticket's deadline
// and, while there is time to wait for one, the tier's time between tokens.
// Without one, waits tells whether one would once its prompts are done.
func (g *Group) choose(now time.Time, w *waiting, open []*targetState) (best *targetState, chosen estimate, waits bool) {
	chosen.cost = math.Inf(1)
	// By the estimates, no target would meet the deadline any more.
	late := w.latest.Before(now)
	consider := func(s *targetState) {
		if avoids(&w.ticket, s) {
			return
		}
		e := g.estimate(now, &w.ticket, s)
		if late && s.mayCorrect(now, &w.ticket) {
			e.inTime = true
		}
		e.paced = g.paced(now, w, s)
		switch {
		case !e.finishes && g.finishesElsewhere(now, w):
			// On this target the answer would be cut off and its slot wasted.
		case !e.inTime:
			waits = waits || e.inTimeIdle
		case best == nil || e.better(chosen) || (!chosen.better(e) && s.Name < best.Name):
			best, chosen = s, e
		}
	}
	g.eachCandidate(w, open, consider)
	if best != nil && (g.awaitsPace(now, w, chosen) || g.awaitsLocal(now, w, chosen)) {
		return nil, chosen, waits
	}
	return best, chosen, waits
}

// mayCorrect tells whether the target is idle and would meet the ticket's deadline by
// its initial estimate. A refusal would then rest on what was learned in a slow
// spell, and only a request that runs can correct it.
func (s *targetState) mayCorrect(now time.Time, t *Ticket) bool {
	return s.load(now) == 0 && s.speed.priorFirstToken(float64(t.PromptTokens)) <= t.Deadline.Sub(now).Seconds()
}

// finishesElsewhere tells whether a target of the set, busy or not, would give the
// whole answer in time once the request begins there.
func (g *Group) finishesElsewhere(now time.Time, w *waiting) bool {
	left := w.ticket.Finish.Sub(now).Seconds()
	for _, s := range w.class.set.members {
		if s.health.state != HealthHealthy || s.Leaving || avoids(&w.ticket, s) {
			continue
		}
		whole := s.speed.firstTokenSeconds(w.ticket.PromptTokens) + s.speed.decodeSeconds(w.ticket.OutputTokens, s.limiter.limit())
		if whole <= left {
			return true
		}
	}
	return false
}

// awaitsPace tells whether the ticket should wait for a target with a better
// pace: not when its tier needs every slot, as a lower tier would then be served
// in its place.
func (g *Group) awaitsPace(now time.Time, w *waiting, e estimate) bool {
	tier := w.class.tier
	if e.paced || now.Sub(tier.refused) < refusalMemory {
		return false
	}
	queue := g.capacity.wait(g.queue.waitingUpTo(tier.rank))
	return e.slack > (queue + paceReserve).Seconds()
}

// awaitsLocal tells whether a target that is closed for its backlog is cheaper
// than the chosen one behind the paid link.
func (g *Group) awaitsLocal(now time.Time, w *waiting, chosen estimate) bool {
	if chosen.penalty == 0 {
		return false
	}
	found := false
	g.eachCandidate(w, w.class.set.members, func(s *targetState) {
		if s.Region != w.ticket.Region || !s.backlogged(now) || !s.takesMore(now) || avoids(&w.ticket, s) {
			return
		}
		e := g.estimate(now, &w.ticket, s)
		found = found || (e.inTime && e.cost < chosen.cost)
	})
	return found
}

// better orders estimates: those that keep the tier's pace first, then by cost.
func (e estimate) better(than estimate) bool {
	if e.paced != than.paced {
		return e.paced
	}
	return e.cost < than.cost
}

// paced tells whether one more request on the target keeps the objective of the
// ticket's tier for the time between tokens.
func (g *Group) paced(now time.Time, w *waiting, s *targetState) bool {
	objective := g.cfg.TierIntervals[w.ticket.Tier].Seconds()
	if objective == 0 || s.Service || w.class.set.interval > objective {
		return true
	}
	return s.speed.intervalSeconds(s.load(now)+1) <= paceShare*objective
}

// eachCandidate visits all open targets, or a sample if they are many.
func (g *Group) eachCandidate(w *waiting, open []*targetState, consider func(*targetState)) {
	if len(open) <= scanAll {
		for _, s := range open {
			consider(s)
		}
		return
	}
	for _, s := range g.openHolders(w) {
		consider(s)
	}
	for range sampled {
		consider(open[g.rng.IntN(len(open))])
	}
}

// openHolders returns open targets that hold the longest known prefix of the ticket.
func (g *Group) openHolders(w *waiting) []*targetState {
	for _, hash := range slices.Backward(w.ticket.Prefix) {
		var found []*targetState
		for i, s := range g.holders[hash] {
			if i == maxHolders {
				break
			}
			if s.isOpenIn(w.class.set) {
				found = append(found, s)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// cachedAnywhere bounds the prompt tokens that any target can hold. The next
// sampled block is held by none, so less than twice the tokens are cached.
func (g *Group) cachedAnywhere(t *Ticket) int {
	for i, hash := range slices.Backward(t.Prefix) {
		if len(g.holders[hash]) > 0 {
			return min(t.PromptTokens, 2*prefix.SampledTokens(i))
		}
	}
	return 0
}

func (s *targetState) isOpenIn(set *versionSet) bool {
	for i := range s.refs {
		if s.refs[i].set == set {
			return s.refs[i].position >= 0
		}
	}
	return false
}

func avoids(t *Ticket, s *targetState) bool {
	return len(t.Avoid) > 0 && slices.Contains(t.Avoid, s.Name)
}
