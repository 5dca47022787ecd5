package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

const (
	// maxFullScan is the number of open targets up to which all are compared.
	maxFullScan = 32
	// sampleSize is the number of random open targets that are compared if there
	// are more, in addition to the holders of the prompt's prefix.
	sampleSize = 16
	// maxHolders bounds the holders that are compared.
	maxHolders = 16
	// maxLoadPenalty is the additional cost of a full target compared with an idle
	// one. It only decides between targets of otherwise equal cost.
	maxLoadPenalty = 10 * time.Millisecond
	// intervalReserve is the time before the last useful dispatch at which a
	// ticket stops waiting for a target that meets its tier's token interval
	// objective.
	intervalReserve = 500 * time.Millisecond
	// intervalShare is the fraction of the objective that the expected time
	// between tokens may use. Prompts that arrive later slow the target down: with
	// the whole objective, about half of the requests would miss it.
	intervalShare = 0.85
	// refusalWindow is how long a tier counts as short of slots after a refusal of
	// one of its tickets.
	refusalWindow = 5 * time.Second
)

// estimate is the expected cost of running a ticket on a target; times are in seconds.
type estimate struct {
	// cost is the total with all penalties and weights.
	cost float64
	// wait is the time behind other prompts, first the time to the first token,
	// prefill the time of the ticket's own prompt, and total the time of the whole
	// response. Only total includes the transfer.
	wait    float64
	first   float64
	prefill float64
	total   float64
	// inTime is set if the first token is expected by the deadline, inTimeIdle if
	// it would be without the prompts granted earlier.
	inTime, inTimeIdle bool
	// meetsInterval is set if the time between tokens meets the tier's objective,
	// or if no target of the set would meet it. slack is the time by which the
	// dispatch may be delayed without a late first token.
	meetsInterval bool
	slack         float64
	// finishes is set if the whole response is expected in time.
	finishes bool
	// penalty is the price of the transfer and the preference for local targets.
	penalty float64
}

// estimate returns the cost of the ticket on the target: wait, prefill of the
// uncached tokens, decoding, and the transfer with its price.
func (g *Group) estimate(now time.Time, t *Ticket, s *targetState) estimate {
	cached := min(s.index.match(now, t.Prefix), t.PromptTokens)
	uncached := t.PromptTokens - cached
	load := s.load(now)
	var e estimate
	e.wait = s.promptWait(now).Seconds()
	e.prefill = s.speed.perToken * float64(uncached)
	first := s.speed.firstTokenSeconds(uncached)
	transfer := g.transferTo(now, t, s.Region)
	e.total = transfer.seconds + e.wait + first + s.speed.decodeSeconds(t.OutputTokens, load+1)
	if s.Service {
		e.total = max(e.total, transfer.seconds+s.speed.total)
	}
	e.finishes = t.Finish.IsZero() || e.total <= t.Finish.Sub(now).Seconds()
	loadPenalty := maxLoadPenalty.Seconds() * float64(load) / float64(s.limiter.limit())
	e.penalty = transfer.penalty
	e.cost = e.total + transfer.penalty + loadPenalty + (g.cfg.PrefillWeight-1)*e.prefill
	remaining := t.Deadline.Sub(now).Seconds() - transfer.seconds
	e.first = e.wait + first
	// Without the margin, about half of the tickets that are granted at the last
	// moment would use prefill time and still be late.
	remaining -= s.speed.margin(e.first)
	e.slack = remaining - e.first
	e.inTime = e.slack >= 0
	e.inTimeIdle = e.inTime
	if !e.inTime {
		confidence := s.speed.confidence(now)
		e.inTimeIdle = confidence*first <= remaining
		e.inTime = confidence*e.first <= remaining
	}
	return e
}

// choose returns the open target of least cost that meets the ticket's deadline
// and, while there is time to wait for such a target, its tier's objective for the
// time between tokens. If there is none, fitsLater reports whether a target would
// meet the deadline once its current prompts are done.
func (g *Group) choose(now time.Time, w *waiting, open []*targetState) (best *targetState, chosen estimate, fitsLater bool) {
	chosen.cost = math.Inf(1)
	// According to the estimates, no target can meet the deadline any more.
	late := w.latest.Before(now)
	tokens := g.tokensOf(&w.ticket)
	consider := func(s *targetState) {
		if avoids(now, &w.ticket, s) {
			return
		}
		if !s.hasMemory(tokens) {
			fitsLater = fitsLater || s.holdsLowerTiers(tokens)
			return
		}
		e := g.estimate(now, &w.ticket, s)
		if late && s.canCorrectEstimate(now, &w.ticket) {
			e.inTime = true
		}
		e.meetsInterval = g.meetsInterval(now, w, s)
		switch {
		case !e.finishes && g.finishesElsewhere(now, w):
			// On this target the response would be cut off and the slot wasted.
		case !e.inTime:
			fitsLater = fitsLater || e.inTimeIdle
		case best == nil || e.better(chosen) || (!chosen.better(e) && s.Name < best.Name):
			best, chosen = s, e
		}
	}
	g.eachCandidate(w, outside(g.reachable(w, open), g.held), consider)
	if best == nil {
		g.eachCandidate(w, outside(g.unplanned(now, w, fitsLater), g.held), consider)
	}
	if best != nil && (g.waitsForInterval(now, w, chosen) || g.waitsForLocal(now, w, chosen)) {
		return nil, chosen, fitsLater
	}
	return best, chosen, fitsLater
}

// canCorrectEstimate reports whether the target is idle and would meet the
// ticket's deadline by its initial estimate. A refusal would then rest on an
// estimate learned while the target was slow, which only a running request can
// correct.
func (s *targetState) canCorrectEstimate(now time.Time, t *Ticket) bool {
	return s.load(now) == 0 && s.speed.priorFirstToken(float64(t.PromptTokens)) <= t.Deadline.Sub(now).Seconds()
}

// finishesElsewhere reports whether a target of the set, busy or not, would
// complete the response in time once the request starts there.
func (g *Group) finishesElsewhere(now time.Time, w *waiting) bool {
	remaining := w.ticket.Finish.Sub(now).Seconds()
	for _, s := range w.class.set.members {
		if s.health.state != HealthHealthy || s.Leaving || avoids(now, &w.ticket, s) {
			continue
		}
		whole := s.speed.firstTokenSeconds(w.ticket.PromptTokens) + s.speed.decodeSeconds(w.ticket.OutputTokens, s.limiter.limit())
		if whole <= remaining {
			return true
		}
	}
	return false
}

// waitsForInterval reports whether the ticket should wait for a target with a
// shorter time between tokens. It should not if its tier needs every slot: a lower
// tier would then be served in its place.
func (g *Group) waitsForInterval(now time.Time, w *waiting, e estimate) bool {
	tier := w.class.tier
	if e.meetsInterval || now.Sub(tier.lastRefused) < refusalWindow {
		return false
	}
	queue := g.capacity.wait(g.queue.waitingAtOrAbove(tier.rank))
	return e.slack > (queue + intervalReserve).Seconds()
}

// waitsForLocal reports whether a target in the ticket's region that is closed
// because of its backlog is cheaper than a chosen target in another region.
func (g *Group) waitsForLocal(now time.Time, w *waiting, chosen estimate) bool {
	if chosen.penalty == 0 {
		return false
	}
	found := false
	g.eachCandidate(w, w.class.set.members, func(s *targetState) {
		if s.Region != w.ticket.Region || !s.backlogged(now) || !s.acceptsRequests(now) || avoids(now, &w.ticket, s) {
			return
		}
		e := g.estimate(now, &w.ticket, s)
		found = found || (e.inTime && e.cost < chosen.cost)
	})
	return found
}

// better orders estimates: those that meet the objective for the time between
// tokens first, then by cost.
func (e estimate) better(than estimate) bool {
	if e.meetsInterval != than.meetsInterval {
		return e.meetsInterval
	}
	return e.cost < than.cost
}

// meetsInterval reports whether the target, with one more request, keeps the time
// between tokens within the objective of the ticket's tier.
func (g *Group) meetsInterval(now time.Time, w *waiting, s *targetState) bool {
	objective := g.cfg.TierIntervals[w.ticket.Tier].Seconds()
	if objective == 0 || s.Service || w.class.set.interval > objective {
		return true
	}
	return s.speed.intervalSeconds(s.load(now)+1) <= intervalShare*objective
}

// eachCandidate visits all open targets, or a sample if there are many.
func (g *Group) eachCandidate(w *waiting, open []*targetState, consider func(*targetState)) {
	if len(open) <= maxFullScan {
		for _, s := range open {
			consider(s)
		}
		return
	}
	for _, s := range outside(g.openHolders(w), g.held) {
		consider(s)
	}
	for range sampleSize {
		consider(open[g.rng.IntN(len(open))])
	}
}

// openHolders returns open targets that hold the longest indexed prefix of the ticket.
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

// maxCachedTokens returns an upper bound of the prompt tokens that any target has
// cached. No target holds the next sampled block, so less than twice the tokens
// are cached.
func (g *Group) maxCachedTokens(t *Ticket) int {
	for i, hash := range slices.Backward(t.Prefix) {
		if len(g.holders[hash]) > 0 {
			return min(t.PromptTokens, 2*prefix.SampledTokens(i))
		}
	}
	return 0
}

// isMember reports whether the target is in the set.
func (s *targetState) isMember(set *versionSet) bool {
	return slices.ContainsFunc(s.refs, func(r setRef) bool { return r.set == set })
}

func (s *targetState) isOpenIn(set *versionSet) bool {
	for i := range s.refs {
		if s.refs[i].set == set {
			return s.refs[i].position >= 0
		}
	}
	return false
}

func avoids(now time.Time, t *Ticket, s *targetState) bool {
	return slices.Contains(t.Avoid, s.Name) ||
		slices.ContainsFunc(t.Excluded, func(x Exclusion) bool { return x.Target == s.Name && now.Before(x.Until) })
}
