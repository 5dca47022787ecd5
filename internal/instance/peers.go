package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/fleet"
	"github.com/basilloom/basilloom/gateway"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/scheduler"
)

const (
	// tableInstances holds a row for each instance, written at its start and
	// removed at its planned end.
	tableInstances = "instances"
	// registerRetry is the mean wait after a failed registration.
	registerRetry = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the row.
	leaveTimeout = time.Second
)

// register writes this instance's row and then reads all, so that of two
// instances that start together at least one finds the other.
func (i *Instance) register(ctx context.Context) {
	settings := i.settings.Load()
	value, err := proto.Marshal(&pb.FleetMember{
		Instance: settings.Instance, Incarnation: i.incarnation, Address: settings.Peers,
	})
	if err != nil {
		i.log.Error("instance row not encoded", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		if err := i.registerOnce(ctx, value); err == nil {
			return
		} else if ctx.Err() == nil {
			i.log.Warn("instance not registered", zap.Error(err))
		}
		wait := time.NewTimer(registerRetry/2 + rand.N(registerRetry))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
}

func (i *Instance) registerOnce(ctx context.Context, value []byte) error {
	if err := i.store.Set(ctx, tableInstances, i.settings.Load().Instance, value); err != nil {
		return err
	}
	rows, _, err := i.store.Load(ctx, tableInstances)
	if err != nil {
		return err
	}
	var members []*pb.FleetMember
	for _, row := range rows {
		m := &pb.FleetMember{}
		if err := proto.Unmarshal(row.Value, m); err != nil {
			i.log.Warn("instance row cannot be read", zap.String("row", row.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	i.fleet.SetMembers(members)
	i.log.Info("instances listed", zap.Int("instances", len(members)))
	return nil
}

// unregister removes this instance's row. A row that stays is one of an instance
// that no peer hears, which its peers forget.
func (i *Instance) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := i.store.Remove(ctx, tableInstances, i.settings.Load().Instance); err != nil {
		i.log.Warn("instance row not removed", zap.Error(err))
	}
}

// describe fills this instance's report.
func (i *Instance) describe(m *pb.FleetReport) {
	for id, load := range i.gateway.Load() {
		m.Loads = append(m.Loads, &pb.TargetLoad{
			Target: fleet.Hash(id), Running: uint32(load.Running), PromptTokens: uint32(load.PromptTokens),
		})
	}
	for workspace, amount := range i.ledger.Own() {
		m.Spending = append(m.Spending, &pb.WorkspaceSpending{Workspace: fleet.Hash(workspace), Amount: uint64(amount)})
	}
	for _, q := range i.gateway.Quarantined() {
		m.Crashes = append(m.Crashes, &pb.CrashRecord{
			Fingerprint: q.Fingerprint, ValidMs: uint32(q.ValidFor.Milliseconds()), Died: q.Died,
		})
	}
}

// received takes over what a peer has spent and what it knows of requests that
// crash targets.
func (i *Instance) received(m *pb.FleetReport) {
	names := i.workspaceNames()
	spent := make(quota.Spent, len(m.GetSpending()))
	for _, s := range m.GetSpending() {
		if name, ok := names[s.GetWorkspace()]; ok {
			spent[name] = float64(s.GetAmount())
		}
	}
	i.ledger.Report(time.Now(), m.GetInstance(), m.GetIncarnation(), spent)
	if len(m.GetCrashes()) == 0 {
		return
	}
	entries := make([]scheduler.QuarantineEntry, 0, len(m.GetCrashes()))
	for _, c := range m.GetCrashes() {
		entries = append(entries, scheduler.QuarantineEntry{
			Fingerprint: c.GetFingerprint(), ValidFor: time.Duration(c.GetValidMs()) * time.Millisecond, Died: c.GetDied(),
		})
	}
	i.gateway.SetQuarantined(entries)
}

// workspaceNames maps the short forms in reports to workspaces.
func (i *Instance) workspaceNames() map[uint32]string {
	table := i.gateway.Table()
	if table == nil {
		return nil
	}
	names := make(map[uint32]string, len(table.Config().Workspaces))
	for _, w := range table.Config().Workspaces {
		names[fleet.Hash(w.Name)] = w.Name
	}
	return names
}

// takeLoads adds up what the peers have on the targets.
func (i *Instance) takeLoads(now time.Time) {
	i.ledger.SetShare(now, i.fleet.Share(now))
	sums := make(map[uint32]gateway.Load)
	for _, report := range i.fleet.Heard(now) {
		for _, l := range report.GetLoads() {
			sum := sums[l.GetTarget()]
			sum.Running += int(l.GetRunning())
			sum.PromptTokens += int(l.GetPromptTokens())
			sums[l.GetTarget()] = sum
		}
	}
	loads := make(map[string]gateway.Load, len(sums))
	for id := range i.targets.targets {
		if sum, ok := sums[fleet.Hash(id)]; ok {
			loads[id] = sum
		}
	}
	i.gateway.SetForeignLoad(loads)
}
