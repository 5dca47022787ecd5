package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/controller"
	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/entry"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/lease"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// controllerLease is the name of the controller role's lease.
	controllerLease = "controller"
	// trackerPeriod is the interval at which the evidence of moves is evaluated and shared.
	trackerPeriod = 500 * time.Millisecond
)

// routeVersions adapts the tracker to package entry.
type routeVersions struct {
	*moves.Tracker
}

// Observe implements entry.Versions.
func (v routeVersions) Observe(s entry.Sample) {
	v.Tracker.Observe(moves.Sample{
		Route:         s.Route,
		Version:       s.Version,
		Failed:        s.Failed,
		FirstToken:    s.FirstToken,
		TokenInterval: s.TokenInterval,
	})
}

// newTracker returns a tracker whose stops are sent to peers immediately.
func (d *Daemon) newTracker() *moves.Tracker {
	return moves.NewTracker(moves.TrackerSettings{
		Instance:    d.self.Name,
		Incarnation: d.self.Incarnation,
		Now:         time.Now,
		OnStop: func(stop *pb.MoveStop) {
			d.log.Warn("version move stopped", zap.String(field.Move, stop.GetMove()), zap.String(field.Reason, stop.GetReason()))
			d.members.AddStop(membership.Stop{
				StopKey: membership.StopKey{Move: stop.GetMove(), Generation: stop.GetGeneration()},
				Reason:  stop.GetReason(),
			})
		},
	})
}

// trackMoves evaluates the evidence and shares this instance's counters with the peers.
func (d *Daemon) trackMoves(ctx context.Context) {
	ticker := time.NewTicker(trackerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.tracker.Tick()
			window := now.Unix() / int64(membership.EvidenceWindow/time.Second)
			for _, c := range d.tracker.Counters(window-1, false) {
				d.members.AddEvidence(membership.EvidenceFrom(c))
			}
		}
	}
}

// applyMoveFacts passes the other instances' facts about moves to the tracker.
func (d *Daemon) applyMoveFacts(facts membership.Snapshot) {
	for _, p := range facts.Progress {
		d.tracker.SetProgress(&pb.MoveProgress{
			Move: p.Move, RowVersion: p.RowVersion, Phase: p.Phase, SharePercent: p.SharePercent, Definition: p.Definition,
		})
	}
	for _, s := range facts.Stops {
		d.tracker.SetStop(&pb.MoveStop{Move: s.Move, Reason: s.Reason, Generation: s.Generation})
	}
	counters := make([]*pb.EvidenceCounter, 0, len(facts.Evidence))
	for _, e := range facts.Evidence {
		if e.Instance != d.self.Name {
			counters = append(counters, membership.EvidenceMessage(e))
		}
	}
	d.tracker.Merge(counters)
}

// managedEngines implements the controller's management calls to targets.
type managedEngines struct {
	client *engine.Client
}

// State implements controller.Engines.
func (m managedEngines) State(ctx context.Context, t *pb.Target) (moves.TargetState, error) {
	state, err := m.client.State(ctx, engine.Target{Name: t.GetName(), Address: t.GetAddress()})
	return moves.TargetState{Name: t.GetName(), Versions: state.Versions, Loading: state.Loading}, err
}

// Order implements controller.Engines.
func (m managedEngines) Order(ctx context.Context, t *pb.Target, fence int64, versions []string) error {
	err := m.client.Order(ctx, engine.Target{Name: t.GetName(), Address: t.GetAddress()}, engine.Order{
		Fence: fence, Versions: versions,
	})
	var stale *engine.StaleFenceError
	if errors.As(err, &stale) {
		return controller.ErrStaleFence
	}
	return err
}

// runController acquires the controller's lease when it is free and runs the controller
// while it holds the lease.
func (d *Daemon) runController(ctx context.Context, p Platform, leases *lease.Manager) {
	for ctx.Err() == nil {
		if !d.hasMoves() {
			// Without moves no controller is needed, and a lease would cost a write for
			// each renewal.
			sleep(ctx, time.Second)
			continue
		}
		err := leases.Run(ctx, controllerLease, func(ctx context.Context, held *lease.Lease) {
			d.runWithLease(ctx, p, held)
		})
		if err != nil && ctx.Err() == nil {
			d.log.Warn("controller lease failed", zap.Error(err))
			sleep(ctx, time.Second)
		}
	}
}

// runWithLease runs the controller until the lease ends or no move is configured.
func (d *Daemon) runWithLease(ctx context.Context, p Platform, held *lease.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := controller.New(controller.Settings{
		Table:    p.Table,
		Lease:    held,
		Snapshot: d.watcher.Current,
		View:     d.tracker,
		Engines:  managedEngines{client: d.engine},
		Publish: func(progress *pb.MoveProgress) {
			d.members.AddProgress(membership.Progress{
				Move:         progress.GetMove(),
				RowVersion:   progress.GetRowVersion(),
				Phase:        progress.GetPhase(),
				SharePercent: progress.GetSharePercent(),
				Definition:   progress.GetDefinition(),
			})
		},
		Log:   d.log,
		Meter: d.metrics.Meter,
	})
	if err != nil {
		d.log.Error("controller not started", zap.Error(err))
		return
	}
	go func() {
		for d.hasMoves() && ctx.Err() == nil {
			sleep(ctx, time.Second)
		}
		cancel()
	}()
	c.Run(ctx)
}

func (d *Daemon) hasMoves() bool {
	snapshot := d.watcher.Current()
	return snapshot != nil && len(snapshot.Config().GetMoves()) > 0
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
