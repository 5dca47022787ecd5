package fuzz

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Size of the fleet and times of a run.
const (
	instancesPerRegion = 2
	// settleTime follows the last step so that faults end and requests time out.
	settleTime = 30 * time.Second
	// tickPeriod is the period of an instance's tick.
	tickPeriod = 50 * time.Millisecond
	// auditPeriod is the period of oracle.audit.
	auditPeriod = 100 * time.Millisecond
)

var regions = []string{"north", "south"}

// world runs the instances, targets and platform of one plan. One goroutine
// runs all its events in the order of virtual time. Only the configuration
// watchers have their own goroutines; state that they access is locked or atomic.
type world struct {
	ctx       context.Context
	plan      plan
	defect    defect
	rng       *rand.Rand
	start     time.Time
	events    eventHeap
	sequence  int
	network   *network
	platform  *platformService
	targets   []*fakeTarget
	instances []*instance
	oracle    *oracle
	requests  int
	trace     []string
	operators operators
	// newVersionFails makes targets fail requests of the new version.
	newVersionFails bool
	poisonRepeats   int
}

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// result holds the trace and the violations of a run.
type result struct {
	trace      []string
	violations []violation
	served     int
}

// runPlan executes the plan in a synctest bubble with virtual time.
func runPlan(t *testing.T, p plan, d defect) result {
	t.Helper()
	var r result
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, p, d)
		w.run()
		cancel()
		synctest.Wait()
		r = result{trace: w.trace, violations: w.oracle.violations, served: w.oracle.served}
	})
	return r
}

func newWorld(ctx context.Context, p plan, d defect) *world {
	w := &world{
		ctx:    ctx,
		plan:   p,
		defect: d,
		rng:    rand.New(rand.NewPCG(p.Seed, 1)),
		start:  time.Now(),
	}
	w.oracle = newOracle(w)
	w.network = newNetwork(w)
	w.platform = newPlatform()
	w.targets = newTargets(w)
	w.operators = operators{world: w, leaving: make(map[string]bool)}
	w.operators.apply("genesis", 0)
	for i := range instancesPerRegion * len(regions) {
		// Names determine the owners of groups, so owners differ between plans.
		name := fmt.Sprintf("%c%d", 'a'+rune(p.Seed%8), i+1)
		in := newInstance(w, name, regions[i%len(regions)])
		w.instances = append(w.instances, in)
	}
	for _, in := range w.instances {
		in.boot()
	}
	return w
}

// run executes the plan's steps, then runs for settleTime.
func (w *world) run() {
	at := w.start.Add(3 * time.Second) // time for the instances to discover each other
	for _, s := range w.plan.Steps {
		at = at.Add(s.After)
		w.schedule(at, func() { w.perform(s) })
	}
	end := at.Add(settleTime)
	w.every(auditPeriod, w.oracle.audit)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(event)
		time.Sleep(time.Until(e.at))
		// Watchers that wake at the same time finish before the event.
		synctest.Wait()
		e.run()
	}
	w.oracle.finish()
}

func (w *world) schedule(at time.Time, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: at, sequence: w.sequence, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.schedule(time.Now().Add(d), run) }

// every calls run periodically until the world ends.
func (w *world) every(period time.Duration, run func()) {
	w.after(period, func() {
		run()
		w.every(period, run)
	})
}

func (w *world) logf(format string, args ...any) {
	elapsed := time.Since(w.start)
	w.trace = append(w.trace, fmt.Sprintf("%9.3fs ", elapsed.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) instance(i int) *instance { return w.instances[i%len(w.instances)] }

func (w *world) target(i int) *fakeTarget { return w.targets[i%len(w.targets)] }
