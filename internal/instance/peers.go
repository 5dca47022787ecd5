package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/fleet"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
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
			i.log.Warn("instance row cannot be read", zap.String(field.Row, row.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	i.fleet.AddMembers(members)
	i.log.Info("instances listed", zap.Int(field.Instances, len(members)))
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
	for id, work := range i.placer.Loads() {
		m.Loads = append(m.Loads, &pb.TargetLoad{
			Target: fleet.Hash(id), Running: uint32(work.Running), PromptTokens: uint32(work.PromptTokens),
			AloneRunning: uint32(work.LocalRunning), AlonePromptTokens: uint32(work.LocalPromptTokens),
		})
	}
	spent := i.ledger.LocalUsage()
	for workspace, level := range i.ledger.Levels(time.Now()) {
		m.Spending = append(m.Spending, &pb.WorkspaceSpending{
			Workspace: workspace, Amount: uint64(spent[workspace]), Level: proto.Int64(int64(level)),
		})
		delete(spent, workspace)
	}
	for workspace, amount := range spent {
		m.Spending = append(m.Spending, &pb.WorkspaceSpending{Workspace: workspace, Amount: uint64(amount)})
	}
	m.Versions = i.tracker.Report()
	for _, c := range i.crashes.entries() {
		m.Crashes = append(m.Crashes, &pb.CrashRecord{
			Fingerprint: c.Fingerprint, ValidMs: uint32(c.ValidFor.Milliseconds()), Died: c.CrashedTargets,
		})
	}
}

// received takes over what a peer has spent and what it knows of requests that
// crash targets.
func (i *Instance) received(m *pb.FleetReport) {
	spent, levels := make(quota.Usage, len(m.GetSpending())), make(quota.Levels)
	for _, s := range m.GetSpending() {
		spent[s.GetWorkspace()] = float64(s.GetAmount())
		if s.Level != nil {
			levels[s.GetWorkspace()] = float64(s.GetLevel())
		}
	}
	i.ledger.ApplyReport(time.Now(), m.GetInstance(), m.GetIncarnation(), spent, levels)
	i.tracker.SetPeer(m.GetInstance(), m.GetIncarnation(), m.GetVersions())
	entries := make([]scheduler.QuarantineEntry, 0, len(m.GetCrashes()))
	for _, c := range m.GetCrashes() {
		entries = append(entries, scheduler.QuarantineEntry{
			Fingerprint: c.GetFingerprint(), ValidFor: time.Duration(c.GetValidMs()) * time.Millisecond, CrashedTargets: c.GetDied(),
		})
	}
	i.noteCrashes(entries)
}

// noteCrashes records requests that crash targets and tells the groups of new ones.
func (i *Instance) noteCrashes(entries []scheduler.QuarantineEntry) {
	if !i.crashes.merge(entries) {
		return
	}
	known := i.crashes.entries()
	i.log.Warn("requests that crash targets", zap.Int(field.SuspectRequests, len(known)))
	i.shared.SetQuarantined(known)
	i.alone.SetQuarantined(known)
}

// crashes is what this instance knows of requests that crash targets.
type crashes struct {
	mu      sync.Mutex
	records *scheduler.Quarantine
}

func (c *crashes) merge(entries []scheduler.QuarantineEntry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(entries) > 0 && c.records.Merge(time.Now(), entries)
}

func (c *crashes) entries() []scheduler.QuarantineEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.records.Expire(now)
	return c.records.Entries(now)
}

// takeLoads tells the groups what they have not granted: the shared broker what
// instances placed alone, this instance's own groups what all others have.
func (i *Instance) takeLoads(now time.Time) {
	i.ledger.SetShare(now, i.fleet.Share(now))
	alone := make(map[uint32]broker.ExternalLoad)
	all := make(map[uint32]broker.ExternalLoad)
	for _, report := range i.fleet.LiveReports(now) {
		for _, l := range report.GetLoads() {
			add(alone, l.GetTarget(), int(l.GetAloneRunning()), int(l.GetAlonePromptTokens()))
			add(all, l.GetTarget(), int(l.GetRunning()), int(l.GetPromptTokens()))
		}
	}
	for id, w := range i.placer.Loads() {
		add(alone, fleet.Hash(id), w.LocalRunning, w.LocalPromptTokens)
		add(all, fleet.Hash(id), w.Running-w.LocalRunning, w.PromptTokens-w.LocalPromptTokens)
	}
	i.shared.SetExternalLoad(i.byTarget(alone))
	i.alone.SetExternalLoad(i.byTarget(all))
}

func add(sums map[uint32]broker.ExternalLoad, target uint32, running, promptTokens int) {
	sum := sums[target]
	sum.Running += running
	sum.PromptTokens += promptTokens
	sums[target] = sum
}

func (i *Instance) byTarget(sums map[uint32]broker.ExternalLoad) map[string]broker.ExternalLoad {
	loads := make(map[string]broker.ExternalLoad, len(sums))
	for id := range i.targets.targets {
		if sum, ok := sums[fleet.Hash(id)]; ok && sum.Running > 0 {
			loads[id] = sum
		}
	}
	return loads
}
