package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of cancellations.
const (
	// cancelLead is the time before the last useful dispatch at which running
	// work is cancelled: two crossings of a region link for the cancellation
	// and its completion, and the time in which an engine frees the slot.
	cancelLead = 250 * time.Millisecond
	// maxCancelScan bounds the requests of a tier that are considered.
	maxCancelScan = 64
	// urgentInterval is the least time between two searches for urgent tickets,
	// and maxUrgentFailures the number of tickets without a request to cancel that
	// ends a search.
	urgentInterval    = 10 * time.Millisecond
	maxUrgentFailures = 8
)

// cancellableRuns holds the running requests that may be cancelled, by tier.
type cancellableRuns []*cancellableTier

type cancellableTier struct {
	rank   Rank
	newest *run
}

func (v *cancellableRuns) add(r *run) {
	if !r.ticket.Cancellable {
		return
	}
	i, ok := slices.BinarySearchFunc(*v, r.ticket.Tier, func(t *cancellableTier, rank Rank) int { return cmp.Compare(t.rank, rank) })
	if !ok {
		*v = slices.Insert(*v, i, &cancellableTier{rank: r.ticket.Tier})
	}
	tier := (*v)[i]
	r.isListed = true
	r.older, r.newer = tier.newest, nil
	if r.older != nil {
		r.older.newer = r
	}
	tier.newest = r
}

func (v *cancellableRuns) remove(r *run) {
	if !r.isListed {
		return
	}
	r.isListed = false
	if r.older != nil {
		r.older.newer = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		for _, tier := range *v {
			if tier.newest == r {
				tier.newest = r.older
			}
		}
	}
	r.older, r.newer = nil, nil
}

// cancelForUrgent cancels lower-tier work for the tickets that would otherwise
// miss their deadline.
func (g *Group) cancelForUrgent(now time.Time, decisions []Decision) []Decision {
	if len(g.cancellableRuns) == 0 || now.Sub(g.lastUrgentCheck) < urgentInterval {
		return decisions
	}
	g.lastUrgentCheck = now
	var urgent []*waiting
	g.queue.latest.visitBefore(now.Add(cancelLead), 0, func(w *waiting) { urgent = append(urgent, w) })
	if len(urgent) == 0 {
		return decisions
	}
	slices.SortFunc(urgent, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.ticket.Tier, b.ticket.Tier), cmp.Compare(a.sequence, b.sequence))
	})
	failed := 0
	for _, w := range urgent {
		if w.latest.Before(now) || g.hasRunningVictim(w) {
			continue
		}
		if d, ok := g.cancelFor(now, w); ok {
			decisions = append(decisions, d)
			continue
		}
		if failed++; failed == maxUrgentFailures {
			break
		}
	}
	return decisions
}

// cancelFor cancels one running request of the lowest tier below the ticket's, the
// newest first. It cancels nothing while an earlier cancellation for the ticket is
// in progress.
func (g *Group) cancelFor(now time.Time, w *waiting) (Decision, bool) {
	if g.hasRunningVictim(w) {
		return nil, false
	}
	if verdict, _ := g.verdict(now, &w.ticket); verdict != VerdictClean {
		// One free slot is not enough for a suspect, which needs an idle target, or for a
		// suspect part, which waits for another request to begin.
		return nil, false
	}
	for _, tier := range slices.Backward(g.cancellableRuns) {
		if tier.rank <= w.ticket.Tier {
			break
		}
		scanned := 0
		for r := tier.newest; r != nil && scanned < maxCancelScan; r = r.older {
			scanned++
			if g.freesSlotFor(now, r, w) {
				return g.cancel(r, w), true
			}
		}
	}
	return nil, false
}

// hasRunningVictim reports whether a request cancelled for the ticket still runs.
func (g *Group) hasRunningVictim(w *waiting) bool {
	if !w.hasVictim {
		return false
	}
	_, ok := g.running[w.victim]
	return ok
}

// freesSlotFor reports whether the end of the request would let the ticket run in time.
func (g *Group) freesSlotFor(now time.Time, r *run, w *waiting) bool {
	s := r.target
	usable := !s.removed && !s.Leaving && s.health.state == HealthHealthy && s.load(now) <= s.limiter.limit()
	if !usable || !s.isMember(w.class.set) || avoids(now, &w.ticket, s) {
		return false
	}
	return g.estimate(now, &w.ticket, s).inTime
}

func (g *Group) cancel(r *run, w *waiting) Decision {
	r.cancelled = true
	g.cancelling++
	g.cancellableRuns.remove(r)
	w.victim, w.hasVictim = r.ticket.ID, true
	return Cancellation{Ticket: r.ticket.ID, Reason: ReasonHigherTier}
}

// visitBefore visits the tickets whose last useful dispatch is before the given time.
func (h latestHeap) visitBefore(t time.Time, i int, visit func(*waiting)) {
	if i >= len(h) || !h[i].latest.Before(t) {
		return
	}
	visit(h[i])
	h.visitBefore(t, 2*i+1, visit)
	h.visitBefore(t, 2*i+2, visit)
}
