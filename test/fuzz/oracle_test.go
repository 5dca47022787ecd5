package fuzz

import (
	"fmt"
	"math"
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// invariant is the number of an invariant in docs/design.md, section 2.2.
type invariant int

const (
	atMostOnce invariant = iota + 1
	tierOrder
	badVersionShare
	ownCompleteResponse
	notRunAccurate
	claimedOnce
	leavingTargets
	gracefulShutdown
	configInForce
)

var invariantNames = map[invariant]string{
	atMostOnce:          "at most once",
	tierOrder:           "tier order",
	badVersionShare:     "bad version",
	ownCompleteResponse: "own complete response",
	notRunAccurate:      "not-run did not run",
	claimedOnce:         "non-idempotent once",
	leavingTargets:      "leaving target",
	gracefulShutdown:    "graceful shutdown",
	configInForce:       "configuration in force",
}

func (i invariant) String() string { return invariantNames[i] }

// Grace periods that the invariants allow.
const (
	leavingGrace = 3 * time.Second
	configGrace  = 5 * time.Second
	stopGrace    = 2 * time.Second
	// floorGrace is the time between two floor requests plus the timeout of one.
	floorGrace = scheduler.FloorValidity/5 + floorTimeout
)

// violation is one breach of an invariant.
type violation struct {
	invariant invariant
	text      string
}

// oracle checks the invariants of a run from outside. It does not depend on how
// the code maintains them.
type oracle struct {
	world      *world
	violations []violation
	served     int

	runs      map[string]int
	claimRuns map[string]int
	outcomes  map[string]outcome
	// modelRuns and newRuns count the runs of all versions and of the new one.
	modelRuns, newRuns int

	reach reachability
	// leaving tracks the notices of leaving targets, stop the stop of the new version.
	leaving map[string]*propagation
	stop    *propagation

	acceptedAt map[int64]time.Time
	newest     int64
	active     map[*instance]activeGeneration
	holders    map[*instance]bool
}

// activeGeneration is the generation in force at an instance.
type activeGeneration struct {
	incarnation uint64
	generation  int64
	since       time.Time
}

func newOracle(w *world) *oracle {
	return &oracle{
		world:      w,
		runs:       make(map[string]int),
		claimRuns:  make(map[string]int),
		outcomes:   make(map[string]outcome),
		reach:      newReachability(w),
		leaving:    make(map[string]*propagation),
		acceptedAt: make(map[int64]time.Time),
		active:     make(map[*instance]activeGeneration),
		holders:    make(map[*instance]bool),
	}
}

func (o *oracle) recordViolation(i invariant, format string, args ...any) {
	v := violation{i, fmt.Sprintf(format, args...)}
	o.world.logf("VIOLATION of invariant %d: %s", i, v.text)
	o.violations = append(o.violations, v)
}

func (o *oracle) arrived(in *instance, r *request) {
	o.world.logf("request %s of tier %d arrives at %s", r.id, r.tier, in.name)
}

// ran records and checks that the first byte of a request reached a target.
func (o *oracle) ran(t *fakeTarget, from *instance, r *request, version string) {
	o.world.logf("request %s runs on %s %s", r.id, t.name, version)
	if o.runs[r.id]++; o.runs[r.id] > 1 {
		o.recordViolation(atMostOnce, "request %s ran %d times", r.id, o.runs[r.id])
	}
	if o.outcomes[r.id] == outcomeNotRun {
		o.recordViolation(notRunAccurate, "request %s ran after it was refused as not run", r.id)
	}
	if r.claimKey != "" {
		if o.claimRuns[r.claimKey]++; o.claimRuns[r.claimKey] > 1 {
			o.recordViolation(claimedOnce, "calls with key %s ran %d times", r.claimKey, o.claimRuns[r.claimKey])
		}
	}
	if p := o.leaving[t.name]; p != nil && p.isDue(from) {
		o.recordViolation(leavingTargets, "leaving target %s got request %s from %s", t.name, r.id, from.name)
	}
	o.ranVersion(from, r, version)
}

func (o *oracle) ranVersion(from *instance, r *request, version string) {
	if r.key.pool != "models" {
		return
	}
	o.modelRuns++
	if version != newVersion {
		return
	}
	o.newRuns++
	if o.stop != nil && o.stop.isDue(from) {
		o.recordViolation(badVersionShare, "stopped version %s got request %s from %s", version, r.id, from.name)
	}
}

// ended records and checks the outcome that the caller of a request received.
func (o *oracle) ended(r *request, reported outcome, body string) {
	if before, ok := o.outcomes[r.id]; ok {
		o.recordViolation(ownCompleteResponse, "request %s ended twice, %s and %s", r.id, before, reported)
	}
	o.outcomes[r.id] = reported
	switch {
	case reported == outcomeNotRun && o.runs[r.id] > 0:
		o.recordViolation(notRunAccurate, "request %s ran but was refused as not run", r.id)
	case reported == outcomeServed && r.claimKey == "" && body != responseBody(r.id):
		o.recordViolation(ownCompleteResponse, "request %s got %q", r.id, body)
	}
	if reported == outcomeServed {
		o.served++
	}
}

// decided checks the tier order of a group's decisions. A capacity refusal of a
// tier is wrong while the group, or a sibling that it can reach, has tickets of a
// lower tier waiting.
func (o *oracle) decided(b *brokerRole, decisions []scheduler.Decision) {
	for _, d := range decisions {
		refusal, ok := d.(scheduler.Refusal)
		if !ok || refusal.Reason != scheduler.ReasonQueueFull {
			continue
		}
		shed := b.ranks[refusal.Ticket]
		o.checkShed(b, b, shed)
		for _, other := range o.world.instances {
			for _, key := range other.ownedKeys() {
				sibling := other.brokers[key]
				if key.pool == b.key.pool && key.shard != b.key.shard && o.floorsCurrent(b.in, other) && b.in.owner(key) == other {
					o.checkShed(b, sibling, shed)
				}
			}
		}
	}
}

// floorsCurrent reports whether two brokers have been connected for long enough
// that a floor has been requested again since the last interruption.
func (o *oracle) floorsCurrent(a, b *instance) bool {
	since, up := o.reach.peers[[2]*instance{a, b}]
	return a == b || (up && time.Since(since) >= floorGrace)
}

func (o *oracle) checkShed(from, holder *brokerRole, shed scheduler.Rank) {
	for _, rank := range holder.waiting {
		if rank > shed {
			o.recordViolation(tierOrder, "group %v of %s sheds tier %d while group %v of %s keeps tier %d",
				from.key, from.in.name, shed, holder.key, holder.in.name, rank)
			return
		}
	}
}

// recordLeaving records that an instance received the notice that a target leaves.
func (o *oracle) recordLeaving(target string, in *instance) {
	generation := in.snapshot.Generation()
	if generation < o.newest && !o.world.operators.leaving[target] {
		return // in a later generation the target does not leave
	}
	if o.leaving[target] == nil {
		o.leaving[target] = newPropagation(o, leavingGrace)
	}
	o.leaving[target].record(in)
}

// recordStop records that an instance stopped the new version.
func (o *oracle) recordStop(in *instance) {
	if o.stop == nil {
		o.stop = newPropagation(o, stopGrace)
	}
	o.stop.record(in)
}

// draining only logs the number of requests; shutDown makes the checks.
func (o *oracle) draining(in *instance) {
	o.world.logf("instance %s has %d requests", in.name, len(in.entry.requests))
}

// shutDown checks that no dispatched request is left at the end of a graceful
// shutdown.
func (o *oracle) shutDown(in *instance) {
	for _, r := range in.entry.sortedRequests() {
		if r.state == stateDispatched {
			o.recordViolation(gracefulShutdown, "shutdown of %s dropped request %s", in.name, r.id)
		}
	}
}

// leaseHeld checks that no two instances hold the lease at once.
func (o *oracle) leaseHeld(in *instance) {
	now := time.Now()
	for _, other := range o.world.instances {
		if other != in && in.lease != nil && other.alive && other.lease != nil &&
			in.lease.Valid(now, 0) && other.lease.Valid(now, 0) {
			o.recordViolation(badVersionShare, "instances %s and %s hold the lease at once", in.name, other.name)
		}
	}
}

// audit makes the checks that depend on elapsed time.
func (o *oracle) audit() {
	o.reach.observe()
	for _, p := range o.leaving {
		p.propagate()
	}
	if o.stop != nil {
		o.stop.propagate()
	}
	o.auditConfig()
}

// finish makes the checks of the complete run.
func (o *oracle) finish() {
	n := float64(o.modelRuns)
	share := moveShare / 100.0
	// Four standard deviations above the mean, plus a margin for small numbers.
	limit := share*n + 4*math.Sqrt(n*share*(1-share)) + 3
	if float64(o.newRuns) > limit {
		o.recordViolation(badVersionShare, "the new version got %d of %d requests", o.newRuns, o.modelRuns)
	}
}
