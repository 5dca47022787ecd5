package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Parameters of cold targets.
const (
	// coldWindow is the length of the window that GroupConfig.ColdRate refers to.
	coldWindow = time.Second
	// coldBurst is the number of grants that a cold target may get at once.
	coldBurst = 2
	// coldRampStep is the time in which the rate of a target that was cold doubles, and
	// coldRampSteps the number of these times before its limit is lifted.
	coldRampStep  = 500 * time.Millisecond
	coldRampSteps = 4
	// coldSilence is the time after the start of a group for which it grants nothing to a
	// cold target. It is longer than an instance that lost contact with its peers keeps the
	// wrong owner of a group, so that of several owners in turn at most two grant in the same
	// second.
	coldSilence = 3 * time.Second
	// unconfirmedTime is how long a request may take to its target if nothing is known about
	// it, for example because its entry is paused.
	unconfirmedTime = 30 * time.Second
	// lateDelivery is how long the bytes of a request that ended without a response may take
	// to its target. It is the TCP user timeout of package forward.
	lateDelivery = 3 * time.Second
	// suspicionTime is the time beyond the cold start for which a target that serves requests
	// again stays suspected.
	suspicionTime = 2 * time.Second
)

// EntryDelay is the longest time from the writing of a registry entry until an instance
// reads it: 800 ms of the platform and the copy from a peer.
const EntryDelay = 2 * time.Second

// ColdCause is the reason for which a target counts as cold.
type ColdCause string

// Causes of cold targets.
const (
	ColdEntry     ColdCause = "registry entry"
	ColdReport    ColdCause = "response"
	ColdSuspected ColdCause = "suspected"
)

// ColdTimes is what is known about the cold periods of a target. The zero value is a target
// that has not been cold.
type ColdTimes struct {
	// entryUntil is the end of the cold period according to the registry entry, warmAt the
	// latest time as of which the entry states that the target was not cold.
	entryUntil, warmAt time.Time
	// reportedUntil is the end of the cold period that a response stated at reportedAt.
	reportedAt, reportedUntil time.Time
	// suspectedAt is when the target may have restarted unnoticed, zero if it is not
	// suspected, and servedAt when it first served a request that was granted after that.
	suspectedAt, servedAt time.Time
	// lastSuspectedAt is the start and suspicionEnd the end of the last suspicion.
	lastSuspectedAt, suspicionEnd time.Time
}

// SetEntry records the registry entry: the end of the cold period and the latest time as of
// which the target was not cold.
func (c *ColdTimes) SetEntry(until, warmAt time.Time) {
	c.entryUntil, c.warmAt = until, later(c.warmAt, warmAt)
}

// Report records the end of the cold period that the target stated at the given time.
func (c *ColdTimes) Report(at, until time.Time) {
	if at.After(c.warmAt) {
		c.reportedAt, c.reportedUntil = later(c.reportedAt, at), later(c.reportedUntil, until)
	}
}

// Suspect records that the target may have restarted at the given time. A suspicion that has
// ended is not repeated.
func (c *ColdTimes) Suspect(at time.Time) {
	if at.After(c.warmAt) && at.After(c.lastSuspectedAt) {
		c.suspectedAt, c.lastSuspectedAt, c.servedAt = at, at, time.Time{}
	}
}

// SuspectedAt returns the start of the suspicion that lasts, zero without one.
func (c *ColdTimes) SuspectedAt(now time.Time, coldStart time.Duration) time.Time {
	c.advance(now, coldStart)
	return c.suspectedAt
}

// Served records that the target served a request that was granted at the given time.
func (c *ColdTimes) Served(now, granted time.Time) {
	if !c.suspectedAt.IsZero() && c.servedAt.IsZero() && granted.After(c.suspectedAt) {
		c.servedAt = now
	}
}

// Cold returns the reason for which the target counts as cold, empty if it does not.
// coldStart is the time for which a target is cold after its start.
func (c *ColdTimes) Cold(now time.Time, coldStart time.Duration) ColdCause {
	c.advance(now, coldStart)
	switch {
	case now.Before(c.entryUntil):
		return ColdEntry
	case now.Before(c.reportedUntil):
		return ColdReport
	case !c.suspectedAt.IsZero():
		return ColdSuspected
	}
	return ""
}

// advance ends what a later registry entry or the time has ended.
func (c *ColdTimes) advance(now time.Time, coldStart time.Duration) {
	if c.warmAt.After(c.reportedAt) {
		c.reportedUntil = earlier(c.reportedUntil, now)
	}
	servedEnd := c.servedAt.Add(coldStart + suspicionTime)
	switch {
	case c.suspectedAt.IsZero():
		return
	case c.warmAt.After(c.suspectedAt):
		c.suspicionEnd = now
	case !c.servedAt.IsZero() && !now.Before(servedEnd):
		c.suspicionEnd = servedEnd
	default:
		return
	}
	c.suspectedAt, c.servedAt = time.Time{}, time.Time{}
}

// Factor returns the multiple of the cold rate that the target may get, and whether it is
// limited at all.
func (c *ColdTimes) Factor(now time.Time, coldStart time.Duration) (factor float64, limited bool) {
	if c.Cold(now, coldStart) != "" {
		return 1, true
	}
	end := later(later(c.entryUntil, c.reportedUntil), c.suspicionEnd)
	if end.IsZero() || now.Sub(end) >= coldRampSteps*coldRampStep {
		return math.Inf(1), false
	}
	return math.Exp2(float64(now.Sub(end) / coldRampStep)), true
}

// coldLimits are the limits that all targets of a group have in common.
type coldLimits struct {
	// rate is the largest number of requests in any coldWindow, 0 without a limit.
	rate      float64
	coldStart time.Duration
	// silentUntil is when the group may first grant to a cold target.
	silentUntil time.Time
}

// coldState is the group's record of one target's cold periods and of the requests that
// were sent to it or may still be on the way.
type coldState struct {
	limits *coldLimits
	times  ColdTimes
	sends  []*coldSend
	// pruneAt is the number of sends at which expired ones are removed.
	pruneAt int
	bucket  *rate.Limiter
	// reported is the cause that ColdChanges last returned.
	reported ColdCause
}

// coldSend is a request that counts towards the limit of its target.
type coldSend struct {
	// expires is the end of the time in which the target may have received the request less
	// than coldWindow ago.
	expires time.Time
}

// minPrune is the least number of sends at which expired ones are removed.
const minPrune = 64

func newColdState(limits *coldLimits) *coldState {
	return &coldState{limits: limits, pruneAt: minPrune, bucket: rate.NewLimiter(rate.Limit(limits.rate), coldBurst)}
}

// sent counts a grant. The request counts until coldWindow after it is known to be received,
// because until then it may still arrive.
func (c *coldState) sent(now time.Time) *coldSend {
	if c.limits.rate <= 0 {
		return nil
	}
	if len(c.sends) >= c.pruneAt {
		c.prune(now)
		c.pruneAt = max(minPrune, 2*len(c.sends))
	}
	c.bucket.AllowN(now, 1)
	send := &coldSend{expires: now.Add(unconfirmedTime)}
	c.sends = append(c.sends, send)
	return send
}

// adopted counts a request that an earlier broker granted the given time ago.
func (c *coldState) adopted(now time.Time, age time.Duration) *coldSend {
	send := c.sent(now)
	if send != nil {
		send.expires = now.Add(max(0, coldWindow+lateDelivery-age))
	}
	return send
}

// received records that the target has received the request.
func (s *coldSend) received(now time.Time) {
	if s != nil {
		s.expires = earlier(s.expires, now.Add(coldWindow))
	}
}

// completed records the end of a request. The bytes of one that ended without a response may
// still be on the way.
func (s *coldSend) completed(now time.Time, c Completion) {
	switch {
	case s == nil:
	case (c.Result == ResultFailed || c.Result == ResultCancelled) && c.FirstToken == 0:
		s.expires = earlier(s.expires, now.Add(coldWindow+lateDelivery))
	default:
		s.received(now)
	}
}

func (c *coldState) prune(now time.Time) {
	kept := c.sends[:0]
	for _, s := range c.sends {
		if now.Before(s.expires) {
			kept = append(kept, s)
		}
	}
	clear(c.sends[len(kept):])
	c.sends = kept
}

// isLimited reports whether the target is cold or was a short time ago.
func (c *coldState) isLimited(now time.Time) bool {
	if c.limits.rate <= 0 {
		return false
	}
	_, limited := c.times.Factor(now, c.limits.coldStart)
	return limited
}

// allows reports whether the target may get another request now.
func (c *coldState) allows(now time.Time) bool {
	if c.limits.rate <= 0 {
		return true
	}
	factor, limited := c.times.Factor(now, c.limits.coldStart)
	if !limited {
		return true
	}
	if now.Before(c.limits.silentUntil) {
		return false
	}
	allowed := math.Floor(c.limits.rate * factor)
	if limit := rate.Limit(allowed / coldWindow.Seconds()); c.bucket.Limit() != limit {
		c.bucket.SetLimitAt(now, limit)
	}
	if c.bucket.TokensAt(now) < 1 {
		return false
	}
	c.prune(now)
	return float64(len(c.sends)) < allowed
}

// isUsed reports whether the record must outlast a removal of its target.
func (c *coldState) isUsed(now time.Time) bool {
	c.prune(now)
	return len(c.sends) > 0 || c.isLimited(now)
}

// SetColdRate sets the limit of the requests that any cold target receives from the group in
// a second (0: no limit), and the time for which a target is cold after its start.
func (g *Group) SetColdRate(now time.Time, rate float64, coldStart time.Duration) {
	g.now = now
	g.cold.rate, g.cold.coldStart = rate, coldStart
}

// setColdTimes applies what the configuration of a target states about its cold periods.
func (g *Group) setColdTimes(s *targetState, t Target) {
	if removed, ok := g.removedCold[t.Name]; ok {
		s.cold = removed
		delete(g.removedCold, t.Name)
	}
	s.cold.limits = &g.cold
	s.cold.times.SetEntry(t.ColdUntil, t.WarmAt)
	if !t.SuspectedAt.IsZero() {
		s.cold.times.Suspect(t.SuspectedAt)
	}
}

// forgetRemovedCold deletes the records of removed targets that are no longer used.
func (g *Group) forgetRemovedCold(now time.Time) {
	for name, c := range g.removedCold {
		if !c.isUsed(now) {
			delete(g.removedCold, name)
		}
	}
}

// suspect treats the target as cold because it may have restarted.
func (g *Group) suspect(now time.Time, s *targetState) {
	if g.cold.rate > 0 {
		s.cold.times.Suspect(now)
		g.refreshOpen(s)
	}
}

// MarkCold records what an entry observed the given time ago: that the target is cold for the
// given time, or that it may have restarted if that is 0.
func (g *Group) MarkCold(now time.Time, target string, age, coldFor time.Duration) {
	g.now = now
	s, ok := g.targets[target]
	if !ok || g.cold.rate <= 0 {
		return
	}
	if coldFor > 0 {
		s.cold.times.Report(now.Add(-age), now.Add(coldFor))
	} else {
		s.cold.times.Suspect(now.Add(-age))
	}
	g.refreshOpen(s)
}

// countColdGrant counts a grant towards the limit of its target.
func (g *Group) countColdGrant(now time.Time, r *run) {
	if r.target.cold.isLimited(now) {
		g.coldGrants++
	}
	r.send = r.target.cold.sent(now)
}

// beginColdSilence starts the time in which a new group grants nothing to a cold target.
func (g *Group) beginColdSilence(now time.Time) {
	if g.cold.silentUntil.IsZero() {
		g.cold.silentUntil = now.Add(coldSilence)
	}
}

// preferShorter returns the ticket that a limited target gets instead of w: of those that
// wait in w's tier, the one with the shortest prompt. w keeps its turn if it cannot wait.
func (g *Group) preferShorter(now time.Time, w *waiting, s *targetState, e estimate) (*waiting, estimate) {
	if !s.cold.isLimited(now) || w.latest.Sub(now) < intervalReserve {
		return w, e
	}
	scanned := 0
	for o := w.class.tier.oldest; o != nil && scanned < maxProbeScan; o = o.newer {
		scanned++
		t := &o.ticket
		// A ticket without a position in its heap is set aside in this call.
		if o.classIndex < 0 || t.PromptTokens >= w.ticket.PromptTokens || o.class.suspects || !s.isOpenIn(o.class.set) || avoids(now, t, s) {
			continue
		}
		if verdict, _ := g.verdict(now, t); verdict != VerdictClean {
			continue
		}
		if other := g.estimate(now, t, s); other.inTime {
			w, e = o, other
		}
	}
	return w, e
}

// ColdChange reports that a target has become cold or warm.
type ColdChange struct {
	Target string
	// Cause is empty if the target has become warm.
	Cause ColdCause
}

// ColdChanges returns the targets that have become cold or warm since the last call.
func (g *Group) ColdChanges(now time.Time) []ColdChange {
	if g.cold.rate <= 0 {
		return nil
	}
	var changes []ColdChange
	for _, s := range g.order {
		cause := s.cold.times.Cold(now, g.cold.coldStart)
		if (cause == "") != (s.cold.reported == "") && !s.removed {
			changes = append(changes, ColdChange{s.Name, cause})
			s.cold.reported = cause
		}
	}
	return changes
}

// ColdCounts returns the number of cold targets and of grants to limited targets since the
// start of the group.
func (g *Group) ColdCounts(now time.Time) (targets int, grants int64) {
	for _, s := range g.order {
		if g.cold.rate > 0 && !s.removed && s.cold.times.Cold(now, g.cold.coldStart) != "" {
			targets++
		}
	}
	return targets, g.coldGrants
}
