package fuzz

import (
	"slices"
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// Times of the fake targets.
const (
	minRunTime = 150 * time.Millisecond
	maxRunTime = 900 * time.Millisecond
	// reportLag is the age of a published load report.
	reportLag = 300 * time.Millisecond
)

// answer is what a target sends back for one request.
type answer struct {
	// id is the request that the answer says it belongs to.
	id   string
	body string
	// whole is true if the end marker arrived.
	whole bool
	// failed is an error status, broken a connection that broke after dispatch.
	failed, broken bool
}

func answerBody(requestID string) string { return "answer to " + requestID }

// fakeTarget is an engine or a plain service that records what it runs.
type fakeTarget struct {
	world       *world
	name        string
	region      string
	service     bool
	concurrency int

	up      bool
	life    int
	frozen  time.Time
	running []*targetRun
	// crossed, truncated and broken count the next answers with that fault.
	crossed, truncated, broken int
	// lastID is the request of the last run, which a crossed answer carries.
	lastID string
}

type targetRun struct {
	request *request
	life    int
	respond func(answer)
}

func newTargets(w *world) []*fakeTarget {
	var targets []*fakeTarget
	for _, t := range baseConfig.GetTargets() {
		targets = append(targets, &fakeTarget{
			world: w, name: t.GetName(), region: t.GetRegion(), service: t.GetPool() == "app",
			concurrency: int(t.GetConcurrency()), up: true,
		})
	}
	return targets
}

func (w *world) targetNamed(name string) *fakeTarget {
	i := slices.IndexFunc(w.targets, func(t *fakeTarget) bool { return t.name == name })
	return w.targets[i]
}

// receive takes the bytes of a request, which is a run whatever follows.
func (t *fakeTarget) receive(from *instance, r *request, version string, respond func(answer)) {
	t.world.oracle.ran(t, from, r, version)
	run := &targetRun{request: r, life: t.life, respond: respond}
	t.running = append(t.running, run)
	if r.poison {
		t.world.after(minRunTime, func() {
			if t.life == run.life {
				t.die(2 * time.Second)
			}
		})
		return
	}
	d := minRunTime + time.Duration(t.world.rng.Int64N(int64(maxRunTime-minRunTime)))
	d += d * time.Duration(len(t.running)/t.concurrency)
	t.finishAfter(run, d, version)
}

func (t *fakeTarget) finishAfter(run *targetRun, d time.Duration, version string) {
	t.world.after(d, func() {
		if t.life != run.life || !slices.Contains(t.running, run) {
			return
		}
		if wait := time.Until(t.frozen); wait > 0 {
			t.finishAfter(run, wait+minRunTime, version)
			return
		}
		t.remove(run)
		run.respond(t.answerFor(run.request, version))
	})
}

func (t *fakeTarget) answerFor(r *request, version string) answer {
	a := answer{id: r.id, body: answerBody(r.id), whole: true}
	switch {
	case version == badVersion && t.world.versionBad:
		a = answer{id: r.id, failed: true}
	case t.crossed > 0 && t.lastID != "" && t.lastID != r.id:
		t.crossed--
		a.id, a.body = t.lastID, answerBody(t.lastID)
	case t.truncated > 0:
		t.truncated--
		a.body, a.whole = a.body[:len(a.body)/2], false
	case t.broken > 0:
		t.broken--
		a = answer{broken: true}
	}
	t.lastID = r.id
	return a
}

func (t *fakeTarget) remove(run *targetRun) {
	t.running = slices.DeleteFunc(t.running, func(o *targetRun) bool { return o == run })
}

// cancel stops a run whose entry no longer waits for it.
func (t *fakeTarget) cancel(r *request) {
	t.running = slices.DeleteFunc(t.running, func(o *targetRun) bool { return o.request == r })
}

// die breaks all runs; the target returns after a while.
func (t *fakeTarget) die(down time.Duration) {
	if !t.up {
		return
	}
	t.world.logf("target %s dies with %d runs", t.name, len(t.running))
	t.up = false
	t.life++
	broken := t.running
	t.running = nil
	for _, run := range broken {
		run.respond(answer{broken: true})
	}
	t.world.after(down, func() {
		t.up = true
		t.world.logf("target %s is back", t.name)
	})
}

func (t *fakeTarget) report() scheduler.LoadReport {
	return scheduler.LoadReport{
		Target:  t.name,
		AsOf:    time.Now().Add(-reportLag),
		Running: min(len(t.running), t.concurrency),
		Waiting: max(0, len(t.running)-t.concurrency),
	}
}
