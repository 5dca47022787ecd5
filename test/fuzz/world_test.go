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
	// settleTime follows the last step, so that faults end and requests time out.
	settleTime = 30 * time.Second
	// tickPeriod is the period of an instance's own work.
	tickPeriod = 50 * time.Millisecond
	// auditPeriod is the period of the oracle's checks of elapsed time.
	auditPeriod = 100 * time.Millisecond
)

var regions = []string{"north", "south"}

// world runs the instances, targets and platform of one plan. One goroutine
// runs all its events in the order of virtual time; only the configuration
// watchers have goroutines of their own, which touch what is locked.
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
	// versionBad makes the new version fail.
	versionBad    bool
	poisonRepeats int
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

// result is what a run left behind.
type result struct {
	trace      []string
	violations []violation
	served     int
}

// runPlan executes the plan in a bubble of virtual time.
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
		// Names decide the owners of groups, so plans differ in who owns what.
		name := fmt.Sprintf("%c%d", 'a'+rune(p.Seed%8), i+1)
		in := newInstance(w, name, regions[i%len(regions)])
		w.instances = append(w.instances, in)
	}
	for _, in := range w.instances {
		in.boot()
	}
	return w
}

// run executes the plan's steps and then lets the world settle.
func (w *world) run() {
	at := w.start.Add(3 * time.Second) // the instances find each other first
	for _, s := range w.plan.Steps {
		at = at.Add(s.After)
		w.at(at, func() { w.perform(s) })
	}
	end := at.Add(settleTime)
	w.every(auditPeriod, w.oracle.audit)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(event)
		time.Sleep(time.Until(e.at))
		// Watchers that woke at this instant finish before the event.
		synctest.Wait()
		e.run()
	}
	w.oracle.finish()
}

func (w *world) at(at time.Time, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: at, sequence: w.sequence, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(time.Now().Add(d), run) }

// every repeats run until the world ends.
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
