package instance

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/rollout"
	"github.com/basilloom/basilloom/storage"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// decidePeriod is the interval between checks of the orders in progress.
	decidePeriod = 125 * time.Millisecond
	// statusPeriod is the interval between reads of the status by the owner of an order in
	// progress.
	statusPeriod = 250 * time.Millisecond
	// statusTimeout is how long the other instances rely on the owner's last report of the
	// status before they read it themselves. All instances must know a phase within
	// rollout.PropagationTime.
	statusTimeout = time.Second
	// waitLogPeriod is the interval between log lines on what an order waits for.
	waitLogPeriod = time.Second
)

// applyOrders passes the operator's version orders to the tracker.
func (i *Instance) applyOrders(snapshot *mirror.Snapshot) {
	var orders []rollout.Order
	for key, row := range snapshot.Rows {
		if !platform.IsOrder(key) {
			continue
		}
		order, err := platform.DecodeOrder(row.Value, row.Version)
		if err != nil {
			i.log.Error("version order not decoded", zap.String(field.Key, key), zap.Int64(field.Row, row.Version), zap.Error(err))
			continue
		}
		orders = append(orders, order)
	}
	i.tracker.SetOrders(orders)
	i.orderStatus.keep(orders)
}

// runRollouts tracks the version orders in progress and decides on those that this
// instance owns.
func (i *Instance) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(decidePeriod)
	defer ticker.Stop()
	var lastRead time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			active := i.tracker.Active()
			for _, order := range active {
				if reason, stopped := i.tracker.StopIfRegressed(order); stopped {
					i.log.Warn("version order stopped by this instance", zap.String(field.Service, order.Service),
						zap.String(field.Version, order.To), zap.Int64(field.Order, order.ID), zap.String(field.Reason, reason))
				}
			}
			if len(active) == 0 || now.Sub(lastRead) < statusPeriod {
				continue
			}
			lastRead = now
			for _, order := range active {
				if i.ownsOrder(order, now) || i.orderStatus.expired(order.ID, now) {
					i.followOrder(ctx, order, now)
				}
			}
		}
	}
}

// followOrder reads the status of an order and, if this instance owns the order,
// decides its next phase. The other instances hear of the phase in the owner's reports.
func (i *Instance) followOrder(ctx context.Context, order rollout.Order, now time.Time) {
	key := storage.Key{Sort: platform.StatusKey(order.Service)}
	row, err := i.status.Get(ctx, key)
	i.orderStatus.asked(order.ID, now, err != nil && !errors.Is(err, storage.ErrNotFound))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		i.log.Info("version order status not read", zap.String(field.Service, order.Service), zap.Error(err))
		return
	}
	status := platform.Status{Order: order}
	if err == nil {
		if status, err = platform.DecodeStatus(row.Value); err != nil {
			i.log.Warn("version order status not decoded", zap.String(field.Service, order.Service), zap.Error(err))
		}
	}
	if status.Order.ID > order.ID {
		// This instance has not seen the newer order yet.
		i.log.Info("version order replaced by a newer one", zap.String(field.Service, order.Service), zap.Int64(field.Order, order.ID))
		return
	}
	if status.Order.ID == order.ID && status.Phase != "" {
		i.tracker.SetPhase(order.Service, order.ID, status.Phase)
		i.orderStatus.read(order.ID, now)
	}
	if i.ownsOrder(order, now) {
		i.decideOrder(ctx, order, status, key, row.Version)
	}
}

// ownsOrder reports whether this instance decides on an order. Instances that reach the
// store are preferred.
func (i *Instance) ownsOrder(order rollout.Order, now time.Time) bool {
	self := i.settings.Load().Instance
	reachesStore := func(r *pb.FleetReport) bool {
		if r.GetInstance() == self {
			return !i.orderStatus.isUnavailable()
		}
		return !r.GetStatusUnavailable()
	}
	owner, _ := i.fleet.Owner(platform.StatusKey(order.Service), reachesStore, now)
	return owner == self
}

// phasesForReport returns the phases of the orders that this instance owns and whose status
// it has just read. The final phase of an order does not change any more.
func (i *Instance) phasesForReport(now time.Time) []*pb.OrderPhase {
	var phases []*pb.OrderPhase
	for order, phase := range i.tracker.Orders() {
		if i.orderStatus.isRead(order.ID, now, phase.Ended()) && i.ownsOrder(order, now) {
			phases = append(phases, &pb.OrderPhase{Order: order.ID, Phase: string(phase)})
		}
	}
	return phases
}

// applyPhases applies the phases that the owners of orders report.
func (i *Instance) applyPhases(phases []*pb.OrderPhase, now time.Time) {
	for _, p := range phases {
		for _, order := range i.tracker.Active() {
			if order.ID == p.GetOrder() {
				i.tracker.SetPhase(order.Service, order.ID, rollout.Phase(p.GetPhase()))
				i.orderStatus.heard(order.ID, now)
			}
		}
	}
}

// decideOrder writes the next phase of an order unless another instance has written one.
func (i *Instance) decideOrder(ctx context.Context, order rollout.Order, status platform.Status, key storage.Key, version int64) {
	clock := i.store.Now()
	next, reason := rollout.Canary, "order seen"
	if status.Order.ID == order.ID && status.Phase != "" {
		_, ready := i.tracker.State(order)
		next, reason = rollout.Next(rollout.Input{
			Order: order, Phase: status.Phase, Elapsed: clock - status.StartedAt, InPhase: clock - status.PhaseStartedAt,
			Observed: i.tracker.Observe(order), Ready: ready,
		})
		if next == status.Phase {
			i.logOrderWait(order, reason)
			return
		}
	} else {
		status.StartedAt = clock - i.tracker.Age(order)
	}
	value, err := platform.EncodeStatus(platform.Status{Order: order, Phase: next, StartedAt: status.StartedAt, PhaseStartedAt: clock})
	if err != nil {
		i.log.Error("version order status not encoded", zap.Error(err))
		return
	}
	_, err = i.status.Put(ctx, key, value, version)
	i.log.Info("version order phase decided", zap.String(field.Service, order.Service), zap.String(field.Version, order.To),
		zap.Int64(field.Order, order.ID), zap.String(field.Phase, string(next)), zap.String(field.Reason, reason), zap.Error(err))
	if err == nil {
		i.tracker.SetPhase(order.Service, order.ID, next)
	}
}

// logOrderWait logs what the next phase of an order waits for, at most once in
// waitLogPeriod.
func (i *Instance) logOrderWait(order rollout.Order, reason string) {
	now := time.Now()
	if reason == "" || now.Sub(i.orderWaitLogged) < waitLogPeriod {
		return
	}
	i.orderWaitLogged = now
	i.log.Info("version order waits", zap.String(field.Service, order.Service), zap.String(field.Version, order.To),
		zap.Int64(field.Order, order.ID), zap.String(field.Reason, reason))
}
