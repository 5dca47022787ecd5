package scheduler

import (
	"math"
	"time"
)

// Parameters of the count of a target's load.
const (
	// historyLength bounds the recorded changes of the group's count of requests on
	// a target. A report that is older than all of them is compared with the oldest.
	historyLength = 64
	// grantTransit is the time from a grant until the target's reports include the
	// request. A report measured less than this after the grant may not include
	// it.
	grantTransit = 100 * time.Millisecond
	// maxPrefillBacklog is the prefill time of granted prompts beyond which a
	// target is closed. An engine processes prompts in the order of their arrival,
	// so a prompt that waits there cannot be overtaken by one of a higher tier.
	// The backlog only has to keep the engine busy until the next grant arrives.
	maxPrefillBacklog = grantTransit
	// reportValidity is how long a load report counts.
	reportValidity = 10 * time.Second
)

// targetState is the group's state of one target.
type targetState struct {
	Target
	// removed targets are kept until their last request ends.
	removed bool
	// running counts the group's own grants in use.
	running int
	// tokens is the number of tokens that these requests are expected to hold.
	tokens int
	// external counts the requests on the target that this group did not start.
	external int
	// reported is when the external load was measured.
	reported time.Time
	// externalEnd is the estimated end of the prompts of the external load, if known.
	externalEnd time.Time
	history     []change
	// prefillEnd is the estimated end of the prompts granted so far.
	prefillEnd time.Time
	speed      speed
	limiter    limiter
	health     health
	index      *prefixIndex
	// hanging marks the target for ejection by the current sweep.
	hanging bool
	// cancelled holds the last requests that were cancelled here before they began.
	cancelled []cancelledRun
	// exclusive is set while a suspect is the only request that may run here.
	exclusive bool
	// trials counts the running requests with a suspect part that have not begun.
	trials int
	// reservedFor is the waiting suspect for which the target drains.
	reservedFor *waiting
	// busyUntil is the latest expected end of the requests granted here.
	busyUntil time.Time
	refs      []setRef
	cold      *coldState
	// zone is the state of the target's zone, nil without spill.
	zone *homeZone
}

// change is one change of the group's count of running requests on a target.
type change struct {
	at time.Time
	// running is the count after the change by delta.
	running, delta int
	// prefill is the estimated prefill time that a grant added.
	prefill time.Duration
}

// versionSet holds the targets of one version in the allowed regions; the set of version ""
// holds the targets of all versions. Open targets can receive a grant now.
type versionSet struct {
	// regions are the allowed regions, nil for any.
	regions []string
	members []*targetState
	open    []*targetState
	// base and perToken are lower bounds of the time to the first token over the
	// members, in seconds.
	base, perToken float64
	// margin is the least margin of the members, as a fraction of the time to the
	// first token.
	margin float64
	// interval is the least time between tokens of any healthy member that runs a
	// single request, in seconds.
	interval float64
	// skipped counts the tickets of a restricted set that the current call has set aside.
	skipped int
}

// setRef is a target's place in a version set; position is -1 while it is not open.
type setRef struct {
	set      *versionSet
	position int
}

func newTargetState(now time.Time, t Target, shared holders) *targetState {
	s := &targetState{Target: t, speed: newSpeed(now, t), limiter: newLimiter(t.Concurrency), cold: newColdState(&coldLimits{})}
	s.index = newPrefixIndex(s, shared)
	return s
}

// isEarlierStart reports whether t is a later start of the target. The start of an adopted
// target is not known until it is configured.
func (s *targetState) isEarlierStart(t Target) bool { return s.Start != t.Start && s.Start != 0 }

// load returns the estimated number of requests on the target.
func (s *targetState) load(now time.Time) int {
	if now.Sub(s.reported) > reportValidity {
		return s.running
	}
	return s.running + s.external
}

// throughputCorrection returns the requests on the target that other groups placed, less its
// own if it gets no further grants.
func (s *targetState) throughputCorrection(now time.Time) int {
	if s.removed || s.Leaving || s.health.state != HealthHealthy {
		return -s.running
	}
	return s.load(now) - s.running
}

func (s *targetState) canOpen(now time.Time) bool {
	return s.acceptsRequests(now) && !s.backlogged(now)
}

// acceptsRequests reports whether the target may get another request, regardless
// of its backlog of prompts.
func (s *targetState) acceptsRequests(now time.Time) bool {
	return !s.removed && !s.Leaving && !s.exclusive && s.reservedFor == nil &&
		s.health.state == HealthHealthy && s.load(now) < s.limiter.limit() && s.cold.allows(now)
}

// backlogged reports whether further prompts should wait in the group's queue.
func (s *targetState) backlogged(now time.Time) bool {
	return s.promptWait(now) > maxPrefillBacklog
}

// promptWait returns the estimated time until the prompts on the target are processed.
func (s *targetState) promptWait(now time.Time) time.Duration {
	return max(0, s.prefillEnd.Sub(now)) + max(0, s.externalEnd.Sub(now))
}

// setExternalLoad sets the load on the target that the group has not granted.
func (s *targetState) setExternalLoad(now time.Time, running, promptTokens int) {
	s.reported, s.external = now, running
	s.externalEnd = now.Add(seconds(s.speed.perToken * float64(promptTokens)))
}

func (s *targetState) started(now time.Time, prefill time.Duration) {
	s.running++
	s.prefillEnd = later(s.prefillEnd, now).Add(prefill)
	s.recordChange(change{now, s.running, 1, prefill})
}

func (s *targetState) ended(now time.Time) {
	s.running--
	if s.running == 0 {
		// All prompts and responses may have ended earlier than estimated.
		s.prefillEnd, s.busyUntil = earlier(s.prefillEnd, now), earlier(s.busyUntil, now)
	}
	s.recordChange(change{now, s.running, -1, 0})
}

func (s *targetState) recordChange(c change) {
	if len(s.history) == historyLength {
		// Half of the history is dropped at once, so that the copy is rare.
		s.history = append(s.history[:0], s.history[historyLength/2:]...)
	}
	s.history = append(s.history, c)
}

// observeLoad corrects the counts by a report. Only the difference between the
// report and the group's own count at the time of the report is applied, so a
// delayed report does not erase later grants.
func (s *targetState) observeLoad(now time.Time, r LoadReport) {
	if r.AsOf.After(now) {
		// A clock that is ahead must not make the next reports look outdated.
		r.AsOf = now
	}
	if r.AsOf.Before(s.reported) || now.Sub(r.AsOf) > reportValidity {
		return
	}
	s.reported = r.AsOf
	s.external = max(0, r.Running+r.Waiting-s.runningAt(r.AsOf))
	s.correctPrefill(now, r)
	s.index.setCacheBlocks(r.CacheTotalBlocks)
}

// runningAt returns the largest number of the group's requests that may have been on
// the target at the given time. The maximum over the transit time is used, because a
// grant or an end in transit must not be counted as external load.
func (s *targetState) runningAt(at time.Time) int {
	if len(s.history) == 0 {
		return s.running
	}
	most := s.history[0].running - s.history[0].delta
	for _, c := range s.history {
		switch {
		case c.at.After(at):
			return most
		case c.at.After(at.Add(-grantTransit)):
			most = max(most, c.running)
		default:
			most = c.running
		}
	}
	return most
}

// correctPrefill recomputes prefillEnd from a report and the grants that the report
// may not include.
func (s *targetState) correctPrefill(now time.Time, r LoadReport) {
	end := r.AsOf.Add(seconds(s.speed.perToken * float64(r.QueuedPrefillTokens)))
	for _, c := range s.history {
		if c.at.After(r.AsOf.Add(-grantTransit)) {
			end = later(end, c.at).Add(c.prefill)
		}
	}
	s.prefillEnd = later(end, now)
}

// updateBounds recomputes the bounds of the set.
func (v *versionSet) updateBounds(now time.Time) {
	v.base, v.perToken, v.interval = math.Inf(1), math.Inf(1), math.Inf(1)
	v.margin = maxMarginShare
	for _, s := range v.members {
		confidence := s.speed.confidence(now)
		v.base = math.Min(v.base, confidence*s.speed.base)
		v.perToken = math.Min(v.perToken, confidence*s.speed.perToken)
		v.margin = math.Min(v.margin, confidence*s.speed.marginShare())
		if s.health.state == HealthHealthy {
			v.interval = math.Min(v.interval, s.speed.intervalSeconds(1))
		}
	}
}

// firstToken returns the least time in which any member could produce a first
// token, including the margin that a grant requires. Without the margin, tickets
// that no target accepts any more would stay at the head of the queue and let
// lower tiers pass.
func (v *versionSet) firstToken(uncached int) time.Duration {
	if len(v.members) == 0 {
		return 0
	}
	return seconds((v.base + v.perToken*float64(uncached)) * (1 + v.margin))
}

// usableOutput returns the output tokens that any member can generate until the response is
// due. Callers may allow far more.
func (v *versionSet) usableOutput(now time.Time, t *Ticket) int {
	if t.Finish.IsZero() || v.interval <= 0 || math.IsInf(v.interval, 1) {
		return t.OutputTokens
	}
	return min(t.OutputTokens, int(t.Finish.Sub(now).Seconds()/v.interval))
}

// rebuildSets reassigns the targets to version sets. The sets themselves are
// reused because classes of waiting tickets refer to them.
func (g *Group) rebuildSets(now time.Time) {
	for _, set := range g.sets {
		set.members, set.open = nil, nil
	}
	for _, s := range g.order {
		s.refs = nil
		s.zone = g.spill.zone(s.Region)
		if s.removed || s.Leaving {
			continue
		}
		addMember(s, g.set(""))
		for _, version := range s.Versions {
			addMember(s, g.set(version))
		}
		g.refreshOpenAt(now, s)
	}
	for key, set := range g.sets {
		if set.restricted() {
			g.fillRestricted(now, key, set)
		}
	}
	for _, set := range g.sets {
		set.updateBounds(now)
	}
}

func addMember(s *targetState, set *versionSet) {
	if s.isMember(set) {
		return
	}
	set.members = append(set.members, s)
	s.refs = append(s.refs, setRef{set: set, position: -1})
}

// set returns the set of a version in all regions.
func (g *Group) set(version string) *versionSet {
	set, ok := g.sets[setKey{version: version}]
	if !ok {
		set = &versionSet{}
		g.sets[setKey{version: version}] = set
	}
	return set
}

// refreshOpen adds a target to the open lists of its sets or removes it from them,
// as of the time of the group's last call.
func (g *Group) refreshOpen(s *targetState) { g.refreshOpenAt(g.now, s) }

func (g *Group) refreshOpenAt(now time.Time, s *targetState) {
	open := s.canOpen(now)
	if open && s.zone != nil && len(s.refs) > 0 && s.refs[0].position < 0 {
		s.zone.openings++
	}
	for i := range s.refs {
		ref := &s.refs[i]
		switch {
		case open && ref.position < 0:
			ref.position = len(ref.set.open)
			ref.set.open = append(ref.set.open, s)
		case !open && ref.position >= 0:
			ref.set.closeAt(ref.position)
			ref.position = -1
		}
	}
}

// closeAt removes an open target by moving the last one to its position.
func (v *versionSet) closeAt(position int) {
	last := len(v.open) - 1
	moved := v.open[last]
	v.open[position] = moved
	v.open[last] = nil
	v.open = v.open[:last]
	for i := range moved.refs {
		if moved.refs[i].set == v {
			moved.refs[i].position = position
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
