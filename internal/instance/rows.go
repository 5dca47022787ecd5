package instance

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/fleet"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/storage"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// minRowsWait is the shortest time between two checks of the instances' rows.
	minRowsWait = 50 * time.Millisecond
	// rowsRetry is the time after which changes that were due are checked again. The table
	// shows most of them by then.
	rowsRetry = 400 * time.Millisecond
	// dutyPause is how long an instance reports that the store refused its changes of rows.
	dutyPause = 2 * time.Second
	// rowsLogPeriod is the shortest time between two log lines about pending changes.
	rowsLogPeriod = 2 * time.Second
)

// applyRows passes the instances' rows to the fleet.
func (i *Instance) applyRows() {
	snapshot := i.instances.Current()
	rows := i.decodeRows(slices.Collect(maps.Values(snapshot.Rows)))
	i.fleet.SetRows(rows, snapshot.Version, time.Now())
	if !i.listed {
		i.listed = true
		i.log.Info("instances listed", zap.Int(field.Instances, len(rows)))
	}
}

// decodeRows returns the instances' rows without those that cannot be decoded.
func (i *Instance) decodeRows(rows []mirror.Row) []fleet.Row {
	decoded := make([]fleet.Row, 0, len(rows))
	for _, row := range rows {
		m := &pb.FleetMember{}
		if err := proto.Unmarshal(row.Value, m); err != nil {
			i.log.Warn("instance row not decoded", zap.String(field.Key, row.Key), zap.Error(err))
			continue
		}
		decoded = append(decoded, fleet.Row{Member: m, Version: row.Version})
	}
	return decoded
}

// maintainRows keeps this instance's row in good order and, if that is its duty, those of
// its peers. It checks them when the next change is due.
func (i *Instance) maintainRows(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	rows := i.store.Table(tableInstances)
	var logged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		storeNow, known := i.store.LatestNow()
		if !known {
			timer.Reset(rowsRetry)
			continue
		}
		i.restoreOwnRow(ctx, rows)
		check := i.fleet.CheckRows(now, storeNow)
		if check.Pending != (fleet.Pending{}) && now.Sub(logged) >= rowsLogPeriod {
			logged = now
			i.logPendingRows(check, now)
		}
		wait := check.Wait
		if len(check.Due) > 0 {
			wait = rowsRetry // until the changes are read back, also if another instance makes them
			if i.ownsDuty(tableInstances, now) {
				i.changeRows(ctx, check.Due)
			}
		}
		timer.Reset(max(wait, minRowsWait))
	}
}

// logPendingRows logs what the release of the parts of silent instances waits for.
func (i *Instance) logPendingRows(check fleet.RowsCheck, now time.Time) {
	owner := i.dutyOwner(tableInstances, now)
	i.log.Info("parts of silent instances not released yet", zap.Int(field.Unmarked, check.Pending.Unmarked), zap.Int(field.Marked, check.Pending.Marked),
		zap.Int(field.Due, len(check.Due)), zap.Duration(field.DueIn, check.Wait), zap.String(field.Owner, owner))
}

// changeRows changes the rows of peers until the store does not respond. A conflict means that
// another instance has changed a row: those that are as expected are changed without it.
func (i *Instance) changeRows(ctx context.Context, due []fleet.RowChange) {
	for changes := range slices.Chunk(due, platform.MaxUpdates) {
		current, err := i.changeTogether(ctx, changes)
		if errors.Is(err, storage.ErrConflict) {
			_, err = i.changeTogether(ctx, unchanged(changes, current))
		}
		if err != nil && !errors.Is(err, storage.ErrConflict) {
			failedAt := time.Now()
			i.rowsFailedAt.Store(&failedAt)
			i.log.Info("instance rows not updated", zap.Int(field.Rows, len(changes)), zap.Error(err))
			return
		}
	}
}

// unchanged returns the changes whose row is as expected among the current ones.
func unchanged(changes []fleet.RowChange, current []fleet.Row) []fleet.RowChange {
	return slices.DeleteFunc(slices.Clone(changes), func(c fleet.RowChange) bool {
		return !slices.ContainsFunc(current, func(r fleet.Row) bool {
			return r.Member.GetInstance() == c.Row.Member.GetInstance() && r.Version == c.Row.Version
		})
	})
}

// changeTogether changes rows in one transaction. With storage.ErrConflict it returns the
// current rows. What the store's response shows is passed to the fleet, which does not have to
// wait for the feed.
func (i *Instance) changeTogether(ctx context.Context, changes []fleet.RowChange) (current []fleet.Row, err error) {
	if len(changes) == 0 {
		return nil, nil
	}
	updates := make([]platform.Update, 0, len(changes))
	for _, change := range changes {
		update := platform.Update{Key: change.Row.Member.GetInstance(), Version: change.Row.Version}
		if change.Next != nil {
			if update.Value, err = proto.Marshal(change.Next); err != nil {
				return nil, err
			}
		}
		updates = append(updates, update)
	}
	version, rows, err := i.store.Update(ctx, tableInstances, updates)
	switch {
	case errors.Is(err, storage.ErrConflict):
		current = i.decodeRows(rows)
	case err != nil:
		return nil, err
	default:
		_, storeVersion := mirror.Era(version)
		for _, change := range changes {
			if change.Next != nil {
				current = append(current, fleet.Row{Member: change.Next, Version: storeVersion})
			}
			i.log.Info(change.Reason, zap.String(field.Peer, change.Row.Member.GetInstance()))
		}
	}
	i.fleet.SetWritten(current, version, time.Now())
	return current, err
}

// isRefused reports whether the store has not taken this instance's last changes of rows, so
// that another instance takes over its duties.
func (i *Instance) isRefused(now time.Time) bool {
	failedAt := i.rowsFailedAt.Load()
	return failedAt != nil && now.Sub(*failedAt) < dutyPause
}

// ownsDuty reports whether this instance has the duty for a table: one of those that reach the
// store.
func (i *Instance) ownsDuty(table string, now time.Time) bool {
	return i.dutyOwner(table, now) == i.settings.Load().Instance
}

func (i *Instance) dutyOwner(table string, now time.Time) string {
	reachesStore := func(r *pb.FleetReport) bool { return !r.GetStatusUnavailable() }
	owner, _ := i.fleet.Owner(table, reachesStore, now)
	return owner
}

// restoreOwnRow writes this instance's row again if peers have marked it, or if it is missing
// because the store is back from an older copy.
func (i *Instance) restoreOwnRow(ctx context.Context, rows storage.Table) {
	own, ok := i.fleet.OwnRow()
	if !ok || !i.registered.Load() || i.shuttingDown.Load() {
		return
	}
	if own.Member != nil && (!own.Member.GetSilent() || own.Member.GetIncarnation() != i.incarnation) {
		return
	}
	err := i.writeOwnRow(ctx, rows, own)
	switch {
	case err == nil:
		i.log.Info("own row restored", zap.Bool(field.Missing, own.Member == nil))
	case !errors.Is(err, storage.ErrConflict):
		i.log.Info("own row not restored", zap.Error(err))
	}
}

// writeOwnRow replaces this instance's row by one in good order.
func (i *Instance) writeOwnRow(ctx context.Context, rows storage.Table, before fleet.Row) error {
	storeNow, _ := i.store.LatestNow()
	next := fleet.Cleared(i.member(), before.Member, storeNow)
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	_, err = rows.Put(ctx, storage.Key{Sort: next.GetInstance()}, value, before.Version)
	return err
}

// member returns this instance's row in good order.
func (i *Instance) member() *pb.FleetMember {
	settings := i.settings.Load()
	return &pb.FleetMember{
		Instance: settings.Instance, Incarnation: i.incarnation, Address: settings.Peers, Zone: settings.Zone,
	}
}
