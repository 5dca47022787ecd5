package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const (
	simInstances = 9
	simTick      = 100 * time.Millisecond
	// simStopDelay is the time for a stop to reach all instances.
	simStopDelay = 200 * time.Millisecond
)

// behaviour is a version's failure ratio and the factor on its times.
type behaviour struct{ failures, slowdown float64 }

var healthy = behaviour{failures: 0.005, slowdown: 1}

type pendingSample struct {
	due      time.Time
	instance int
	sample   Sample
}

// simulation runs the trackers of nine instances without a network. A failure is
// observed after 200 ms, other samples when the response ends.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	move     *pb.Move
	row      *pb.MoveRow
	version  int64
	trackers []*Tracker
	pending  []pendingSample
	stopped  time.Time
	reason   string
	// toRegressed counts the requests sent to the new version while it is not healthy.
	toRegressed int
}

func newSimulation(seed uint64, move *pb.Move) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: start, move: move}
	for i := range simInstances {
		tr := NewTracker(TrackerSettings{
			Instance: fmt.Sprint(i),
			Now:      func() time.Time { return s.now },
			OnStop:   func(stop *pb.MoveStop) { s.stop(stop.Reason) },
		})
		tr.SetMoves(1, []*pb.Move{move})
		s.trackers = append(s.trackers, tr)
	}
	s.setRow(&pb.MoveRow{Move: "m", Phase: pb.MovePhase_MOVE_PHASE_LOADING, Definition: Definition(s.move)})
	return s
}

func (s *simulation) stop(reason string) {
	if s.stopped.IsZero() {
		s.stopped, s.reason = s.now, reason
	}
}

func (s *simulation) setRow(row *pb.MoveRow) {
	s.version++
	s.row = row
	for _, tr := range s.trackers {
		tr.SetProgress(&pb.MoveProgress{
			Move: "m", RowVersion: s.version, Phase: row.Phase, SharePercent: row.SharePercent, Definition: row.Definition,
		})
	}
}

// arrive starts the requests of one tick.
func (s *simulation) arrive(perSecond float64, version behaviour) {
	route := &pb.Route{Name: "plans", Version: "v1"}
	count := poisson(s.rng, perSecond*simTick.Seconds())
	for range count {
		instance := s.rng.IntN(simInstances)
		chosen := s.trackers[instance].Choose(route, fmt.Sprint(s.rng.Uint64()))
		served := healthy
		if chosen == "v2" {
			served = version
		}
		if served != healthy {
			s.toRegressed++
		}
		s.pending = append(s.pending, s.outcome(instance, chosen, served))
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		count++
	}
	return count
}

// outcome draws a sample. Response lengths vary by a factor of about 100.
func (s *simulation) outcome(instance int, version string, b behaviour) pendingSample {
	sample := Sample{Route: "plans", Version: version, Failed: s.rng.Float64() < b.failures}
	if sample.Failed {
		return pendingSample{s.now.Add(200 * time.Millisecond), instance, sample}
	}
	sample.FirstToken = time.Duration(b.slowdown * 300 * math.Exp(s.rng.NormFloat64()) * float64(time.Millisecond))
	sample.TokenInterval = time.Duration(b.slowdown * 25 * math.Exp(0.3*s.rng.NormFloat64()) * float64(time.Millisecond))
	intervals := 1 + int(50*math.Exp(s.rng.NormFloat64()))
	took := sample.FirstToken + time.Duration(intervals)*sample.TokenInterval
	return pendingSample{s.now.Add(took), instance, sample}
}

// finish reports the samples that are due.
func (s *simulation) finish() {
	remaining := s.pending[:0]
	for _, p := range s.pending {
		if p.due.After(s.now) {
			remaining = append(remaining, p)
			continue
		}
		s.trackers[p.instance].Observe(p.sample)
	}
	s.pending = remaining
}

// exchange sends every instance's counters to three random instances.
func (s *simulation) exchange() {
	for _, tr := range s.trackers {
		counters := tr.Counters(WindowOf(s.now)-2, true)
		for range 3 {
			s.trackers[s.rng.IntN(simInstances)].Merge(counters)
		}
	}
}

// control makes a decision from the view of one instance.
func (s *simulation) control() {
	in := Input{
		Move: s.move, Row: s.row, Now: s.now,
		From: s.trackers[0].Series("m", "v1"), To: s.trackers[0].Series("m", "v2"),
		Targets: []TargetState{{Versions: []string{"v1", "v2"}}},
	}
	next, reason := Decide(in)
	if next == nil {
		return
	}
	if next.Phase == pb.MovePhase_MOVE_PHASE_TAKING_BACK {
		s.stop(reason)
		return
	}
	s.setRow(next)
}

// run simulates until the move is done, a stop has reached all instances, or the limit
// is reached.
func (s *simulation) run(perSecond float64, limit time.Duration, version func(*simulation) behaviour) {
	for tick := 0; s.now.Sub(start) < limit && s.row.Phase != pb.MovePhase_MOVE_PHASE_DONE; tick++ {
		if !s.stopped.IsZero() && s.now.Sub(s.stopped) >= simStopDelay {
			return
		}
		s.now = s.now.Add(simTick)
		s.arrive(perSecond, version(s))
		s.finish()
		if tick%10 == 0 {
			s.exchange()
		}
		if tick%5 == 0 {
			for _, tr := range s.trackers {
				tr.Tick()
			}
			s.control()
		}
	}
}

func always(b behaviour) func(*simulation) behaviour {
	return func(*simulation) behaviour { return b }
}

// regressesLate is healthy until the new version gets 60% of the traffic.
func regressesLate(b behaviour) func(*simulation) behaviour {
	return func(s *simulation) behaviour {
		if s.row.SharePercent >= 60 {
			return b
		}
		return healthy
	}
}

// BenchmarkBadVersion measures how many requests reach a bad version before all
// instances have stopped the move.
func BenchmarkBadVersion(b *testing.B) {
	cases := map[string]func(*simulation) behaviour{
		"fails100":     always(behaviour{1, 1}),
		"fails20":      always(behaviour{0.2, 1}),
		"slow3x":       always(behaviour{0.005, 3}),
		"fails20late":  regressesLate(behaviour{0.2, 1}),
		"fails100late": regressesLate(behaviour{1, 1}),
	}
	for name, version := range cases {
		for _, perSecond := range []float64{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/%g", name, perSecond), func(b *testing.B) {
				var requests, seconds float64
				most, missed := 0, 0
				for seed := range b.N {
					s := newSimulation(uint64(seed), testMove())
					s.run(perSecond, 6*time.Hour, version)
					requests += float64(s.toRegressed)
					seconds += s.now.Sub(start).Seconds()
					most = max(most, s.toRegressed)
					if s.stopped.IsZero() {
						missed++
					}
				}
				b.ReportMetric(requests/float64(b.N), "requests")
				b.ReportMetric(float64(most), "max-requests")
				b.ReportMetric(seconds/float64(b.N), "virtual-s")
				b.ReportMetric(float64(missed), "missed")
			})
		}
	}
}

// BenchmarkGoodVersion measures how many of b.N good versions are rolled back.
func BenchmarkGoodVersion(b *testing.B) {
	rolledBack, done, seconds := goodVersions(b.N)
	b.ReportMetric(float64(rolledBack), "taken-back")
	b.ReportMetric(float64(done), "done")
	b.ReportMetric(seconds/float64(b.N), "virtual-s")
}

func goodVersions(seeds int) (rolledBack, done int, seconds float64) {
	var rollbacks, completed, millis atomic.Int64
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for seed := range seeds {
		group.Go(func() error {
			s := newSimulation(uint64(seed), testMove())
			s.run(10, 6*time.Hour, always(healthy))
			if !s.stopped.IsZero() {
				rollbacks.Add(1)
			}
			if s.row.Phase == pb.MovePhase_MOVE_PHASE_DONE {
				completed.Add(1)
			}
			millis.Add(s.now.Sub(start).Milliseconds())
			return nil
		})
	}
	_ = group.Wait()
	return int(rollbacks.Load()), int(completed.Load()), float64(millis.Load()) / 1000
}

// Guards against a move to a good version that is rolled back or does not complete.
func TestGoodVersionCompletes(t *testing.T) {
	rolledBack, done, _ := goodVersions(5)
	require.Zero(t, rolledBack)
	require.Equal(t, 5, done)
}

// Guards against a move to a bad version that is not stopped: one that fails from the
// start, is slow, or fails only at a high share. Also guards against entries that
// continue to send requests to it after the stop.
func TestBadVersionStops(t *testing.T) {
	for name, c := range map[string]struct {
		version     func(*simulation) behaviour
		maxRequests int
	}{
		"fails always": {always(behaviour{1, 1}), 12},
		"fails 20%":    {always(behaviour{0.2, 1}), 150},
		"slow":         {always(behaviour{0.005, 3}), 150},
	} {
		s := newSimulation(7, testMove())
		s.run(10, time.Hour, c.version)
		require.False(t, s.stopped.IsZero(), name)
		require.Equal(t, 2.0, s.row.SharePercent, name)
		require.LessOrEqual(t, s.toRegressed, c.maxRequests, name)
	}
	s := newSimulation(7, testMove())
	s.run(10, time.Hour, regressesLate(behaviour{1, 1}))
	require.False(t, s.stopped.IsZero())
	require.Equal(t, 60.0, s.row.SharePercent)
}
