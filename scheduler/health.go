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
	// ejectFailures consecutive failures eject a target, and up to
	// maxEjectFailures if the whole group fails often.
	ejectFailures    = 3
	maxEjectFailures = 10
	// failureChance is how likely consecutive failures may be, by the group's own
	// rate of failures, to eject a target for them.
	failureChance = 0.001
	// failureWeight is the weight of a new completion in that rate; it follows
	// within half a second at 100 requests/s.
	failureWeight = 0.02
	// ejectSlowness is how many times slower than the group's median a target
	// must be, each against its own initial estimate, to be ejected.
	ejectSlowness = 4.0
	// slownessSamples are needed before a target's speed is judged.
	slownessSamples = 5
	// minJudged targets of known speed make a median.
	minJudged = 3
	// maxSlowShare is the part of a group that speed alone may eject.
	maxSlowShare = 1.0 / 3
	// firstBackoff and maxBackoff bound the time from an ejection to the next probe.
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// backoffJitter spreads probes, so that targets that fail together are not probed together.
	backoffJitter = 0.3
	// hangFactor times its expected time plus hangSlack without any completion
	// from the target makes a request count as hanging.
	hangFactor = 4
	hangSlack  = 3 * time.Second
	// probePatience is how long a probe waits for an idempotent ticket of the
	// lowest tier; after that any idempotent ticket serves, and after
	// probeDesperation any ticket.
	probePatience    = 2 * time.Second
	probeDesperation = 10 * time.Second
)

// HealthState is the state of a target's ejection.
type HealthState int

// States of a target's ejection.
const (
	// HealthHealthy targets get traffic.
	HealthHealthy HealthState = iota
	// HealthEjected targets get none until their back-off is over.
	HealthEjected
	// HealthHalfOpen targets wait for a probe.
	HealthHalfOpen
	// HealthProbing targets run one probe.
	HealthProbing
)

func (s HealthState) String() string {
	return [...]string{"good", "ejected", "half_open", "probing"}[s]
}

// EjectCause tells why a target was ejected.
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
	// lastFailed is the fingerprint of the last failure. A request that one
	// caller repeats counts once, as the fault may be the request's.
	lastFailed uint64
	backoff    time.Duration
	// until is the end of the back-off; halfOpen is when it ended; recovered is
	// when a probe last succeeded.
	until, halfOpen, recovered time.Time
	// slowLimit is the slowness beyond which the probe of a slow target fails.
	slowLimit float64
	probe     TicketID
	// ejected is the time of the last ejection; requests granted earlier say
	// nothing of the target after it.
	ejected time.Time
	// lastDone is the time of the last completion.
	lastDone time.Time
	// told is the state that HealthChanges last told.
	told HealthState
}

// HealthChange tells that a target was ejected or is back.
type HealthChange struct {
	Target string
	State  HealthState
	Cause  EjectCause
	// Backoff is the time until a probe.
	Backoff time.Duration
}

// HealthChanges returns the targets that were ejected, or came back, since the
// last call.
func (g *Group) HealthChanges() []HealthChange {
	var changes []HealthChange
	for _, s := range g.order {
		h := &s.health
		// Only the ends of an ejection are told, not the probes between them.
		if h.state == h.told || (h.state != HealthHealthy && h.state != HealthEjected) {
			continue
		}
		h.told = h.state
		changes = append(changes, HealthChange{Target: s.Name, State: h.state, Cause: h.cause, Backoff: h.backoff})
	}
	return changes
}

func (h *health) eject(now time.Time, cause EjectCause, rng *rand.Rand) {
	// The back-off starts anew only after the target did well for a while, so
	// that one served probe does not hide a fault that shows under load.
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
	h.until = now.Add(time.Duration(float64(h.backoff) * jitter))
}

// advance opens an ejected target for a probe once its back-off is over.
func (h *health) advance(now time.Time) {
	if h.state == HealthEjected && !now.Before(h.until) {
		h.state = HealthHalfOpen
		h.halfOpen = now
	}
}

func (h *health) startProbe(id TicketID) {
	h.state = HealthProbing
	h.probe = id
}

// probeEnded returns to half-open after a probe that told nothing, and reports
// whether the request was the probe.
func (h *health) probeEnded(id TicketID) bool {
	if h.state != HealthProbing || h.probe != id {
		return false
	}
	h.state = HealthHalfOpen
	return true
}

// served records a success. Only a probe's success ends an ejection: what was
// dispatched before it says nothing of the target now. slowness is the
// request's time over the initial estimate.
func (h *health) served(now time.Time, id TicketID, slowness float64, rng *rand.Rand) {
	h.failures, h.lastFailed = 0, 0
	probe := h.state == HealthProbing && h.probe == id
	late := h.cause == EjectHanging && h.state != HealthHealthy
	switch {
	case probe && h.cause == EjectSlow && slowness >= h.slowLimit:
		h.eject(now, EjectSlow, rng)
	case probe || late:
		h.state, h.cause, h.recovered = HealthHealthy, "", now
	}
}

// failed records a failure of a request and ejects the target when it died or
// has failed limit times in a row.
func (h *health) failed(now time.Time, r *run, died bool, limit int, rng *rand.Rand) {
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
	case died:
		h.eject(now, EjectCrashed, rng)
	case probe || h.failures >= limit:
		h.eject(now, EjectFailures, rng)
	default:
		return
	}
	h.failures, h.lastFailed = 0, 0
}

// noteEnd updates the group's rate of failures.
func (g *Group) noteEnd(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	g.failureRate += failureWeight * (sample - g.failureRate)
}

// failureLimit is the number of consecutive failures that tell of a fault of one
// target. Where many targets fail part of their requests, ejecting them would
// leave the others without slots and gain nothing.
func (g *Group) failureLimit() int {
	if g.failureRate <= 0 {
		return ejectFailures
	}
	limit := math.Log(failureChance) / math.Log(math.Min(g.failureRate, 0.99))
	return min(max(int(math.Ceil(limit)), ejectFailures), maxEjectFailures)
}

// targetFailed records a failure of a request at its target.
func (g *Group) targetFailed(now time.Time, r *run, died bool) {
	r.target.health.failed(now, r, died, g.failureLimit(), g.rng)
}

// mayProbe reports whether a ticket is a fit probe of a half-open target.
func (h *health) mayProbe(now time.Time, t *Ticket, lowest Rank) bool {
	waited := now.Sub(h.halfOpen)
	switch {
	case waited >= probeDesperation:
		return true
	case !t.Idempotent:
		return false
	}
	return t.Tier >= lowest || waited >= probePatience
}

// ejectSlow ejects the targets whose speed lies far outside the group's.
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
	// The upper median: with half of the targets slow, none is an outlier.
	limit := ejectSlowness * judged[(len(judged)-1)/2].speed.slowness
	allowed := int(maxSlowShare*float64(present)) - ejected
	for _, s := range judged {
		if allowed <= 0 || s.speed.slowness < limit {
			return
		}
		s.health.slowLimit = limit
		s.health.eject(now, EjectSlow, g.rng)
		s.speed.forgetSlowness()
		g.refreshOpen(s)
		allowed--
	}
}

// ejectHanging ejects the targets that hold a request far beyond its expected
// time and have completed nothing since it was due. The requests of an entry
// without a stream do not count: their ends cannot be told.
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
