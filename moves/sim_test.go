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
	// simRelay is the time until a stop has reached all instances.
	simRelay = 200 * time.Millisecond
)

// behaviour is how a version serves: its failure ratio and the factor on its times.
type behaviour struct{ failures, slowdown float64 }

var healthy = behaviour{failures: 0.005, slowdown: 1}

type pendingSample struct {
	due      time.Time
	instance int
	sample   Sample
}

// simulation runs the trackers of nine instances without a network. A failure is
// seen after 200 ms, other samples when the answer ends.
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
	// toBad counts requests sent to the new version while it is bad.
	toBad int
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
		behaves := healthy
		if chosen == "v2" {
			behaves = version
		}
		if behaves != healthy {
			s.toBad++
		}
		s.pending = append(s.pending, s.outcome(instance, chosen, behaves))
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

// outcome draws lengths that vary about a hundredfold.
func (s *simulation) outcome(instance int, version string, b behaviour) pendingSample {
	sample := Sample{Route: "plans", Version: version, Failed: s.rng.Float64() < b.failures}
	if sample.Failed {
		return pendingSample{s.now.Add(200 * time.Millisecond), instance, sample}
	}
	sample.FirstToken = time.Duration(b.slowdown * 300 * math.Exp(s.rng.NormFloat64()) * float64(time.Millisecond))
	sample.TokenInterval = time.Duration(b.slowdown * 25 * math.Exp(0.3*s.rng.NormFloat64()) * float64(time.Millisecond))
	sample.Intervals = 1 + int(50*math.Exp(s.rng.NormFloat64()))
	took := sample.FirstToken + time.Duration(sample.Intervals)*sample.TokenInterval
	return pendingSample{s.now.Add(took), instance, sample}
}

func (s *simulation) finish() {
	rest := s.pending[:0]
	for _, p := range s.pending {
		if p.due.After(s.now) {
			rest = append(rest, p)
			continue
		}
		s.trackers[p.instance].Observe(p.sample)
	}
	s.pending = rest
}

// exchange passes every instance's counters to three random others.
func (s *simulation) exchange() {
	for _, tr := range s.trackers {
		counters := tr.Counters(WindowOf(s.now)-2, true)
		for range 3 {
			s.trackers[s.rng.IntN(simInstances)].Merge(counters)
		}
	}
}

// control decides from the view of one instance.
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

// run ends when the move is done, when a stop has reached all instances, or at the limit.
func (s *simulation) run(perSecond float64, limit time.Duration, version func(*simulation) behaviour) {
	for tick := 0; s.now.Sub(start) < limit && s.row.Phase != pb.MovePhase_MOVE_PHASE_DONE; tick++ {
		if !s.stopped.IsZero() && s.now.Sub(s.stopped) >= simRelay {
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

// lateBad is good until it gets 60% of the traffic.
func lateBad(b behaviour) func(*simulation) behaviour {
	return func(s *simulation) behaviour {
		if s.row.SharePercent >= 60 {
			return b
		}
		return healthy
	}
}

// BenchmarkBadVersion reports how many requests reach a bad version before all
// instances have stopped it.
func BenchmarkBadVersion(b *testing.B) {
	cases := map[string]func(*simulation) behaviour{
		"fails100":     always(behaviour{1, 1}),
		"fails20":      always(behaviour{0.2, 1}),
		"slow3x":       always(behaviour{0.005, 3}),
		"fails20late":  lateBad(behaviour{0.2, 1}),
		"fails100late": lateBad(behaviour{1, 1}),
	}
	for name, version := range cases {
		for _, perSecond := range []float64{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/%g", name, perSecond), func(b *testing.B) {
				var requests, seconds float64
				most, missed := 0, 0
				for seed := range b.N {
					s := newSimulation(uint64(seed), testMove())
					s.run(perSecond, 6*time.Hour, version)
					requests += float64(s.toBad)
					seconds += s.now.Sub(start).Seconds()
					most = max(most, s.toBad)
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

// BenchmarkGoodVersion reports how many of b.N good versions are taken back.
func BenchmarkGoodVersion(b *testing.B) {
	takenBack, done, seconds := goodVersions(b.N)
	b.ReportMetric(float64(takenBack), "taken-back")
	b.ReportMetric(float64(done), "done")
	b.ReportMetric(seconds/float64(b.N), "virtual-s")
}

func goodVersions(seeds int) (takenBack, done int, seconds float64) {
	var back, ended, millis atomic.Int64
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for seed := range seeds {
		group.Go(func() error {
			s := newSimulation(uint64(seed), testMove())
			s.run(10, 6*time.Hour, always(healthy))
			if !s.stopped.IsZero() {
				back.Add(1)
			}
			if s.row.Phase == pb.MovePhase_MOVE_PHASE_DONE {
				ended.Add(1)
			}
			millis.Add(s.now.Sub(start).Milliseconds())
			return nil
		})
	}
	_ = group.Wait()
	return int(back.Load()), int(ended.Load()), float64(millis.Load()) / 1000
}

// Guards against a good version that is taken back or not completed.
func TestGoodVersionCompletes(t *testing.T) {
	takenBack, done, _ := goodVersions(5)
	require.Zero(t, takenBack)
	require.Equal(t, 5, done)
}

// Guards against a bad version that goes on: bad at once, slow, late, or only at a
// high share. Also against entries that keep sending to it after the stop.
func TestBadVersionStops(t *testing.T) {
	for name, c := range map[string]struct {
		version func(*simulation) behaviour
		most    int
	}{
		"fails always": {always(behaviour{1, 1}), 12},
		"fails 20%":    {always(behaviour{0.2, 1}), 150},
		"slow":         {always(behaviour{0.005, 3}), 150},
	} {
		s := newSimulation(7, testMove())
		s.run(10, time.Hour, c.version)
		require.False(t, s.stopped.IsZero(), name)
		require.Equal(t, 2.0, s.row.SharePercent, name)
		require.LessOrEqual(t, s.toBad, c.most, name)
	}
	s := newSimulation(7, testMove())
	s.run(10, time.Hour, lateBad(behaviour{1, 1}))
	require.False(t, s.stopped.IsZero())
	require.Equal(t, 60.0, s.row.SharePercent)
}
