package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partCrash records a crash for the part with one companion, granted just before it.
func partCrash(q *Quarantine, now time.Time, part uint64, target string, companion uint64) {
	q.RecordPartCrash(now, part, target, []uint64{companion}, now.Add(-time.Millisecond))
}

// Guards against a sound part that stays suspect or quarantined after a request with it
// has begun, and against entries of peers that restore what has been cleared.
func TestPartRecords(t *testing.T) {
	const part = 7
	q := NewQuarantine()
	crashes := func(q *Quarantine, now time.Time) int {
		if r := q.part(now, part); r != nil {
			return r.crashes
		}
		return 0
	}
	partCrash(q, t0, part, "a", 8)
	require.False(t, q.RecordPartCrash(t0.Add(time.Second), part, "b", nil, t0), "granted before the first crash was known")
	require.Equal(t, 1, crashes(q, t0))
	partCrash(q, t0.Add(2*time.Second), part, "c", 8)
	require.Equal(t, 2, crashes(q, t0))
	entries := q.Entries(t0)
	require.Len(t, entries, 1)

	peer := NewQuarantine()
	require.True(t, peer.Merge(t0, entries))
	require.False(t, peer.Merge(t0, entries))
	require.Equal(t, 2, crashes(peer, t0))
	require.True(t, peer.RecordPartBegun(t0, part))
	require.False(t, peer.Merge(t0, entries), "crashes before the part was cleared")
	require.Empty(t, peer.Entries(t0))
	partCrash(q, t0.Add(4*time.Second), part, "d", 8)
	require.True(t, peer.Merge(t0, q.Entries(t0)))
	require.Equal(t, 1, crashes(peer, t0), "one crash since the part was cleared")
	require.Equal(t, 3, crashes(q, t0))
	require.Zero(t, crashes(q, t0.Add(4*time.Second+QuarantineDuration)))
}

// Guards against the quarantine of the part that sound requests share with the ones that
// crash targets, in traffic so low that none of them begins between two crashes.
func TestCompanionOfAQuarantinedPartIsTried(t *testing.T) {
	const shared, deadly, sound = 1, 2, 3
	now := t0
	g := testGroup(GroupConfig{}, Target{Name: "a", Concurrency: 4})
	ticket := func(n int, parts ...uint64) Ticket { return testTicket(n, func(t *Ticket) { t.SharedParts = parts }) }
	for n, target := range []string{"a", "b"} {
		require.Len(t, g.Submit(now, ticket(n, shared, deadly)), 1)
		now = now.Add(time.Second)
		g.Complete(now, ended(n, ResultTargetCrashed))
		now = now.Add(time.Second)
		g.SetTargets(now, []Target{{Name: string(target[0] + 1), Concurrency: 4}})
	}
	refusal := g.Submit(now, ticket(10, shared, deadly))[0].(Refusal)
	require.Equal(t, ReasonQuarantined, refusal.Reason)
	require.IsType(t, Grant{}, g.Submit(now, ticket(11, shared, sound))[0])
	require.Empty(t, g.Submit(now, ticket(12, shared, sound)), "one at a time")
	decisions := g.Begun(now, testID(11))
	require.IsType(t, Grant{}, decisions[0], "the next one when the first has begun")
	require.Equal(t, ReasonQuarantined, g.Submit(now, ticket(13, shared, deadly))[0].(Refusal).Reason)
	require.Equal(t, ReasonQuarantined, g.Submit(now, ticket(14, deadly))[0].(Refusal).Reason)
	now = now.Add(partRetryBackoff)
	require.IsType(t, Grant{}, g.Submit(now, ticket(15, shared, deadly))[0], "one tries again")
	require.Empty(t, g.Submit(now, ticket(16, shared, deadly)))
}

// fleetRun is a request on a target of the simulated fleet.
type fleetRun struct {
	ticket Ticket
	target string
	deadly bool
	begun  bool
	ended  bool
}

// crashFleet simulates targets of which some requests crash each one that begins to
// answer them, in virtual time.
type crashFleet struct {
	t       *testing.T
	rng     *rand.Rand
	group   *Group
	now     time.Time
	events  fleetEvents
	targets []Target
	started int
	next    int
	runs    map[TicketID]*fleetRun
	// sends holds the times at which deadly requests were granted, crashes those of the
	// crashes under them.
	sends, crashes []time.Time
	// sound and served count the sound requests sent at each time and those that began at
	// their first attempt.
	sound, served int
}

type fleetEvent struct {
	at time.Time
	do func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e fleetEvents) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *crashFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

func (f *crashFleet) addTarget() {
	f.started++
	f.targets = append(f.targets, Target{Name: fmt.Sprint("t", f.started), Concurrency: 13})
	f.apply(f.group.SetTargets(f.now, f.targets))
}

func (f *crashFleet) submit(deadly bool, change func(*Ticket)) {
	f.next++
	ticket := Ticket{
		ID: testID(f.next), Workspace: "w", PromptTokens: 6000, OutputTokens: 300, Deadline: f.now.Add(800 * time.Millisecond),
		Fingerprint: uint64(f.next), Idempotent: true,
	}
	change(&ticket)
	f.runs[ticket.ID] = &fleetRun{ticket: ticket, deadly: deadly}
	f.apply(f.group.Submit(f.now, ticket))
}

func (f *crashFleet) apply(decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Grant:
			f.run(f.runs[d.Ticket], d.Target)
		case Refusal:
			f.runs[d.Ticket].ended = true
		}
	}
}

func (f *crashFleet) run(r *fleetRun, target string) {
	r.target = target
	f.group.Dispatched(f.now, r.ticket.ID)
	if r.deadly {
		f.sends = append(f.sends, f.now)
	}
	f.after(time.Duration(80+f.rng.IntN(200))*time.Millisecond, func() {
		switch {
		case r.ended:
		case r.deadly:
			f.crash(target)
		default:
			r.begun = true
			if len(r.ticket.Avoid) == 0 {
				f.served++
			}
			f.apply(f.group.Begun(f.now, r.ticket.ID))
			f.after(3*time.Second, func() {
				if !r.ended {
					r.ended = true
					f.apply(f.group.Complete(f.now, Completion{ID: r.ticket.ID, Result: ResultServed, FirstToken: time.Second / 5, Total: 3 * time.Second}))
				}
			})
		}
	})
}

// crash ends all requests on the target. Those that had not begun are sent once more.
func (f *crashFleet) crash(target string) {
	f.crashes = append(f.crashes, f.now)
	for k, t := range f.targets {
		if t.Name == target {
			f.targets = append(f.targets[:k:k], f.targets[k+1:]...)
			break
		}
	}
	var again []*fleetRun
	for n := range f.next {
		r := f.runs[testID(n+1)]
		if r.target != target || r.ended {
			continue
		}
		r.ended = true
		c := Completion{ID: r.ticket.ID, Result: ResultTargetCrashed}
		if r.begun {
			c.FirstToken = time.Second / 5
		} else if len(r.ticket.Avoid) == 0 {
			again = append(again, r)
		}
		f.apply(f.group.Complete(f.now, c))
	}
	f.apply(f.group.SetTargets(f.now, f.targets))
	for _, r := range again {
		f.submit(r.deadly, func(t *Ticket) {
			t.Fingerprint, t.SharedParts, t.Avoid = r.ticket.Fingerprint, r.ticket.SharedParts, []string{target}
		})
	}
	f.after(4*time.Second, f.addTarget)
}

// Guards against requests that crash target after target although no two of them are
// alike, and against sound requests that are refused because they share a part with them.
func TestPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	const (
		first, deadly = 1, 2
		contact       = 4 * time.Second
		length        = 40 * time.Second
	)
	for _, c := range []struct {
		targets int
		rate    float64 // requests per second
		share   float64 // of those with the deadly part
	}{{9, 17, 0.02}, {9, 17, 0.05}, {9, 17, 0.15}, {9, 17, 0.5}, {9, 2, 0.05}, {9, 2, 0.5}, {12, 27, 0.05}, {60, 120, 0.05}, {60, 120, 0.3}} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(c, seed), func(t *testing.T) {
				f := &crashFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), group: testGroup(GroupConfig{}), now: t0, runs: make(map[TicketID]*fleetRun)}
				for range c.targets {
					f.addTarget()
				}
				var arrive func()
				arrive = func() {
					f.after(time.Duration(f.rng.ExpFloat64()/c.rate*float64(time.Second)), arrive)
					if f.rng.Float64() < c.share {
						f.submit(true, func(t *Ticket) { t.SharedParts = []uint64{first, deadly} })
						return
					}
					f.sound++
					own := 100 + f.rng.Uint64N(20)
					f.submit(false, func(t *Ticket) { t.SharedParts = []uint64{first, own} })
				}
				f.after(0, arrive)
				for f.now.Before(t0.Add(length)) {
					if len(f.events) == 0 || f.events[0].at.Sub(f.now) > 20*time.Millisecond {
						f.now = f.now.Add(20 * time.Millisecond)
						f.apply(f.group.Tick(f.now))
						continue
					}
					e := heap.Pop(&f.events).(fleetEvent)
					f.now = e.at
					e.do()
				}
				late := 0
				for _, at := range f.sends {
					if len(f.crashes) >= 5 && at.After(f.crashes[4].Add(contact)) {
						late++
					}
				}
				require.LessOrEqual(t, late, 3, "requests with the part after the fifth crash, %d crashes", len(f.crashes))
				require.Greater(t, 2*f.served, f.sound, "sound requests served, %d crashes", len(f.crashes))
				t.Logf("crashes %d, sound %d, begun at the first attempt %d", len(f.crashes), f.sound, f.served)
			})
		}
	}
}
