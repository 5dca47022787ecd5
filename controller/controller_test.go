package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/storage"
)

const (
	pending    = pb.MovePhase_MOVE_PHASE_PENDING
	loading    = pb.MovePhase_MOVE_PHASE_LOADING
	canary     = pb.MovePhase_MOVE_PHASE_CANARY
	stepping   = pb.MovePhase_MOVE_PHASE_STEPPING
	done       = pb.MovePhase_MOVE_PHASE_DONE
	takingBack = pb.MovePhase_MOVE_PHASE_TAKING_BACK
	takenBack  = pb.MovePhase_MOVE_PHASE_TAKEN_BACK
	loadTime   = 5 * time.Second
	loadLimit  = 2
)

// faultyTable injects faults into the controllers' and operators' calls only, so
// that tests can read the rows. Blind makes reading a row back fail.
type faultyTable struct {
	storage.Table
	faults *fault.Injector
	blind  atomic.Bool
}

func (f *faultyTable) Get(ctx context.Context, key storage.Key) (storage.Row, error) {
	if f.blind.Load() || f.faults.Before(ctx, false) != nil {
		return storage.Row{}, storage.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) List(ctx context.Context, partition string) ([]storage.Row, error) {
	if f.faults.Before(ctx, false) != nil {
		return nil, storage.ErrUnavailable
	}
	return f.Table.List(ctx, partition)
}

func (f *faultyTable) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	if f.faults.Before(ctx, true) != nil {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, err := f.Table.Put(ctx, key, value, expect)
	if err == nil && f.faults.LoseAnswer(true) {
		return storage.Row{}, storage.ErrUnknown
	}
	return row, err
}

// fakeLease is always held for the remaining time; 0 means lost.
type fakeLease struct {
	fence     int64
	remaining atomic.Int64
}

func (l *fakeLease) Fence() int64 { return l.fence }
func (l *fakeLease) Valid(_ time.Time, margin time.Duration) bool {
	return l.remaining.Load() > int64(margin)
}

type fakeEngine struct {
	state moves.TargetState
	fence int64
}

// fakeEngines holds the targets. hold, if set, delays the orders of fence 1 after
// the lease check and whatever their context says.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	hold    chan struct{}
	held    int
	// stuck is a version whose loads never end.
	stuck   string
	orders  int
	refused int
	loading int
	most    int
}

func (f *fakeEngines) State(_ context.Context, target *pb.Target) (moves.TargetState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.engines[target.Name].state
	return moves.TargetState{Versions: slices.Clone(s.Versions), Loading: slices.Clone(s.Loading)}, nil
}

func (f *fakeEngines) wait(fence int64) {
	f.mu.Lock()
	hold := f.hold
	if fence != 1 || hold == nil {
		f.mu.Unlock()
		return
	}
	f.held++
	f.mu.Unlock()
	<-hold
}

func (f *fakeEngines) Order(_ context.Context, target *pb.Target, fence int64, versions []string) error {
	f.wait(fence)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	e := f.engines[target.Name]
	if target.ChecksFencing && fence < e.fence {
		f.refused++
		return ErrStaleFence
	}
	e.fence = fence
	unwanted := func(v string) bool { return !slices.Contains(versions, v) }
	e.state.Versions = slices.DeleteFunc(e.state.Versions, unwanted)
	e.state.Loading = slices.DeleteFunc(e.state.Loading, unwanted)
	for _, v := range versions {
		if !slices.Contains(e.state.Versions, v) && !slices.Contains(e.state.Loading, v) {
			e.state.Loading = append(e.state.Loading, v)
			f.loading++
			f.most = max(f.most, f.loading)
			time.AfterFunc(loadTime, func() { f.loaded(e, v) })
		}
	}
	return nil
}

func (f *fakeEngines) loaded(e *fakeEngine, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == f.stuck {
		return
	}
	f.loading--
	if i := slices.Index(e.state.Loading, version); i >= 0 {
		e.state.Loading = slices.Delete(e.state.Loading, i, i+1)
		e.state.Versions = append(e.state.Versions, version)
	}
}

// world is a deployment with two routes on one pool of four targets, each with a
// move, and traffic of 60 requests a second on each route.
type world struct {
	t             *testing.T
	ctx           context.Context
	table         *faultyTable
	tracker       *moves.Tracker
	engines       *fakeEngines
	snapshot      *config.Snapshot
	parallelLoads int
	// fails tells whether a request of a new version fails.
	fails   func(route string, request int) bool
	running sync.WaitGroup
}

// inWorld runs a test in a bubble of virtual time.
func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		faults := fault.Settings{Unlimited: true}
		w := &world{t: t, table: &faultyTable{Table: memtable.New(faults), faults: fault.New(faults)}}
		w.fails = func(string, int) bool { return false }
		w.parallelLoads = loadLimit
		w.engines = &fakeEngines{engines: map[string]*fakeEngine{}}
		cfg := &pb.Config{}
		for i, name := range []string{"a", "b"} {
			cfg.Routes = append(cfg.Routes, &pb.Route{Name: name, Pool: "p", Version: "v1"})
			cfg.Moves = append(cfg.Moves, &pb.Move{
				Name: name, Route: name, From: "v1", To: fmt.Sprintf("v%d", i+2),
				Deadline: timestamppb.New(time.Now().Add(10 * time.Minute)),
				Steps:    []float64{5, 50, 100}, StepTime: durationpb.New(20 * time.Second),
				MinRequests: 20, MaxFailureRatioIncrease: 0.02, MaxSlowdown: 1.5,
			})
		}
		for i := range 4 {
			target := &pb.Target{Name: fmt.Sprint("t", i), Pool: "p", ChecksFencing: i%2 == 0}
			cfg.Targets = append(cfg.Targets, target)
			w.engines.engines[target.Name] = &fakeEngine{state: moves.TargetState{Versions: []string{"v1"}}}
		}
		w.snapshot = config.NewSnapshot(1, "hash", cfg)
		w.tracker = moves.NewTracker(moves.TrackerSettings{Instance: "i", Now: time.Now})
		w.tracker.SetMoves(1, cfg.Moves)
		ctx, cancel := context.WithCancel(t.Context())
		w.ctx = ctx
		defer w.running.Wait()
		defer cancel()
		w.running.Go(w.traffic)
		test(w)
	})
}

// start runs a controller until the test ends.
func (w *world) start(fence int64) *fakeLease {
	lease := &fakeLease{fence: fence}
	lease.remaining.Store(int64(time.Hour))
	c, err := New(Settings{
		Table: w.table, Lease: lease, View: w.tracker, Engines: w.engines, Publish: w.publish,
		Snapshot: func() *config.Snapshot { return w.snapshot }, Log: zap.NewNop(), ParallelLoads: w.parallelLoads,
	})
	require.NoError(w.t, err)
	w.running.Go(func() { c.Run(w.ctx) })
	return lease
}

// publish checks that the table has the row that is published.
func (w *world) publish(p *pb.MoveProgress) {
	row := w.row(p.Move)
	require.GreaterOrEqual(w.t, row.version, p.RowVersion)
	if row.version == p.RowVersion {
		require.Equal(w.t, row.GetSharePercent(), p.SharePercent)
	}
	w.tracker.SetProgress(p)
}

// row reads past injected faults.
func (w *world) row(move string) *moveRow {
	row, err := readRow(context.Background(), w.table.Table, move)
	require.NoError(w.t, err)
	return row
}

func (w *world) traffic() {
	for n := 0; w.ctx.Err() == nil; n++ {
		time.Sleep(time.Second / 60)
		for _, route := range w.snapshot.Config().GetRoutes() {
			version := w.tracker.Choose(route, fmt.Sprint(route.GetName(), n))
			failed := version != "v1" && w.fails(route.GetName(), n)
			w.tracker.Observe(moves.Sample{Route: route.GetName(), Version: version, Failed: failed, FirstToken: time.Second})
		}
	}
}

// until waits for a phase of a move.
func (w *world) until(move string, phase pb.MovePhase) *moveRow {
	w.t.Helper()
	for range 30 * 60 * 10 {
		if row := w.row(move); row.phase() == phase {
			return row
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(w.t, "phase not reached", "%s: %s", phase, w.row(move))
	return nil
}

// versions requires that all targets settle on the versions.
func (w *world) versions(want ...string) {
	w.t.Helper()
	time.Sleep(20 * time.Second)
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for name, e := range w.engines.engines {
		require.ElementsMatch(w.t, want, append(slices.Clone(e.state.Versions), e.state.Loading...), name)
	}
}

// settle lets time pass and then all goroutines come to rest.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
