package fuzz

import (
	"slices"
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// Run times of the fake targets and the age of their load reports.
const (
	minRunTime = 150 * time.Millisecond
	maxRunTime = 900 * time.Millisecond
	// reportLag is the age of a load report when a broker reads it.
	reportLag = 300 * time.Millisecond
)

// response is the response of a target to one request.
type response struct {
	// id is the request ID that the response carries.
	id   string
	body string
	// complete is set if the end marker was received.
	complete bool
	// failed is set for an error status, broken for a connection that broke
	// after dispatch.
	failed, broken bool
}

func responseBody(requestID string) string { return "response to " + requestID }

// fakeTarget is an engine or a plain service that reports its runs to the oracle.
type fakeTarget struct {
	world       *world
	name        string
	region      string
	service     bool
	concurrency int

	up          bool
	incarnation int
	frozenUntil time.Time
	running     []*targetRun
	// mismatched, truncated and broken count the following responses with that
	// fault.
	mismatched, truncated, broken int
	// lastID is the request of the last run; a mismatched response carries it.
	lastID string
}

type targetRun struct {
	request     *request
	incarnation int
	respond     func(response)
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

// receive accepts the bytes of a request. This counts as a run, whatever happens
// afterwards.
func (t *fakeTarget) receive(from *instance, r *request, version string, respond func(response)) {
	t.world.oracle.ran(t, from, r, version)
	run := &targetRun{request: r, incarnation: t.incarnation, respond: respond}
	t.running = append(t.running, run)
	if r.poison {
		t.world.after(minRunTime, func() {
			if t.incarnation == run.incarnation {
				t.crash(2 * time.Second)
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
		if t.incarnation != run.incarnation || !slices.Contains(t.running, run) {
			return
		}
		if wait := time.Until(t.frozenUntil); wait > 0 {
			t.finishAfter(run, wait+minRunTime, version)
			return
		}
		t.remove(run)
		run.respond(t.responseFor(run.request, version))
	})
}

func (t *fakeTarget) responseFor(r *request, version string) response {
	resp := response{id: r.id, body: responseBody(r.id), complete: true}
	switch {
	case version == newVersion && t.world.newVersionFails:
		resp = response{id: r.id, failed: true}
	case t.mismatched > 0 && t.lastID != "" && t.lastID != r.id:
		t.mismatched--
		resp.id, resp.body = t.lastID, responseBody(t.lastID)
	case t.truncated > 0:
		t.truncated--
		resp.body, resp.complete = resp.body[:len(resp.body)/2], false
	case t.broken > 0:
		t.broken--
		resp = response{broken: true}
	}
	t.lastID = r.id
	return resp
}

func (t *fakeTarget) remove(run *targetRun) {
	t.running = slices.DeleteFunc(t.running, func(o *targetRun) bool { return o == run })
}

// cancel stops a run whose response the entry no longer needs.
func (t *fakeTarget) cancel(r *request) {
	t.running = slices.DeleteFunc(t.running, func(o *targetRun) bool { return o.request == r })
}

// crash breaks the connections of all runs; the target restarts after down.
func (t *fakeTarget) crash(down time.Duration) {
	if !t.up {
		return
	}
	t.world.logf("target %s crashes with %d runs", t.name, len(t.running))
	t.up = false
	t.incarnation++
	broken := t.running
	t.running = nil
	for _, run := range broken {
		run.respond(response{broken: true})
	}
	t.world.after(down, func() {
		t.up = true
		t.world.logf("target %s recovers", t.name)
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
