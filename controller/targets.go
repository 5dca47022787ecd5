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
	// stateMaxAge is the maximum age of an observed state. A target whose state is
	// older is treated as unreachable.
	stateMaxAge = 3 * time.Second
	// loadExpiry is how long loads of an unreachable target count against the budget.
	loadExpiry = 30 * time.Second
)

func poolOf(snapshot *config.Snapshot, move *pb.Move) string {
	return snapshot.Route(move.GetRoute()).GetPool()
}

// keepNew reports whether another route or move of the pool needs the move's new
// version.
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
		rollingBack := phase == pb.MovePhase_MOVE_PHASE_TAKING_BACK || phase == pb.MovePhase_MOVE_PHASE_TAKEN_BACK
		if other.GetFrom() == move.GetTo() || other.GetTo() == move.GetTo() && !rollingBack {
			return true
		}
	}
	return false
}

// plannedTarget is a target with the versions that the moves of its pool require.
type plannedTarget struct {
	target  *pb.Target
	desired *moves.DesiredVersions
}

// plan returns the targets of all pools with moves, except leaving ones, which get
// no orders.
func plan(snapshot *config.Snapshot, rows map[string]*moveRow) map[string]plannedTarget {
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
	out := map[string]plannedTarget{}
	for pool, wanted := range pools {
		for _, target := range snapshot.TargetsOf(pool) {
			if !target.GetLeaving() {
				out[target.GetName()] = plannedTarget{target, wanted}
			}
		}
	}
	return out
}

type observation struct {
	state moves.TargetState
	at    time.Time
}

// targets observes targets and reconciles them with the desired versions. Each
// call runs in a goroutine of its own, so an unresponsive target delays no other.
type targets struct {
	settings Settings
	running  sync.WaitGroup

	mu       sync.Mutex
	term     int64
	plan     map[string]plannedTarget
	busy     map[string]bool
	observed map[string]observation
	// fenceSeen is set for targets that have accepted an order of this term. The
	// first order to a target that checks fencing tokens is sent even without a
	// change; from then on the target refuses late orders of the former holder.
	fenceSeen map[string]bool
	// staleFence is the highest own fencing token that a target has refused.
	staleFence int64
	budget     *budget
}

func newTargets(settings Settings) *targets {
	return &targets{
		settings:  settings,
		busy:      map[string]bool{},
		observed:  map[string]observation{},
		fenceSeen: map[string]bool{},
		budget:    newBudget(settings.LoadInterval, settings.ParallelLoads),
	}
}

func (t *targets) wait() { t.running.Wait() }

// reset discards the observations of an earlier term.
func (t *targets) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.observed)
	clear(t.fenceSeen)
}

// refusedFence reports whether a target has refused the fencing token as too low.
func (t *targets) refusedFence(fence int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.staleFence >= fence
}

// states returns the current states of the targets that are not leaving.
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

// reconcile starts reconcileTarget for each target of the plan that has none in
// progress. Until ordersAfter, targets are only observed.
func (t *targets) reconcile(ctx context.Context, term int64, ordersAfter time.Time, plan map[string]plannedTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term, t.plan = term, plan
	for name, p := range plan {
		if t.busy[name] {
			continue
		}
		t.busy[name] = true
		t.running.Go(func() {
			defer t.markIdle(name)
			t.reconcileTarget(ctx, term, ordersAfter, p.target)
		})
	}
}

func (t *targets) markIdle(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, name)
}

func (t *targets) reconcileTarget(ctx context.Context, term int64, ordersAfter time.Time, target *pb.Target) {
	state, err := t.state(ctx, target)
	if err != nil {
		t.settings.Log.Debug("target state could not be read", zap.String(field.Target, target.GetName()), zap.Error(err))
		return
	}
	now := time.Now()
	t.observe(now, term, state)
	if !now.After(ordersAfter) {
		return
	}
	versions, changed := t.nextOrder(now, term, state)
	if !changed {
		return
	}
	if err := t.order(ctx, term, target, versions); err != nil {
		t.settings.Log.Warn("order to target failed", zap.String(field.Target, target.GetName()), zap.Error(err))
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
		t.observed[state.Name] = observation{state, now}
		t.budget.observe(now, state.Name, len(state.Loading))
	}
}

// nextOrder returns the versions to order by the latest plan and whether an order is
// needed. Loads beyond the budget are deferred to a later round, so they delay
// neither unloading nor the loads of other moves that are rolled back.
func (t *targets) nextOrder(now time.Time, term int64, state moves.TargetState) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, planned := t.plan[state.Name]
	if t.term != term || !planned {
		return nil, false
	}
	versions, loads := p.desired.Desired(state)
	for _, version := range loads {
		if !t.budget.reserve(now, state.Name, p.desired.Urgent(version)) {
			versions = slices.DeleteFunc(versions, func(v string) bool { return v == version })
		}
	}
	first := p.target.GetChecksFencing() && !t.fenceSeen[state.Name]
	return versions, first || !sameVersions(versions, state)
}

func sameVersions(versions []string, state moves.TargetState) bool {
	present := append(slices.Clone(state.Versions), state.Loading...)
	slices.Sort(present)
	present = slices.Compact(present)
	wanted := slices.Sorted(slices.Values(versions))
	return slices.Equal(slices.Compact(wanted), present)
}

// order sends the order if the lease outlasts the order's timeout by LeaseMargin.
// The timeout starts before that check, so a pause after the check shortens the
// time for the order.
func (t *targets) order(ctx context.Context, term int64, target *pb.Target, versions []string) error {
	ctx, cancel := context.WithTimeout(ctx, t.settings.OrderTimeout)
	defer cancel()
	lease := t.settings.Lease
	valid := lease.Valid(time.Now(), t.settings.OrderTimeout+t.settings.LeaseMargin)
	if !valid || lease.Fence() != term {
		return nil
	}
	err := t.settings.Engines.Order(ctx, target, term, versions)
	t.recordOrder(term, target, err)
	return err
}

func (t *targets) recordOrder(term int64, target *pb.Target, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, ErrStaleFence) {
		t.staleFence = max(t.staleFence, term)
	}
	if err == nil && t.term == term {
		t.fenceSeen[target.GetName()] = true
	}
}

// budget limits the loads of all targets together, both their rate (one token for
// each load) and the number in progress.
type budget struct {
	limiter  *rate.Limiter
	parallel int
	loading  map[string]loadCount
	// urgentUntil ends the period in which the budget is reserved for rollbacks. The
	// period starts when a load for a rollback was deferred.
	urgentUntil time.Time
}

type loadCount struct {
	count int
	at    time.Time
}

func newBudget(interval time.Duration, parallel int) *budget {
	return &budget{
		limiter:  rate.NewLimiter(rate.Every(interval), parallel),
		parallel: parallel,
		loading:  map[string]loadCount{},
	}
}

// observe sets the loads in progress on a target.
func (b *budget) observe(now time.Time, target string, count int) {
	b.loading[target] = loadCount{count, now}
}

// reserve reports whether a target may start a load, and counts it. Loads for a
// rollback (urgent) are subject to the rate only, because loads that hang may use
// up the limit on loads in progress.
func (b *budget) reserve(now time.Time, target string, urgent bool) bool {
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
	b.loading[target] = loadCount{b.loading[target].count + 1, now}
	return true
}
