// Package controller drives version moves. Any instance may hold the role; it
// acts only while its lease is valid.
package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/storage"
	"github.com/basilloom/basilloom/telemetry/field"
)

// ErrStaleFence is returned by Engines.Order if the target has seen a higher
// fencing token.
var ErrStaleFence = errors.New("the target has seen a higher fencing token")

// Lease is the lease that grants the controller role.
type Lease interface {
	// Fence returns the fencing token of the latest lease held.
	Fence() int64
	// Valid reports whether the lease is held at now and for at least margin longer.
	Valid(now time.Time, margin time.Duration) bool
}

// View is this instance's local state of moves. *moves.Tracker implements it.
type View interface {
	Series(move, version string) moves.Series
	// Stop returns the reason if an entry has stopped the move.
	Stop(move string) (reason string, stopped bool)
}

// Engines makes management calls to targets.
type Engines interface {
	State(ctx context.Context, target *pb.Target) (moves.TargetState, error)
	// Order sets the versions that the target should have loaded. It is idempotent
	// and returns ErrStaleFence if the target refuses the fencing token.
	Order(ctx context.Context, target *pb.Target, fence int64, versions []string) error
}

// Settings holds the dependencies and limits of a Controller. Durations and limits
// that are 0 take the value of DefaultSettings.
type Settings struct {
	Table    storage.Table
	Lease    Lease
	Snapshot func() *config.Snapshot
	View     View
	Engines  Engines
	// Publish distributes the progress of a move after its row was written or read.
	Publish func(*pb.MoveProgress)
	Log     *zap.Logger
	// Meter may be nil.
	Meter metric.Meter

	Interval     time.Duration
	StoreTimeout time.Duration
	StateTimeout time.Duration
	// OrderTimeout bounds an order. A new holder waits this long before its first
	// order, because orders of the former holder may still be in progress.
	OrderTimeout time.Duration
	// LeaseMargin is the time beyond OrderTimeout for which the lease must be
	// valid before an order.
	LeaseMargin time.Duration
	// LoadInterval and ParallelLoads bound the loads of all targets together to
	// stay under the limit of the weight store.
	LoadInterval  time.Duration
	ParallelLoads int
}

// DefaultSettings returns the default durations and limits.
func DefaultSettings() Settings {
	return Settings{
		Interval:      500 * time.Millisecond,
		StoreTimeout:  2 * time.Second,
		StateTimeout:  time.Second,
		OrderTimeout:  2 * time.Second,
		LeaseMargin:   500 * time.Millisecond,
		LoadInterval:  time.Second,
		ParallelLoads: 3,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	setDefault(&s.Interval, d.Interval)
	setDefault(&s.StoreTimeout, d.StoreTimeout)
	setDefault(&s.StateTimeout, d.StateTimeout)
	setDefault(&s.OrderTimeout, d.OrderTimeout)
	setDefault(&s.LeaseMargin, d.LeaseMargin)
	setDefault(&s.LoadInterval, d.LoadInterval)
	setDefault(&s.ParallelLoads, d.ParallelLoads)
	if s.Meter == nil {
		s.Meter = noop.NewMeterProvider().Meter("controller")
	}
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Controller drives the version moves of the configuration in force.
type Controller struct {
	settings    Settings
	transitions metric.Int64Counter
	targets     *targets

	// term is the fencing token under which this instance holds the role, or 0.
	term        int64
	ordersAfter time.Time
	// superseded is the highest own fencing token that a newer holder has replaced.
	// The role cannot be acquired again until the lease has a higher token.
	superseded   int64
	storeFailing bool
}

// New returns a controller.
func New(settings Settings) (*Controller, error) {
	settings = settings.withDefaults()
	transitions, err := settings.Meter.Int64Counter("basilloom.move.transitions",
		metric.WithDescription("Transitions of version moves by phase."))
	if err != nil {
		return nil, fmt.Errorf("create metric: %w", err)
	}
	return &Controller{settings: settings, transitions: transitions, targets: newTargets(settings)}, nil
}

// Run drives moves until the context ends, then waits for calls in progress.
func (c *Controller) Run(ctx context.Context) {
	defer c.targets.wait()
	ticker := time.NewTicker(c.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *Controller) tick(ctx context.Context) {
	if !c.holdsRole() {
		return
	}
	rows, err := c.read(ctx)
	c.logStoreError(err)
	if err != nil || c.supersededBy(rows) {
		return
	}
	snapshot := c.settings.Snapshot()
	for _, move := range snapshot.Config().GetMoves() {
		if row := rows[move.GetName()]; row != nil {
			c.settings.Publish(row.progress())
		}
		c.drive(ctx, snapshot, rows, move)
	}
	c.targets.reconcile(ctx, c.term, c.ordersAfter, plan(snapshot, rows))
}

// holdsRole reports whether this instance has the role. It starts a term for each
// new fencing token.
func (c *Controller) holdsRole() bool {
	now := time.Now()
	fence := c.settings.Lease.Fence()
	if !c.settings.Lease.Valid(now, c.settings.LeaseMargin) || fence <= c.superseded {
		c.endTerm()
		return false
	}
	if fence != c.term {
		c.term = fence
		c.ordersAfter = now.Add(c.settings.OrderTimeout)
		c.targets.reset()
		c.settings.Log.Info("controller role acquired", zap.Int64(field.Fence, fence))
	}
	if c.targets.refusedFence(fence) {
		c.supersede("a target has seen a higher fencing token")
		return false
	}
	return true
}

func (c *Controller) endTerm() {
	if c.term != 0 {
		c.settings.Log.Info("controller role ended", zap.Int64(field.Fence, c.term))
	}
	c.term = 0
}

func (c *Controller) supersede(reason string) {
	c.settings.Log.Warn("controller role superseded", zap.Int64(field.Fence, c.term), zap.String(field.Reason, reason))
	c.superseded = c.term
	c.endTerm()
}

func (c *Controller) read(ctx context.Context) (map[string]*moveRow, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StoreTimeout)
	defer cancel()
	return readRows(ctx, c.settings.Table)
}

func (c *Controller) logStoreError(err error) {
	if err != nil && !c.storeFailing {
		c.settings.Log.Warn("move rows could not be read", zap.Error(err))
	}
	c.storeFailing = err != nil
}

func (c *Controller) supersededBy(rows map[string]*moveRow) bool {
	for _, row := range rows {
		if row.GetFence() > c.term {
			c.supersede("a row has a higher fencing token")
			return true
		}
	}
	return false
}

// drive decides on one move and writes its row. A row of an earlier holder is
// rewritten with the new fencing token, which makes that holder give up its role.
func (c *Controller) drive(ctx context.Context, snapshot *config.Snapshot, rows map[string]*moveRow, move *pb.Move) {
	row := rows[move.GetName()]
	next, reason := c.decide(snapshot, rows, move)
	if next == nil && row != nil && !moves.Terminal(row.GetPhase()) && row.GetFence() < c.term {
		next = proto.Clone(row.MoveRow).(*pb.MoveRow)
	}
	if next == nil || !c.settings.Lease.Valid(time.Now(), c.settings.LeaseMargin) {
		return
	}
	next.Fence = c.term
	ctx, cancel := context.WithTimeout(ctx, c.settings.StoreTimeout)
	defer cancel()
	written, err := writeRow(ctx, c.settings.Table, next, row.rowVersion())
	if err != nil {
		c.settings.Log.Warn("move row could not be written", zap.String(field.Move, move.GetName()), zap.Error(err))
		return
	}
	rows[move.GetName()] = written
	c.settings.Publish(written.progress())
	c.report(ctx, row, written, reason)
}

func (r *moveRow) phase() pb.MovePhase {
	if r == nil {
		return pb.MovePhase_MOVE_PHASE_UNSPECIFIED
	}
	return r.GetPhase()
}

func (r *moveRow) rowVersion() int64 {
	if r == nil {
		return 0
	}
	return r.version
}

func (c *Controller) decide(snapshot *config.Snapshot, rows map[string]*moveRow, move *pb.Move) (*pb.MoveRow, string) {
	in := moves.Input{
		Move:    move,
		From:    c.settings.View.Series(move.GetName(), move.GetFrom()),
		To:      c.settings.View.Series(move.GetName(), move.GetTo()),
		KeepNew: keepNew(snapshot, rows, move),
		Now:     time.Now(),
	}
	if row := rows[move.GetName()]; row != nil {
		in.Row = row.MoveRow
	}
	if reason, stopped := c.settings.View.Stop(move.GetName()); stopped {
		in.Stop = "stopped by an entry: " + reason
	}
	// After ordersAfter, each reachable target has been observed in this term.
	if in.Now.After(c.ordersAfter) {
		in.Targets = c.targets.states(in.Now, snapshot.TargetsOf(poolOf(snapshot, move)))
	}
	return moves.Decide(in)
}

// report logs and counts a transition from the old row to the new one.
func (c *Controller) report(ctx context.Context, old, row *moveRow, reason string) {
	before := &pb.MoveRow{}
	if old != nil {
		before = old.MoveRow
	}
	fields := []zap.Field{
		zap.String(field.Move, row.GetMove()),
		zap.Stringer(field.Phase, row.GetPhase()),
		zap.Float64(field.SharePercent, row.GetSharePercent()),
		zap.String(field.Reason, reason),
	}
	if row.GetLate() && !before.GetLate() {
		c.settings.Log.Warn("move deadline exceeded", fields...)
	}
	if row.GetPhase() == before.GetPhase() && row.GetStep() == before.GetStep() {
		return
	}
	c.settings.Log.Info("move phase or step changed", fields...)
	c.transitions.Add(ctx, 1, metric.WithAttributes(
		attribute.String("move", row.GetMove()),
		attribute.String("phase", row.GetPhase().String())))
}
