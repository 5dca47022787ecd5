package rollout

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulatedMoves is the number of simulated moves of each case of TestSimulatedMoves.
var simulatedMoves = flag.Int("moves", 10, "simulated moves of each case")

// Limits that the users set for a bad version, and the times of the simulated fleet.
const (
	allowedShare    = 0.1
	allowedRequests = 50
	badResponses    = 50
	stopTime        = 5 * time.Second
	reportTime      = 200 * time.Millisecond
	decideTime      = 250 * time.Millisecond
	checkTime       = 125 * time.Millisecond
	readyAfter      = 300 * time.Millisecond
)

// simulation is a fleet that moves a service of streams in virtual time.
type simulation struct {
	rng       *rand.Rand
	start     time.Time
	now       time.Duration
	events    eventQueue
	instances []*Tracker
	rate      float64
	slowdown  float64
	// badFrom is when the new version becomes slow.
	badFrom time.Duration

	phase          Phase
	phaseStartedAt time.Duration
	endedAt        time.Duration
	reason         string

	requests, exposed int
	bad               []time.Duration
	lastExposed       time.Duration
}

type simEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + d, run})
}

func (s *simulation) every(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		s.after(d, again)
	}
	s.after(time.Duration(s.rng.Int64N(int64(d))), again)
}

var simOrder = Order{Service: "s", To: "v2", Duration: 15 * time.Second, ID: 7}

// simulateMove plays one order to its deadline.
func simulateMove(seed uint64, instances int, rate, slowdown float64, badFrom time.Duration) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, uint64(instances))), start: time.Unix(1, 0), rate: rate, slowdown: slowdown,
		badFrom: badFrom, phase: Canary,
	}
	slots := func(string) map[string]int {
		if s.now < readyAfter {
			return map[string]int{"v1": 24}
		}
		return map[string]int{"v1": 24, "v2": 12}
	}
	for range instances {
		t := NewTracker(slots)
		t.now = func() time.Time { return s.start.Add(s.now) }
		t.SetOrders([]Order{simOrder})
		s.instances = append(s.instances, t)
	}
	for k, t := range s.instances {
		s.every(reportTime, func() {
			report := t.Report()
			s.after(time.Duration(s.rng.Int64N(int64(reportTime))), func() {
				for other, peer := range s.instances {
					if other != k {
						peer.SetPeer(fmt.Sprint(k), 1, report)
					}
				}
			})
		})
		s.every(checkTime, func() { t.StopIfRegressed(simOrder) })
		s.every(decideTime, func() { t.SetPhase("s", simOrder.ID, s.phase) })
	}
	s.every(decideTime, s.decide)
	s.after(0, s.arrive)
	for s.now < simOrder.Duration && len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// decide applies the decision of the instance that owns the order.
func (s *simulation) decide() {
	next, reason := Next(Input{
		Order: simOrder, Phase: s.phase, Elapsed: s.now, InPhase: s.now - s.phaseStartedAt,
		Observed: s.instances[0].Observe(simOrder), Ready: s.now >= readyAfter,
	})
	if next == s.phase {
		return
	}
	s.phase, s.phaseStartedAt, s.reason = next, s.now, reason
	if next.Ended() {
		s.endedAt = s.now
	}
}

// arrive sends a request and schedules the next one.
func (s *simulation) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	t := s.instances[s.rng.IntN(len(s.instances))]
	route := uint32(s.rng.IntN(3))
	version := t.Choose("s", false)
	isNew := version == "v2" || (version == "" && s.phase == Done)
	s.requests++
	slow, load := 1.0, 1.0
	if isNew {
		s.exposed++
		s.lastExposed = s.now
		if s.phase == Canary {
			load = 0.6 // measured: targets with few requests are faster
		}
		if s.now >= s.badFrom {
			slow = s.slowdown
		}
		version = "v2"
	} else {
		version = "v1"
	}
	scale := slow * load
	first := s.logNormal(float64(40+30*route)*scale, 0.85)
	gap := s.logNormal(15*scale, 0.55)
	end := t.Begin("s", route, version)
	s.after(first, func() { t.ObserveTime("s", route, version, first) })
	s.after(first+8*gap, func() { t.ObserveGap("s", route, version, gap) })
	s.after(first+time.Duration(10+s.rng.IntN(30))*gap, func() {
		end()
		t.ObserveEnd("s", route, version, false)
		if isNew && slow > 1 {
			s.bad = append(s.bad, s.now)
		}
	})
}

// logNormal returns a time with the median in milliseconds.
func (s *simulation) logNormal(median, sigma float64) time.Duration {
	return time.Duration(median * math.Exp(sigma*s.rng.NormFloat64()) * float64(time.Millisecond))
}

// withinAllowance reports whether a bad version got no more requests than the users allow.
func (s *simulation) withinAllowance() bool {
	late := len(s.bad) >= badResponses && s.lastExposed > s.bad[badResponses-1]+stopTime
	return !late && float64(s.exposed) <= allowedShare*float64(s.requests)+allowedRequests
}

// Guards against a version several times slower that gets more requests than allowed, and
// against a good one that is not completed in time. With -moves=1000 -v it prints the
// operating characteristics of docs/MEASUREMENTS.md.
func TestSimulatedMoves(t *testing.T) {
	for _, c := range []struct {
		instances      int
		rate, slowdown float64
		badFrom        time.Duration
		required       bool // the outcome is a requirement, not only measured
	}{
		{2, 3, 0.5, 0, true}, {2, 3, 1, 0, true}, {2, 3, 2, 0, false}, {2, 3, 4, 0, true}, {2, 3, 8, 0, true},
		{9, 30, 0.5, 0, true}, {9, 30, 1, 0, true}, {9, 30, 1.5, 0, false}, {9, 30, 2, 0, false}, {9, 30, 4, 0, true}, {9, 30, 8, 0, true},
		{9, 100, 1, 0, true}, {9, 100, 2, 0, false}, {9, 100, 4, 0, true}, {9, 100, 8, 0, true},
		{84, 300, 1, 0, true}, {84, 300, 2, 0, false}, {84, 300, 4, 0, true}, {84, 300, 8, 0, true},
		{9, 100, 4, 5 * time.Second, true}, {84, 300, 4, 5 * time.Second, true},
		{9, 100, 4, 11 * time.Second, false}, {84, 300, 4, 11 * time.Second, false},
	} {
		name := fmt.Sprintf("%d instances, %g requests per second, %g times slower from %v", c.instances, c.rate, c.slowdown, c.badFrom)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := *simulatedMoves
			if c.instances > 9 {
				runs = max(2, runs/10)
			}
			allowed, done, back := 0, 0, 0
			var decided []time.Duration
			exposure := 0.0
			for seed := range uint64(runs) {
				s := simulateMove(seed, c.instances, c.rate, c.slowdown, c.badFrom)
				if s.withinAllowance() {
					allowed++
				} else if c.required && c.slowdown > 1 {
					t.Logf("seed %d: %d of %d requests exposed, %s after %v: %s", seed, s.exposed, s.requests, s.phase, s.endedAt, s.reason)
				}
				switch s.phase {
				case Done:
					done++
				case RolledBack:
					back++
					decided = append(decided, s.endedAt)
				}
				exposure += float64(s.exposed) / (allowedShare*float64(s.requests) + allowedRequests)
				if c.required && c.slowdown <= 1 && s.phase != Done {
					t.Logf("seed %d: %s after %v: %s", seed, s.phase, s.endedAt, s.reason)
				}
			}
			t.Logf("%d moves: %d within the allowance, %d completed, %d rolled back, median %v, mean exposure %.2f of the allowance",
				runs, allowed, done, back, median(decided).Round(100*time.Millisecond), exposure/float64(runs))
			if !c.required {
				return
			}
			if c.slowdown > 1 {
				require.GreaterOrEqual(t, float64(allowed), 0.999*float64(runs))
			} else {
				require.GreaterOrEqual(t, float64(done), 0.999*float64(runs))
			}
		})
	}
}

func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}
