package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// stateMaxAge is how long an observed state counts; a target without a newer
	// one is treated as unreachable.
	stateMaxAge = 3 * time.Second
	// loadExpiry is how long loads of an unreachable target use the budget.
	loadExpiry = 30 * time.Second
)

func poolOf(snapshot *config.Snapshot, move *pb.Move) string {
	return snapshot.Route(move.GetRoute()).GetPool()
}

// keepNew reports whether another route or move of the pool needs the new version
// of a move.
func keepNew(snapshot *config.Snapshot, rows map[string]*moveRow, move *pb.Move) bool {
	pool := poolOf(snapshot, move)
	for _, route := range snapshot.Config().GetRoutes() {
		if route.GetPool() != pool || route.GetName() == move.GetRoute() {
			continue
		}
		other := snapshot.MoveOf(route.GetName())
		if other == nil {
			if route.GetVersion() == move.GetTo() {
				return true
			}
			continue
		}
		phase := rows[other.GetName()].phase()
		back := phase == pb.MovePhase_MOVE_PHASE_TAKING_BACK || phase == pb.MovePhase_MOVE_PHASE_TAKEN_BACK
		if other.GetFrom() == move.GetTo() || other.GetTo() == move.GetTo() && !back {
			return true
		}
	}
	return false
}

// desire is a target with what the moves of its pool want of it.
type desire struct {
	target *pb.Target
	wanted *moves.DesiredVersions
}

// plan returns the targets of all pools with moves. Leaving targets get no orders.
func plan(snapshot *config.Snapshot, rows map[string]*moveRow) map[string]desire {
	pools := map[string]*moves.DesiredVersions{}
	for _, move := range snapshot.Config().GetMoves() {
		row := rows[move.GetName()]
		if row == nil {
			continue
		}
		pool := poolOf(snapshot, move)
		if pools[pool] == nil {
			pools[pool] = &moves.DesiredVersions{}
		}
		pools[pool].AddMove(move, row.GetPhase(), keepNew(snapshot, rows, move))
	}
	out := map[string]desire{}
	for pool, wanted := range pools {
		for _, target := range snapshot.TargetsOf(pool) {
			if !target.GetLeaving() {
				out[target.GetName()] = desire{target, wanted}
			}
		}
	}
	return out
}

type observed struct {
	state moves.TargetState
	at    time.Time
}

// targets observes targets and brings them to the desired versions. Each target
// has its own goroutine during a call, so a frozen one delays no other.
type targets struct {
	settings Settings
	running  sync.WaitGroup

	mu       sync.Mutex
	term     int64
	plan     map[string]desire
	busy     map[string]bool
	observed map[string]observed
	// fenced are the checking targets that have taken an order of this term. The
	// first order is sent even without a change, so that the target refuses a late
	// order of the former holder.
	fenced map[string]bool
	stale  int64
	budget *budget
}

func newTargets(settings Settings) *targets {
	return &targets{
		settings: settings,
		busy:     map[string]bool{},
		observed: map[string]observed{},
		fenced:   map[string]bool{},
		budget:   newBudget(settings.LoadInterval, settings.ParallelLoads),
	}
}

func (t *targets) wait() { t.running.Wait() }

// forget drops what an earlier term has observed.
func (t *targets) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.observed)
	clear(t.fenced)
}

// refused reports whether a target has refused the fencing token as too low.
func (t *targets) refused(fence int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stale >= fence
}

// states returns the fresh states of the targets that are not leaving.
func (t *targets) states(now time.Time, all []*pb.Target) []moves.TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []moves.TargetState
	for _, target := range all {
		o, found := t.observed[target.GetName()]
		if found && !target.GetLeaving() && now.Sub(o.at) <= stateMaxAge {
			out = append(out, o.state)
		}
	}
	return out
}

// reconcile starts a round on each target of the plan that has none in progress.
// Before ordersAfter, targets are only observed.
func (t *targets) reconcile(ctx context.Context, term int64, ordersAfter time.Time, plan map[string]desire) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term, t.plan = term, plan
	for name, d := range plan {
		if t.busy[name] {
			continue
		}
		t.busy[name] = true
		t.running.Go(func() {
			defer t.idle(name)
			t.round(ctx, term, ordersAfter, d.target)
		})
	}
}

func (t *targets) idle(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, name)
}

func (t *targets) round(ctx context.Context, term int64, ordersAfter time.Time, target *pb.Target) {
	state, err := t.state(ctx, target)
	if err != nil {
		t.settings.Log.Debug("target state unknown", zap.String(field.Target, target.GetName()), zap.Error(err))
		return
	}
	now := time.Now()
	t.observe(now, term, state)
	if !now.After(ordersAfter) {
		return
	}
	versions, changed := t.next(now, term, state)
	if !changed {
		return
	}
	if err := t.order(ctx, term, target, versions); err != nil {
		t.settings.Log.Warn("order failed", zap.String(field.Target, target.GetName()), zap.Error(err))
	}
}

func (t *targets) state(ctx context.Context, target *pb.Target) (moves.TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.StateTimeout)
	defer cancel()
	state, err := t.settings.Engines.State(ctx, target)
	state.Name = target.GetName()
	return state, err
}

func (t *targets) observe(now time.Time, term int64, state moves.TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term == term {
		t.observed[state.Name] = observed{state, now}
		t.budget.observe(now, state.Name, len(state.Loading))
	}
}

// next returns the versions to order by the newest plan. Loads beyond the budget
// are left out and wait for a later round, so they delay neither unloading nor the
// loads of other moves that are taken back.
func (t *targets) next(now time.Time, term int64, state moves.TargetState) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, planned := t.plan[state.Name]
	if t.term != term || !planned {
		return nil, false
	}
	versions, loads := d.wanted.Desired(state)
	for _, version := range loads {
		if !t.budget.grant(now, state.Name, d.wanted.Urgent(version)) {
			versions = slices.DeleteFunc(versions, func(v string) bool { return v == version })
		}
	}
	first := d.target.GetChecksFencing() && !t.fenced[state.Name]
	return versions, first || !sameVersions(versions, state)
}

func sameVersions(versions []string, state moves.TargetState) bool {
	present := append(slices.Clone(state.Versions), state.Loading...)
	slices.Sort(present)
	present = slices.Compact(present)
	wanted := slices.Sorted(slices.Values(versions))
	return slices.Equal(slices.Compact(wanted), present)
}

// order checks the lease for longer than the order can take. The timeout begins
// before the check, so a pause after it leaves less time for the order.
func (t *targets) order(ctx context.Context, term int64, target *pb.Target, versions []string) error {
	ctx, cancel := context.WithTimeout(ctx, t.settings.OrderTimeout)
	defer cancel()
	lease := t.settings.Lease
	valid := lease.Valid(time.Now(), t.settings.OrderTimeout+t.settings.LeaseMargin)
	if !valid || lease.Fence() != term {
		return nil
	}
	err := t.settings.Engines.Order(ctx, target, term, versions)
	t.ordered(term, target, err)
	return err
}

func (t *targets) ordered(term int64, target *pb.Target, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, ErrStaleFence) {
		t.stale = max(t.stale, term)
	}
	if err == nil && t.term == term {
		t.fenced[target.GetName()] = true
	}
}

// budget paces loads over all targets: a token for each load and a bound on the
// loads in progress.
type budget struct {
	limiter  *rate.Limiter
	parallel int
	loading  map[string]loads
	// urgentUntil reserves the budget for taking back after such a load had to wait.
	urgentUntil time.Time
}

type loads struct {
	count int
	at    time.Time
}

func newBudget(interval time.Duration, parallel int) *budget {
	return &budget{
		limiter:  rate.NewLimiter(rate.Every(interval), parallel),
		parallel: parallel,
		loading:  map[string]loads{},
	}
}

// observe sets the loads in progress on a target.
func (b *budget) observe(now time.Time, target string, count int) {
	b.loading[target] = loads{count, now}
}

// grant takes a load of a target from the budget if there is room. Loads for taking
// back obey the rate only, because loads that hang may occupy all parallel ones.
func (b *budget) grant(now time.Time, target string, urgent bool) bool {
	if !urgent && now.Before(b.urgentUntil) {
		return false
	}
	total := 0
	for _, l := range b.loading {
		if now.Sub(l.at) < loadExpiry {
			total += l.count
		}
	}
	full := total >= b.parallel && !urgent
	if full || !b.limiter.AllowN(now, 1) {
		if urgent {
			b.urgentUntil = now.Add(stateMaxAge)
		}
		return false
	}
	b.loading[target] = loads{b.loading[target].count + 1, now}
	return true
}
