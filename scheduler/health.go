package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of target ejection.
const (
	// ejectFailures is the number of consecutive failures that ejects a target. It
	// rises up to maxEjectFailures if the whole group fails often.
	ejectFailures    = 3
	maxEjectFailures = 10
	// failureChance is the highest probability of consecutive failures, at the
	// group's own failure rate, for which they eject a target.
	failureChance = 0.001
	// failureWeight is the weight of a new completion in the failure rate; the
	// rate follows within half a second at 100 requests/s.
	failureWeight = 0.02
	// ejectSlowness is how many times slower than the group's median a target must
	// be to be ejected. The speed of each target is relative to its own initial
	// estimate.
	ejectSlowness = 4.0
	// slownessSamples is the number of samples needed before a target's speed is judged.
	slownessSamples = 5
	// minJudged is the number of targets with enough samples that a median needs.
	minJudged = 3
	// maxSlowShare is the fraction of a group that may be ejected for speed alone.
	maxSlowShare = 1.0 / 3
	// firstBackoff and maxBackoff bound the time from an ejection to the next probe.
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// backoffJitter spreads probes, so that targets that fail together are not probed together.
	backoffJitter = 0.3
	// A request counts as hanging after hangFactor times its expected time plus
	// hangSlack, if its target has completed nothing since the request was due.
	hangFactor = 4
	hangSlack  = 3 * time.Second
	// A half-open target waits probeAnyTierAfter for an idempotent ticket of the
	// lowest tier as its probe. After that any idempotent ticket serves, and after
	// probeAnyTicketAfter any ticket.
	probeAnyTierAfter   = 2 * time.Second
	probeAnyTicketAfter = 10 * time.Second
)

// HealthState is the state of a target's ejection.
type HealthState int

// States of a target's ejection.
const (
	// HealthHealthy targets get traffic.
	HealthHealthy HealthState = iota
	// HealthEjected targets get no traffic until their back-off is over.
	HealthEjected
	// HealthHalfOpen targets wait for a probe.
	HealthHalfOpen
	// HealthProbing targets run one probe.
	HealthProbing
)

func (s HealthState) String() string {
	return [...]string{"good", "ejected", "half_open", "probing"}[s]
}

// EjectCause is the reason for an ejection.
type EjectCause string

// Causes of ejections.
const (
	EjectFailures EjectCause = "failures"
	EjectCrashed  EjectCause = "died"
	EjectSlow     EjectCause = "slow"
	EjectHanging  EjectCause = "hanging"
)

// health is the ejection state of one target.
type health struct {
	state    HealthState
	cause    EjectCause
	failures int
	// lastFailed is the fingerprint of the last failed request, until a target serves a
	// request with the same content. Until then its repeated sends count once, because the
	// fault may be in the request.
	lastFailed uint64
	backoff    time.Duration
	// halfOpenSince is when the back-off was found to have ended; recovered is when a
	// success last ended an ejection.
	backoffEnd, halfOpenSince, recovered time.Time
	// slowLimit is the slowness beyond which the probe of a slow target fails.
	slowLimit float64
	probe     TicketID
	// ejected is the time of the last ejection. Results of requests granted
	// earlier are ignored after it.
	ejected time.Time
	// lastDone is the time of the last completion.
	lastDone time.Time
	// lastReported is the state that HealthChanges last returned.
	lastReported HealthState
}

// HealthChange reports that a target was ejected or has recovered.
type HealthChange struct {
	Target string
	State  HealthState
	Cause  EjectCause
	// Backoff is the time until a probe.
	Backoff time.Duration
}

// HealthChanges returns the targets that were ejected or have recovered since the
// last call.
func (g *Group) HealthChanges() []HealthChange {
	var changes []HealthChange
	for _, s := range g.order {
		h := &s.health
		// Only ejections and recoveries are reported, not the probe states between them.
		if h.state == h.lastReported || (h.state != HealthHealthy && h.state != HealthEjected) {
			continue
		}
		h.lastReported = h.state
		changes = append(changes, HealthChange{Target: s.Name, State: h.state, Cause: h.cause, Backoff: h.backoff})
	}
	return changes
}

func (h *health) eject(now time.Time, cause EjectCause, rng *rand.Rand) {
	// The back-off starts anew only after the target was healthy for a while, so
	// that one served probe does not hide a fault that occurs under load.
	if h.state == HealthHealthy && now.Sub(h.recovered) > 2*h.backoff {
		h.backoff = 0
	}
	h.state = HealthEjected
	h.cause = cause
	h.ejected = now
	if h.backoff == 0 {
		h.backoff = firstBackoff
	} else {
		h.backoff = min(2*h.backoff, maxBackoff)
	}
	jitter := 1 + backoffJitter*(2*rng.Float64()-1)
	h.backoffEnd = now.Add(time.Duration(float64(h.backoff) * jitter))
}

// advance opens an ejected target for a probe once its back-off is over.
func (h *health) advance(now time.Time) {
	if h.state == HealthEjected && !now.Before(h.backoffEnd) {
		h.state = HealthHalfOpen
		h.halfOpenSince = now
	}
}

func (h *health) startProbe(id TicketID) {
	h.state = HealthProbing
	h.probe = id
}

// probeEnded returns the target to half-open after a probe without a result, and
// reports whether the request was the probe.
func (h *health) probeEnded(id TicketID) bool {
	if h.state != HealthProbing || h.probe != id {
		return false
	}
	h.state = HealthHalfOpen
	return true
}

// served records a success. Only a probe's success ends an ejection, because
// earlier requests do not show the target's present state; a target ejected for
// hanging recovers with any success. slowness is the request's time over the
// initial estimate.
func (h *health) served(now time.Time, id TicketID, slowness float64, rng *rand.Rand) {
	h.failures, h.lastFailed = 0, 0
	probe := h.state == HealthProbing && h.probe == id
	hanging := h.cause == EjectHanging && h.state != HealthHealthy
	switch {
	case probe && h.cause == EjectSlow && slowness >= h.slowLimit:
		h.eject(now, EjectSlow, rng)
	case probe || hanging:
		h.state, h.cause, h.recovered = HealthHealthy, "", now
	}
}

// failed records a failure of a request and ejects the target if it crashed or has
// failed limit times in a row.
func (h *health) failed(now time.Time, r *run, crashed bool, limit int, rng *rand.Rand) {
	probe := h.state == HealthProbing && h.probe == r.ticket.ID
	if !probe && (h.state != HealthHealthy || r.granted.Before(h.ejected)) {
		return
	}
	fingerprint := r.ticket.Fingerprint
	if fingerprint == 0 || fingerprint != h.lastFailed {
		h.failures++
		h.lastFailed = fingerprint
	}
	switch {
	case crashed:
		h.eject(now, EjectCrashed, rng)
	case probe || h.failures >= limit:
		h.eject(now, EjectFailures, rng)
	default:
		return
	}
	h.failures, h.lastFailed = 0, 0
}

// recordOutcome updates the group's failure rate.
func (g *Group) recordOutcome(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	g.failureRate += failureWeight * (sample - g.failureRate)
}

// failureLimit returns the number of consecutive failures that indicates a fault
// of one target. Where many targets fail part of their requests, ejecting them
// would leave the others without slots and gain nothing.
func (g *Group) failureLimit() int {
	if g.failureRate <= 0 {
		return ejectFailures
	}
	limit := math.Log(failureChance) / math.Log(math.Min(g.failureRate, 0.99))
	return min(max(int(math.Ceil(limit)), ejectFailures), maxEjectFailures)
}

// targetFailed records a failure of a request at its target.
func (g *Group) targetFailed(now time.Time, r *run, crashed bool) {
	h := &r.target.health
	h.failed(now, r, crashed, g.failureLimit(), g.rng)
	if targets := g.failedContent[h.lastFailed]; h.lastFailed != 0 && !slices.Contains(targets, r.target) {
		g.failedContent[h.lastFailed] = append(targets, r.target)
	}
}

// contentServed records that a target served a request, so that failures of requests with
// the same content are those of their targets.
func (g *Group) contentServed(fingerprint uint64) {
	for _, s := range g.failedContent[fingerprint] {
		if s.health.lastFailed == fingerprint {
			s.health.lastFailed = 0
		}
	}
	delete(g.failedContent, fingerprint)
}

// forgetFailedContent deletes what is no longer the last failure of a target.
func (g *Group) forgetFailedContent() {
	for fingerprint, targets := range g.failedContent {
		targets = slices.DeleteFunc(targets, func(s *targetState) bool { return s.removed || s.health.lastFailed != fingerprint })
		if len(targets) == 0 {
			delete(g.failedContent, fingerprint)
			continue
		}
		g.failedContent[fingerprint] = targets
	}
}

// mayProbe reports whether a ticket may serve as the probe of a half-open target.
func (h *health) mayProbe(now time.Time, t *Ticket, lowest Rank) bool {
	waited := now.Sub(h.halfOpenSince)
	switch {
	case waited >= probeAnyTicketAfter:
		return true
	case !t.Idempotent:
		return false
	}
	return t.Tier >= lowest || waited >= probeAnyTierAfter
}

// ejectSlow ejects the targets that are far slower than the median of the group.
func (g *Group) ejectSlow(now time.Time) {
	var judged []*targetState
	present, ejected := 0, 0
	for _, s := range g.order {
		if s.removed {
			continue
		}
		present++
		switch {
		case s.health.state != HealthHealthy:
			ejected++
		case s.speed.judged >= slownessSamples:
			judged = append(judged, s)
		}
	}
	if len(judged) < minJudged {
		return
	}
	slices.SortStableFunc(judged, func(a, b *targetState) int { return cmp.Compare(b.speed.slowness, a.speed.slowness) })
	// This is the upper median: with half of the targets slow, none is an outlier.
	limit := ejectSlowness * judged[(len(judged)-1)/2].speed.slowness
	allowed := int(maxSlowShare*float64(present)) - ejected
	for _, s := range judged {
		if allowed <= 0 || s.speed.slowness < limit {
			return
		}
		s.health.slowLimit = limit
		s.health.eject(now, EjectSlow, g.rng)
		s.speed.resetSlowness()
		g.refreshOpen(s)
		allowed--
	}
}

// ejectHanging ejects the targets that run a request far beyond its expected time
// and have completed nothing since it was due. Requests of an entry without a
// stream are ignored, because the entry cannot report their ends.
func (g *Group) ejectHanging(now time.Time) {
	for _, r := range g.running {
		if r.hangs(now) {
			r.target.hanging = true
		}
	}
	for _, s := range g.order {
		if s.hanging {
			s.hanging = false
			s.health.eject(now, EjectHanging, g.rng)
			g.suspect(now, s)
			g.refreshOpen(s)
		}
	}
}

func (r *run) hangs(now time.Time) bool {
	h := &r.target.health
	judged := h.state == HealthHealthy || (h.state == HealthProbing && h.probe == r.ticket.ID)
	if !judged || r.cancelled || !r.orphaned.IsZero() {
		return false
	}
	due := r.granted.Add(r.expected)
	late := r.granted.Add(hangFactor*r.expected + hangSlack)
	return now.After(late) && h.lastDone.Before(due)
}
