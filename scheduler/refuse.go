package scheduler

import (
	"slices"
	"time"
)

const (
	// noTargetRetry is the retry time if no target has the required version;
	// loading a version takes far longer than any queue.
	noTargetRetry = 5 * time.Second
	// hardLimitFactor times the queue limit is the hard limit, which holds even
	// while siblings have not acknowledged a floor. It only protects memory,
	// because a refusal without a floor can break the tier order: at the default
	// limit it holds the 3,400 requests/s of section 2.7 for the 4.7 s of a pause.
	hardLimitFactor = 16
)

// refuseImmediately refuses a new ticket that must not wait.
func (g *Group) refuseImmediately(now time.Time, t *Ticket) (Decision, bool) {
	if verdict, remaining := g.verdict(now, t); verdict == VerdictQuarantined {
		return Refusal{Ticket: t.ID, Reason: ReasonQuarantined, RetryAfter: remaining}, true
	}
	if held, ok := g.floor.current(now); ok && t.Tier > held.highest {
		return Refusal{Ticket: t.ID, Reason: ReasonShed, RetryAfter: held.until.Sub(now)}, true
	}
	return nil, false
}

// refuse removes a waiting ticket and returns its refusal.
func (g *Group) refuse(w *waiting, reason Reason, retryAfter time.Duration) Decision {
	w.class.tier.lastRefused = g.now
	g.dropWaiting(w)
	return Refusal{Ticket: w.ticket.ID, Reason: reason, RetryAfter: retryAfter}
}

// dropWaiting removes a ticket that will not be served.
func (g *Group) dropWaiting(w *waiting) {
	g.queue.drop(w)
	g.unreserve(w)
}

// unreserve ends the reservation for a ticket that left the queue.
func (g *Group) unreserve(w *waiting) {
	if g.reservedTarget != nil && g.reservedTarget.reservedFor == w {
		g.release(g.reservedTarget)
	}
}

// latestDispatch returns the last time at which a dispatch of the ticket could
// meet its deadline on the best target of its set. It ignores the queue: a refusal
// by an estimate of the queue could let a lower tier be served instead.
func (g *Group) latestDispatch(w *waiting) time.Time {
	uncached := w.ticket.PromptTokens - g.maxCachedTokens(&w.ticket)
	latest := w.ticket.Deadline.Add(-w.class.set.firstToken(uncached))
	if !w.answerBy.IsZero() {
		latest = earlier(latest, w.answerBy)
	}
	return latest
}

// refuseLate refuses the tickets that can no longer meet their deadline.
func (g *Group) refuseLate(now time.Time, decisions []Decision) []Decision {
	for len(g.queue.latest) > 0 && g.queue.latest[0].latest.Before(now) {
		w := g.queue.latest[0]
		// The speeds may have changed since the time was computed.
		if latest := g.latestDispatch(w); !latest.Before(now) {
			g.queue.setLatest(w, latest)
			continue
		}
		decisions = append(decisions, g.refuseDeadline(w))
	}
	return decisions
}

func (g *Group) refuseDeadline(w *waiting) Decision {
	for _, s := range w.class.set.members {
		if s.health.state == HealthHealthy {
			return g.refuse(w, ReasonDeadline, g.lateRetry(w))
		}
	}
	return g.refuse(w, ReasonNoTarget, noTargetRetry)
}

// retryAfter estimates when the tickets that wait now in the tier and above
// will have been served.
func (g *Group) retryAfter(tier Rank) time.Duration {
	return g.capacity.retryAfter(g.queue.waitingAtOrAbove(tier))
}

// shed reduces the queue to its limit: the newest ticket of the lowest tier is
// refused first, or with OverloadConfig the one that is served last. Running work of lower tiers is cancelled before that, and
// siblings must have stopped accepting the lower tiers.
func (g *Group) shed(now time.Time, decisions []Decision) []Decision {
	for g.queue.len() > g.cfg.QueueLimit+g.cancelling {
		w := g.shedNext()
		if d, ok := g.cancelFor(now, w); ok {
			decisions = append(decisions, d)
			continue
		}
		if request, ok := g.floor.requestFor(now, w.ticket.Tier); ok {
			decisions = append(decisions, request)
		}
		full := g.queue.len() > hardLimitFactor*g.cfg.QueueLimit
		if !full && !g.floor.mayShed(now, w.ticket.Tier) {
			break
		}
		decisions = append(decisions, g.refuse(w, ReasonQueueFull, g.retryAfter(w.ticket.Tier)))
	}
	return decisions
}

// refuseBelowFloor refuses the waiting tickets that a sibling's floor excludes.
func (g *Group) refuseBelowFloor(now time.Time) []Decision {
	held, ok := g.floor.current(now)
	if !ok {
		return nil
	}
	var decisions []Decision
	for _, tier := range slices.Backward(g.queue.tiers) {
		for tier.rank > held.highest && tier.newest != nil {
			decisions = append(decisions, g.refuse(tier.newest, ReasonShed, held.until.Sub(now)))
		}
	}
	return decisions
}
