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
	pending     = pb.MovePhase_MOVE_PHASE_PENDING
	loading     = pb.MovePhase_MOVE_PHASE_LOADING
	canary      = pb.MovePhase_MOVE_PHASE_CANARY
	stepping    = pb.MovePhase_MOVE_PHASE_STEPPING
	done        = pb.MovePhase_MOVE_PHASE_DONE
	rollingBack = pb.MovePhase_MOVE_PHASE_TAKING_BACK
	rolledBack  = pb.MovePhase_MOVE_PHASE_TAKEN_BACK
	loadTime    = 5 * time.Second
	loadLimit   = 2
)

// faultyTable injects faults into the calls of controllers and operators. Tests
// read rows from the inner Table without faults. failGet makes every Get fail.
type faultyTable struct {
	storage.Table
	faults  *fault.Injector
	failGet atomic.Bool
}

func (f *faultyTable) Get(ctx context.Context, key storage.Key) (storage.Row, error) {
	if f.failGet.Load() || f.faults.Before(ctx, false) != nil {
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
	if err == nil && f.faults.LoseResponse(true) {
		return storage.Row{}, storage.ErrUnknown
	}
	return row, err
}

// fakeLease always has the same remaining time; 0 means lost.
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

// fakeEngines simulates the targets. blockOrders, if set, delays the orders of
// fence 1 after the lease check, regardless of their context.
type fakeEngines struct {
	mu          sync.Mutex
	engines     map[string]*fakeEngine
	blockOrders chan struct{}
	blocked     int
	// stuckVersion is a version whose loads never complete.
	stuckVersion string
	orders       int
	refused      int
	loading      int
	maxLoading   int
}

func (f *fakeEngines) State(_ context.Context, target *pb.Target) (moves.TargetState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.engines[target.Name].state
	return moves.TargetState{Versions: slices.Clone(s.Versions), Loading: slices.Clone(s.Loading)}, nil
}

func (f *fakeEngines) waitIfBlocked(fence int64) {
	f.mu.Lock()
	blockOrders := f.blockOrders
	if fence != 1 || blockOrders == nil {
		f.mu.Unlock()
		return
	}
	f.blocked++
	f.mu.Unlock()
	<-blockOrders
}

func (f *fakeEngines) Order(_ context.Context, target *pb.Target, fence int64, versions []string) error {
	f.waitIfBlocked(fence)
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
			f.maxLoading = max(f.maxLoading, f.loading)
			time.AfterFunc(loadTime, func() { f.loaded(e, v) })
		}
	}
	return nil
}

func (f *fakeEngines) loaded(e *fakeEngine, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == f.stuckVersion {
		return
	}
	f.loading--
	if i := slices.Index(e.state.Loading, version); i >= 0 {
		e.state.Loading = slices.Delete(e.state.Loading, i, i+1)
		e.state.Versions = append(e.state.Versions, version)
	}
}

// deployment simulates two routes on one pool of four targets. Each route has a
// move and 60 requests a second.
type deployment struct {
	t             *testing.T
	ctx           context.Context
	table         *faultyTable
	tracker       *moves.Tracker
	engines       *fakeEngines
	snapshot      *config.Snapshot
	parallelLoads int
	// requestFails reports whether a request to a new version fails.
	requestFails func(route string, request int) bool
	running      sync.WaitGroup
}

// inDeployment runs a test on a deployment in virtual time.
func inDeployment(t *testing.T, test func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		faults := fault.Settings{Unlimited: true}
		d := &deployment{t: t, table: &faultyTable{Table: memtable.New(faults), faults: fault.New(faults)}}
		d.requestFails = func(string, int) bool { return false }
		d.parallelLoads = loadLimit
		d.engines = &fakeEngines{engines: map[string]*fakeEngine{}}
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
			d.engines.engines[target.Name] = &fakeEngine{state: moves.TargetState{Versions: []string{"v1"}}}
		}
		d.snapshot = config.NewSnapshot(1, "hash", cfg)
		d.tracker = moves.NewTracker(moves.TrackerSettings{Instance: "i", Now: time.Now})
		d.tracker.SetMoves(1, cfg.Moves)
		ctx, cancel := context.WithCancel(t.Context())
		d.ctx = ctx
		defer d.running.Wait()
		defer cancel()
		d.running.Go(d.traffic)
		test(d)
	})
}

// start runs a controller until the test ends.
func (d *deployment) start(fence int64) *fakeLease {
	lease := &fakeLease{fence: fence}
	lease.remaining.Store(int64(time.Hour))
	c, err := New(Settings{
		Table: d.table, Lease: lease, View: d.tracker, Engines: d.engines, Publish: d.publish,
		Snapshot: func() *config.Snapshot { return d.snapshot }, Log: zap.NewNop(), ParallelLoads: d.parallelLoads,
	})
	require.NoError(d.t, err)
	d.running.Go(func() { c.Run(d.ctx) })
	return lease
}

// publish checks that published progress matches the stored row.
func (d *deployment) publish(p *pb.MoveProgress) {
	row := d.row(p.Move)
	require.GreaterOrEqual(d.t, row.version, p.RowVersion)
	if row.version == p.RowVersion {
		require.Equal(d.t, row.GetSharePercent(), p.SharePercent)
	}
	d.tracker.SetProgress(p)
}

// row reads a row without injected faults.
func (d *deployment) row(move string) *moveRow {
	row, err := readRow(context.Background(), d.table.Table, move)
	require.NoError(d.t, err)
	return row
}

func (d *deployment) traffic() {
	for n := 0; d.ctx.Err() == nil; n++ {
		time.Sleep(time.Second / 60)
		for _, route := range d.snapshot.Config().GetRoutes() {
			version := d.tracker.Choose(route, fmt.Sprint(route.GetName(), n))
			failed := version != "v1" && d.requestFails(route.GetName(), n)
			d.tracker.Observe(moves.Sample{Route: route.GetName(), Version: version, Failed: failed, FirstToken: time.Second})
		}
	}
}

// waitForPhase waits until a move is in the phase.
func (d *deployment) waitForPhase(move string, phase pb.MovePhase) *moveRow {
	d.t.Helper()
	for range 30 * 60 * 10 {
		if row := d.row(move); row.phase() == phase {
			return row
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(d.t, "phase not reached", "%s: %s", phase, d.row(move))
	return nil
}

// requireVersions requires that all targets have exactly these versions after 20 s.
func (d *deployment) requireVersions(want ...string) {
	d.t.Helper()
	time.Sleep(20 * time.Second)
	d.engines.mu.Lock()
	defer d.engines.mu.Unlock()
	for name, e := range d.engines.engines {
		require.ElementsMatch(d.t, want, append(slices.Clone(e.state.Versions), e.state.Loading...), name)
	}
}

// settle advances time by d and waits until all goroutines are blocked.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
