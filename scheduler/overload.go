package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of early refusals.
const (
	// forecastMargin times a ticket's useful time is the longest forecast wait at which the
	// ticket is admitted. A queue of half the objective keeps the slots in use as well as
	// a longer one does, and leaves its other half to the error of the forecast.
	forecastMargin = 0.5
	// repeatMargin takes the place of forecastMargin for the content of a ticket that was
	// refused before: a caller whose second attempt is refused has lost all its time.
	repeatMargin = 0.9
	// hopelessMargin times the rest of its useful time is the forecast wait from which a
	// ticket that waits already is refused, and hopelessInterval the time between two
	// searches for such tickets. They come from tickets that were admitted without a
	// forecast and from bursts of higher tiers.
	hopelessMargin   = 1.25
	hopelessInterval = 50 * time.Millisecond
	// repeatMemory is how long a refused content is remembered, and maxRepeats how many:
	// 10 s of refusals at 1,600 a second.
	repeatMemory = 10 * time.Second
	maxRepeats   = 16_000
	// AnswerShare is the part of a caller's remaining time after which a ticket that still
	// waits is refused. The caller then has time to take the refusal and to retry. Entries
	// bound their own wait by it too.
	AnswerShare = 0.7
	// orderWindow is how long after a grant to a lower tier no ticket is refused by its
	// forecast, and how long after such a refusal no ticket of a lower tier may wait. A
	// lower tier may have a longer objective, with which it would outwait the higher one.
	orderWindow = 100 * time.Millisecond
	// maxRetryShare of the remaining time is the longest delay that callers follow, and
	// minOverloadRetry the shortest that is given to them.
	maxRetryShare    = 1.0 / 3
	minOverloadRetry = 200 * time.Millisecond
	// retryJitter is the part of a retry time that is random, so that the callers that are
	// refused together do not return together.
	retryJitter = 0.3
)

// OverloadConfig holds the settings of a group for the time in which the demand exceeds
// the capacity. The zero value is off.
type OverloadConfig struct {
	// Enabled applies early refusals and bounded waits to all tickets.
	Enabled bool
	// NoForecast forbids refusals by the forecast. It is set for groups that several
	// instances run side by side, because each sees only a part of the slots that become
	// free.
	NoForecast bool
}

// forecastApplies reports whether a ticket may be refused by its forecast.
func (g *Group) forecastApplies(t *Ticket) bool { return g.cfg.Overload.Enabled || t.ForecastAdmission }

// mayForecast reports whether the forecast may be used.
func (g *Group) mayForecast(now time.Time) bool {
	return !g.cfg.Overload.NoForecast && g.forecast.measured(now)
}

// answerBy returns the end of a ticket's wait that leaves its caller time for the refusal;
// zero without one.
func (g *Group) answerBy(now time.Time, t *Ticket) time.Time {
	if t.Finish.IsZero() || !g.forecastApplies(t) {
		return time.Time{}
	}
	return now.Add(time.Duration(AnswerShare * float64(t.Finish.Sub(now))))
}

// refuseByForecast refuses the ticket that was just submitted if it still waits and is
// expected to wait for longer than it usefully can.
func (g *Group) refuseByForecast(now time.Time, w *waiting, decisions []Decision) []Decision {
	if g.queue.byID[w.ticket.ID] != w || !g.forecastApplies(&w.ticket) || !g.mayRefuseByForecast(now, w) {
		return decisions
	}
	wait := g.forecastWait(now, w)
	useful := w.latest.Sub(now)
	inTime := wait <= time.Duration(g.marginFor(now, &w.ticket)*float64(useful))
	if inTime && !g.forecast.refusedAbove(now.Add(-orderWindow), w.ticket.Tier) {
		return decisions
	}
	g.forecast.withdrawn(now, &w.ticket, w.cost*weightOf(&w.ticket))
	return append(decisions, g.refuseForecast(now, w, wait))
}

func (g *Group) refuseForecast(now time.Time, w *waiting, wait time.Duration) Decision {
	g.rememberRefused(now, w.ticket.Fingerprint)
	refusal := Refusal{Ticket: w.ticket.ID, Reason: ReasonForecast, RetryAfter: g.forecastRetry(now, &w.ticket, wait)}
	w.class.tier.lastRefused = now
	if w.answerBy.IsZero() || w.latest.Before(w.answerBy) {
		g.forecast.tier(w.ticket.Tier).refused = now
	}
	g.dropWaiting(w)
	return ForecastRefusal{Refusal: refusal, Wait: wait}
}

// refuseHopeless refuses the waiting tickets that are expected to wait for much longer than
// they usefully can, from the lowest tier up.
func (g *Group) refuseHopeless(now time.Time, decisions []Decision) []Decision {
	if now.Sub(g.lastHopeless) < hopelessInterval || !g.mayForecast(now) {
		return decisions
	}
	g.lastHopeless = now
	for _, tier := range slices.Backward(g.queue.tiers) {
		if tier.count == 0 {
			continue
		}
		higher, rate := g.queue.waitingAbove(tier.rank), g.forecast.tierRate(now, tier.rank)
		refused := 0
		for n, w := range tier.ordered() {
			wait := forecastTime(float64(higher+n-refused+1), rate)
			useful := time.Duration(hopelessMargin * float64(w.latest.Sub(now)))
			if higher+n > 0 && wait > useful && g.forecastApplies(&w.ticket) && g.mayRefuseByForecast(now, w) {
				decisions = append(decisions, g.refuseForecast(now, w, wait))
				refused++
			}
		}
	}
	return decisions
}

// shedNext returns the ticket of the lowest waiting tier that is refused first if the queue
// is full. The last one to be served belongs to the workspace that is furthest beyond its
// share.
func (g *Group) shedNext() *waiting {
	newest := g.queue.newestOfLowestTier()
	if newest == nil || !g.cfg.Overload.Enabled {
		return newest
	}
	last := newest
	for _, c := range newest.class.tier.classes {
		for _, w := range c.tickets {
			if w.start > last.start {
				last = w
			}
		}
	}
	return last
}

// ordered returns the tickets of the tier in the order in which they are served.
func (t *tierQueue) ordered() []*waiting {
	all := make([]*waiting, 0, t.count)
	for _, c := range t.classes {
		all = append(all, c.tickets...)
	}
	slices.SortFunc(all, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.sequence, b.sequence))
	})
	return all
}

// mayRefuseByForecast reports whether the forecast is reliable and a refusal keeps the
// order of the tiers.
func (g *Group) mayRefuseByForecast(now time.Time, w *waiting) bool {
	switch {
	case !g.mayForecast(now), w.class.suspects, w.class.set.hasRoom():
		return false
	case len(g.halfOpen) > 0:
		// A target that waits for its probe needs tickets to choose one from.
		return false
	case g.forecast.grantedBelow(now.Add(-orderWindow), w.ticket.Tier):
		return false
	}
	for _, tier := range g.cancellableRuns {
		if tier.rank > w.ticket.Tier && tier.newest != nil {
			return false
		}
	}
	return true
}

// forecastWait returns the expected wait of a waiting ticket from now on.
func (g *Group) forecastWait(now time.Time, w *waiting) time.Duration {
	tier := w.class.tier
	ahead := queued{higher: g.queue.waitingAbove(tier.rank), same: tier.before(w)}
	weight := weightOf(&w.ticket)
	ahead.backlog = (w.start + w.cost - min(tier.virtualTime, w.start)) * weight
	return g.forecast.wait(now, tier.rank, w.ticket.Workspace, weight, ahead)
}

// before counts the tickets of the tier that are served before the given one.
func (t *tierQueue) before(w *waiting) int {
	n := 0
	for _, c := range t.classes {
		for _, other := range c.tickets {
			if other.start < w.start || (other.start == w.start && other.sequence < w.sequence) {
				n++
			}
		}
	}
	return n
}

// marginFor returns the part of its useful time that the ticket may be expected to wait.
func (g *Group) marginFor(now time.Time, t *Ticket) float64 {
	if until, ok := g.refusedContent[t.Fingerprint]; ok && now.Before(until) {
		return repeatMargin
	}
	return forecastMargin
}

func (g *Group) rememberRefused(now time.Time, content uint64) {
	if content != 0 && len(g.refusedContent) < maxRepeats {
		g.refusedContent[content] = now.Add(repeatMemory)
	}
}

// forgetRefused deletes the refused contents that are no longer remembered.
func (g *Group) forgetRefused(now time.Time) {
	maps.DeleteFunc(g.refusedContent, func(_ uint64, until time.Time) bool { return !now.Before(until) })
}

// forecastRetry returns when a refused ticket's tier and workspace are expected to have
// room. While more tickets arrive than slots become free, that time is unknown, and the
// caller is asked to return as late as it would.
func (g *Group) forecastRetry(now time.Time, t *Ticket, wait time.Duration) time.Duration {
	longest := maxRetryAfter
	if !t.Finish.IsZero() {
		longest = time.Duration(maxRetryShare * float64(t.Finish.Sub(now)))
	}
	base := longest
	if g.forecast.drains(now, t.Tier) {
		base = min(wait, longest)
	}
	jitter := time.Duration(retryJitter * g.rng.Float64() * float64(base))
	return max(minOverloadRetry, base-jitter)
}

// lateRetry returns the retry time of a ticket that is refused after its wait.
func (g *Group) lateRetry(w *waiting) time.Duration {
	if !g.forecastApplies(&w.ticket) {
		return g.retryAfter(w.ticket.Tier)
	}
	return g.forecastRetry(g.now, &w.ticket, g.retryAfter(w.ticket.Tier))
}
