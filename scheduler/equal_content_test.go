package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Contents of the requests of serviceFleet; other requests have contents of their own.
const (
	hotContent = iota + 1
	deadlyContent
	firstOwnContent
	// contents from firstDeadlyContent on crash targets as deadlyContent does.
	firstDeadlyContent = 1 << 40
)

func isDeadly(content uint64) bool { return content == deadlyContent || content >= firstDeadlyContent }

// serviceFleet simulates instances that each place the requests of a plain service by
// themselves and send each other reports, in virtual time. Requests with deadlyContent
// crash each target that runs them.
type serviceFleet struct {
	rng     *rand.Rand
	now     time.Time
	events  fleetEvents
	groups  []*Group
	targets []Target
	started int
	next    int
	runs    map[TicketID]*serviceRun
	// sameNames is set if targets come back under the names that they had.
	sameNames bool
	// sends and ends hold the times at which each deadly content was granted and at which it
	// crashed a target.
	sends, ends map[uint64][]time.Time
	// deadly holds the times at which requests with deadlyContent were granted; crashes
	// those of the crashes.
	deadly, crashes []time.Time
	// hot and hotServed count the requests with hotContent and those served.
	hot, hotServed int
}

type serviceRun struct {
	ticket Ticket
	group  *Group
	target string
	sends  int
	ended  bool
}

// Times of the simulated service.
const (
	serviceTime   = 40 * time.Millisecond
	serviceReport = 200 * time.Millisecond
	serviceBack   = 3 * time.Second
)

func newServiceFleet(seed uint64, instances, targets int) *serviceFleet {
	f := &serviceFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: t0, runs: make(map[TicketID]*serviceRun),
		sends: make(map[uint64][]time.Time), ends: make(map[uint64][]time.Time)}
	for k := range instances {
		f.groups = append(f.groups, NewGroup(GroupConfig{NoPartRetries: true}, rand.New(rand.NewPCG(seed, uint64(k)))))
	}
	for range targets {
		f.addTarget()
	}
	for k := range f.groups {
		f.after(time.Duration(f.rng.Int64N(int64(serviceReport))), func() { f.report(k) })
	}
	return f
}

func (f *serviceFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

func (f *serviceFleet) run(length time.Duration) {
	const tick = 20 * time.Millisecond
	for end := f.now.Add(length); f.now.Before(end); {
		if len(f.events) == 0 || f.events[0].at.Sub(f.now) > tick {
			f.now = f.now.Add(tick)
			for _, g := range f.groups {
				f.apply(g, g.Tick(f.now))
			}
			continue
		}
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
}

// report sends the crash records of one instance to the others and tells it the load that
// they have placed.
func (f *serviceFleet) report(from int) {
	sender := f.groups[from]
	entries := append(sender.Quarantined(f.now), sender.TakeServedSuspects()...)
	for _, g := range f.groups {
		if g != sender && len(entries) > 0 {
			f.apply(g, g.SetQuarantined(f.now, entries))
		}
	}
	loads := make(map[string]int)
	for _, r := range f.runs {
		if !r.ended && r.group != sender {
			loads[r.target]++
		}
	}
	for _, t := range f.targets {
		sender.SetExternalLoad(f.now, t.Name, loads[t.Name], 0)
	}
	f.after(serviceReport, func() { f.report(from) })
}

func (f *serviceFleet) addTarget() {
	f.started++
	f.targets = append(f.targets, Target{Name: fmt.Sprint("t", f.started), Start: int64(f.started), Concurrency: 6, Service: true})
	f.setTargets()
}

// back starts a crashed target again, under its name or another one.
func (f *serviceFleet) back(name string) {
	if !f.sameNames {
		f.addTarget()
		return
	}
	f.started++
	f.targets = append(f.targets, Target{Name: name, Start: int64(f.started), Concurrency: 6, Service: true})
	f.setTargets()
}

func (f *serviceFleet) setTargets() {
	for _, g := range f.groups {
		f.apply(g, g.SetTargets(f.now, f.targets))
	}
}

// arrive sends requests at the rate per second, shares of them with hotContent and
// deadlyContent.
func (f *serviceFleet) arrive(rate, hot, deadly float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		content := uint64(firstOwnContent + f.next)
		switch drawn := f.rng.Float64(); {
		case drawn < deadly:
			content = deadlyContent
		case drawn < deadly+hot:
			content = hotContent
			f.hot++
		}
		g := f.groups[f.rng.IntN(len(f.groups))]
		f.submit(&serviceRun{ticket: Ticket{Workspace: "w", Fingerprint: content, Idempotent: true}, group: g})
		f.arrive(rate, hot, deadly)
	})
}

func (f *serviceFleet) submit(r *serviceRun) {
	f.next++
	r.ticket.ID, r.ticket.Deadline = testID(f.next), f.now.Add(300*time.Millisecond)
	r.target, r.ended = "", false
	f.runs[r.ticket.ID] = r
	f.apply(r.group, r.group.Submit(f.now, r.ticket))
}

func (f *serviceFleet) apply(g *Group, decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Grant:
			f.start(g, f.runs[d.Ticket], d.Target)
		case Refusal:
			delete(f.runs, d.Ticket)
		}
	}
}

func (f *serviceFleet) start(g *Group, r *serviceRun, target string) {
	g.Dispatched(f.now, r.ticket.ID)
	r.target = target
	r.sends++
	content := r.ticket.Fingerprint
	if isDeadly(content) {
		f.deadly = append(f.deadly, f.now)
		f.sends[content] = append(f.sends[content], f.now)
	}
	id := r.ticket.ID
	f.after(serviceTime/2+time.Duration(f.rng.Int64N(int64(serviceTime))), func() {
		if f.runs[id] == nil || r.ended {
			return
		}
		if isDeadly(content) {
			f.ends[content] = append(f.ends[content], f.now)
			f.crash(r.target)
			return
		}
		f.end(r, ResultServed)
		if r.ticket.Fingerprint == hotContent {
			f.hotServed++
		}
	})
}

func (f *serviceFleet) end(r *serviceRun, result Result) {
	r.ended = true
	delete(f.runs, r.ticket.ID)
	f.apply(r.group, r.group.Complete(f.now, Completion{ID: r.ticket.ID, Result: result, Total: serviceTime}))
}

// crash ends all requests on the targets, which come back later under other names. Each
// instance learns of a crash within 25 ms, and sends the request once more.
func (f *serviceFleet) crash(names ...string) {
	gone := make(map[string]bool)
	for _, name := range names {
		gone[name] = true
		f.crashes = append(f.crashes, f.now)
		f.after(serviceBack, func() { f.back(name) })
	}
	var left []Target
	for _, t := range f.targets {
		if !gone[t.Name] {
			left = append(left, t)
		}
	}
	f.targets = left
	for n := range f.next {
		r := f.runs[testID(n+1)]
		if r == nil || !gone[r.target] || r.ended {
			continue
		}
		r.ended = true
		f.after(time.Duration(f.rng.IntN(25))*time.Millisecond, func() {
			f.end(r, ResultTargetCrashed)
			if r.sends == 1 {
				r.ticket.Avoid = []string{r.target}
				f.submit(r)
			}
		})
	}
	f.after(25*time.Millisecond, f.setTargets)
}

// refusing returns the number of instances that refuse a content.
func (f *serviceFleet) refusing(content uint64) int {
	n := 0
	for _, g := range f.groups {
		if verdict, _ := g.quarantine.Verdict(f.now, content); verdict == VerdictQuarantined {
			n++
		}
	}
	return n
}

// Guards against the refusal of a sound request that many callers send, because targets
// crash under it that another request crashes or that fail together, and against more than
// three sends of the other request after its third crash is known.
func TestContentSharedByManyRequestsIsServed(t *testing.T) {
	const (
		contact = 4 * time.Second
		length  = 30 * time.Second
		seeds   = 3
	)
	for _, c := range []struct {
		instances, targets int
		rate, hot, deadly  float64
		failures           bool // two targets crash together every 5 s
	}{
		{9, 3, 34, 0.3, 0.03, false}, {9, 3, 34, 0.7, 0.03, false}, {9, 3, 34, 0.7, 0, true}, {9, 3, 34, 0.5, 0.03, true},
		{84, 6, 210, 0.7, 0.02, false}, {84, 6, 210, 0.5, 0.02, true},
	} {
		var refused, crashes, late, hot, served int
		for seed := range uint64(seeds) {
			f := newServiceFleet(seed, c.instances, c.targets)
			f.arrive(c.rate, c.hot, c.deadly)
			var fail func()
			fail = func() {
				if len(f.targets) >= 2 {
					f.crash(f.targets[0].Name, f.targets[1].Name)
				}
				f.after(5*time.Second, fail)
			}
			if c.failures {
				f.after(5*time.Second, fail)
			}
			f.run(length)
			refused += f.refusing(hotContent)
			crashes += len(f.crashes)
			hot, served = hot+f.hot, served+f.hotServed
			n := 0
			for _, at := range f.deadly {
				if len(f.deadly) >= 3 && at.After(f.deadly[2].Add(serviceTime+contact)) {
					n++
				}
			}
			late = max(late, n)
		}
		t.Logf("%+v: %d instances refuse the shared content, %d crashes, at most %d late sends, %d of %d shared requests served", c, refused, crashes, late, served, hot)
		require.Zero(t, refused, "%+v", c)
		require.LessOrEqual(t, late, 3, "%+v", c)
	}
}
