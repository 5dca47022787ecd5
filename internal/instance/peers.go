package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/fleet"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/storage"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// tableInstances holds a row for each instance, written at its start and removed at its
	// graceful shutdown. Package fleet says what its states mean.
	tableInstances = "instances"
	// registerRetry is the mean wait after a failed registration.
	registerRetry = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the row.
	leaveTimeout = time.Second
)

// register writes this instance's row.
func (i *Instance) register(ctx context.Context) {
	rows := i.store.Table(tableInstances)
	for ctx.Err() == nil {
		err := i.registerOnce(ctx, rows)
		if err == nil {
			i.registered.Store(true)
			return
		}
		if ctx.Err() == nil {
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

// registerOnce reads the row of an earlier start first, because its part may be released.
func (i *Instance) registerOnce(ctx context.Context, rows storage.Table) error {
	stored, err := rows.Get(ctx, storage.Key{Sort: i.settings.Load().Instance})
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return err
	}
	before := &pb.FleetMember{}
	if err := proto.Unmarshal(stored.Value, before); err != nil {
		i.log.Warn("instance row not decoded", zap.String(field.Key, stored.Key.Sort), zap.Error(err))
	}
	return i.writeOwnRow(ctx, rows, fleet.Row{Member: before, Version: stored.Version})
}

// unregister removes this instance's row. If that fails, the peers drop the instance
// because they get no more reports from it.
func (i *Instance) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := i.store.Remove(ctx, tableInstances, i.settings.Load().Instance); err != nil {
		i.log.Warn("instance row not removed", zap.Error(err))
	}
}

// fillReport fills this instance's report to its peers.
func (i *Instance) fillReport(m *pb.FleetReport) {
	for id, load := range i.placer.Loads() {
		m.Loads = append(m.Loads, &pb.TargetLoad{
			Target: fleet.Hash(id), Running: uint32(load.Running), PromptTokens: uint32(load.PromptTokens),
			AloneRunning: uint32(load.LocalRunning), AlonePromptTokens: uint32(load.LocalPromptTokens),
		})
	}
	now := time.Now()
	m.Spending = i.spending.entries(i.ledger.LocalUsage(), i.ledger.Levels(now), m.GetSpendingPartial(), now)
	m.Versions = i.tracker.Report()
	m.Phases = i.phasesForReport(now)
	m.StatusUnavailable = i.orderStatus.isUnavailable() || i.isRefused(now)
	m.ZoneDelays = i.delaysForReport(m, now)
	for _, c := range i.crashes.forReport(now) {
		m.Crashes = append(m.Crashes, crashRecord(c))
	}
	for _, c := range i.crashes.servedForReport() {
		m.ServedContents = append(m.ServedContents, &pb.ServedContent{Fingerprint: c.Fingerprint, Targets: c.CrashedTargets})
	}
}

// applyReport applies a peer's report: its quota usage, its version evidence and its
// records of requests that crash targets.
func (i *Instance) applyReport(m *pb.FleetReport) {
	usage, levels := make(quota.Usage, len(m.GetSpending())), make(quota.Levels)
	for _, s := range m.GetSpending() {
		usage[s.GetWorkspace()] = float64(s.GetAmount())
		if s.Level != nil {
			levels[s.GetWorkspace()] = float64(s.GetLevel())
		}
	}
	i.ledger.ApplyReport(time.Now(), m.GetInstance(), quota.Report{
		Incarnation: m.GetIncarnation(), Spent: usage, Levels: levels, Partial: m.GetSpendingPartial(),
	})
	i.tracker.SetPeer(m.GetInstance(), m.GetIncarnation(), m.GetVersions())
	i.applyPhases(m.GetPhases(), time.Now())
	i.applyDelays(m, time.Now())
	entries := crashEvidence(m.GetCrashes())
	for _, c := range m.GetServedContents() {
		entries = append(entries, scheduler.CrashEvidence{
			Fingerprint: c.GetFingerprint(), ValidFor: scheduler.SuspectDuration, CrashedTargets: c.GetTargets(), Served: true,
		})
	}
	i.applyCrashes(entries, fromPeer)
}

// updateLoads reports to the groups the load that they have not granted: to the shared
// groups all local placements of the fleet and what shared brokers have granted to each
// peer, to the local groups all other load.
func (i *Instance) updateLoads(now time.Time) {
	i.ledger.SetShare(now, i.fleet.Share(now))
	i.groups.Cold.SetShare(now, i.coldShare(now))
	local := make(map[uint32]broker.ExternalLoad)
	all := make(map[uint32]broker.ExternalLoad)
	names := make(map[uint32]string, len(i.targets.targets))
	for id := range i.targets.targets {
		names[fleet.Hash(id)] = id
	}
	var entries []broker.EntryLoad
	for _, peer := range i.fleet.LivePeers(now) {
		entry := broker.EntryLoad{
			Instance: peer.Name, Incarnation: peer.Incarnation, ReportedAt: peer.LastReportAt,
			Targets: make(map[string]broker.ExternalLoad, len(peer.Report.GetLoads())),
		}
		for _, l := range peer.Report.GetLoads() {
			running, promptTokens := int(l.GetRunning()), int(l.GetPromptTokens())
			localRunning, localTokens := int(l.GetAloneRunning()), int(l.GetAlonePromptTokens())
			addLoad(local, l.GetTarget(), localRunning, localTokens)
			addLoad(all, l.GetTarget(), running, promptTokens)
			if name, ok := names[l.GetTarget()]; ok && running > localRunning {
				entry.Targets[name] = broker.ExternalLoad{Running: running - localRunning, PromptTokens: max(0, promptTokens-localTokens)}
			}
		}
		entries = append(entries, entry)
	}
	for id, w := range i.placer.Loads() {
		addLoad(local, fleet.Hash(id), w.LocalRunning, w.LocalPromptTokens)
		addLoad(all, fleet.Hash(id), w.Running-w.LocalRunning, w.PromptTokens-w.LocalPromptTokens)
	}
	i.shared.SetExternalLoad(loadsByTarget(names, local), entries)
	i.local.SetExternalLoad(loadsByTarget(names, all), nil)
}

func addLoad(sums map[uint32]broker.ExternalLoad, target uint32, running, promptTokens int) {
	sum := sums[target]
	sum.Running += running
	sum.PromptTokens += promptTokens
	sums[target] = sum
}

// loadsByTarget returns the loads by the names of their targets.
func loadsByTarget(names map[uint32]string, sums map[uint32]broker.ExternalLoad) map[string]broker.ExternalLoad {
	loads := make(map[string]broker.ExternalLoad, len(sums))
	for hash, sum := range sums {
		if name, ok := names[hash]; ok && sum.Running > 0 {
			loads[name] = sum
		}
	}
	return loads
}
