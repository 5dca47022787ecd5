package instance

import (
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/gateway"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// applyConfig applies the operator's newest configuration. If it cannot be decoded,
// the last one stays in force.
func (i *Instance) applyConfig() {
	snapshot := i.operator.Current()
	i.applyOrders(snapshot)
	i.applyEvacuations()
	row, ok := snapshot.Rows[platform.KeyConfig]
	if !ok || !i.crashesKnown() {
		return // without a configuration all requests are refused
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		i.log.Error("configuration not decoded, last one stays in force", zap.Int64(field.Row, row.Version), zap.Error(err))
		return
	}
	if current := i.gateway.Table(); current != nil && config.Version <= current.Config().Version {
		return
	}
	table := routing.NewTable(config)
	i.groups.SetTable(table)
	i.gateway.SetTable(table)
	i.applyCallerLimits()
	i.applyTargets()
	i.logUnservable(config)
	i.log.Info("configuration in force", zap.Int64(field.Config, config.Version), zap.Int64(field.Row, row.Version),
		zap.Int(field.Routes, len(config.Routes)), zap.Int(field.Workspaces, len(config.Workspaces)))
}

func (i *Instance) applyTargets() {
	snapshot := i.registry.Current()
	if snapshot == nil {
		return
	}
	if i.targets.update(snapshot, time.Now(), i.registry.LastRecovery()) {
		i.groups.SetTargets(i.targets.list())
		i.shared.Refresh()
		i.local.Refresh()
	}
}

// recoveryGrace is the time after the store's recovery for which missing registry
// entries are kept: an entry may have expired during the outage, and live targets
// register again within about 2 s.
const recoveryGrace = 2200 * time.Millisecond

// targetList holds the registered targets that this instance uses.
type targetList struct {
	log      *zap.Logger
	version  int64
	targets  map[string]routing.Target
	rejected map[string]int64
	// missing holds the targets whose entries are missing after a store outage.
	missing map[string]bool
	// cold gets all entries; nil without a limit of cold targets.
	cold *gateway.ColdTargets
}

func newTargetList(log *zap.Logger) *targetList {
	return &targetList{
		log: log, targets: make(map[string]routing.Target),
		rejected: make(map[string]int64), missing: make(map[string]bool),
	}
}

// update applies a snapshot of the registry and reports whether any target changed.
func (l *targetList) update(snapshot *mirror.Snapshot, now, recoveredAt time.Time) bool {
	if snapshot.Version == l.version && len(l.missing) == 0 {
		return false
	}
	l.version = snapshot.Version
	changed := false
	for id, row := range snapshot.Rows {
		target, err := platform.DecodeTarget(id, row.Value)
		if err != nil {
			l.reject(id, row.Version, err)
			continue
		}
		delete(l.missing, id)
		l.cold.Observe(now, target, row.Version, recoveredAt)
		before := l.targets[id]
		l.targets[id] = target
		if !sameEntry(before, target) {
			changed = true
			l.log.Info("target entry changed", zap.String(field.Target, id), zap.Int64(field.Row, row.Version),
				zap.String(field.Service, target.Service), zap.String(field.Address, target.Address),
				zap.String(field.Version, target.Version), zap.Bool(field.Draining, target.Draining))
		}
	}
	for id := range l.targets {
		if _, ok := snapshot.Rows[id]; !ok && l.hasLeft(id, now, recoveredAt) {
			delete(l.targets, id)
			delete(l.missing, id)
			changed = true
			l.log.Info("target removed", zap.String(field.Target, id), zap.Int64(field.Row, snapshot.Version))
		}
	}
	return changed
}

// sameEntry reports whether two entries differ at most in the remaining time of a cold target,
// which each repetition of an entry changes.
func sameEntry(a, b routing.Target) bool {
	if a.ColdFor > 0 && b.ColdFor > 0 {
		a.ColdFor = b.ColdFor
	}
	return a == b
}

// hasLeft reports whether a missing entry means that the target has left.
func (l *targetList) hasLeft(id string, now, recoveredAt time.Time) bool {
	if now.Sub(recoveredAt) >= recoveryGrace {
		return true
	}
	if !l.missing[id] {
		l.missing[id] = true
		l.log.Info("registry entry missing after store outage", zap.String(field.Target, id))
	}
	return false
}

// reject logs an invalid registry entry, once for each version of the entry.
func (l *targetList) reject(id string, version int64, err error) {
	if l.rejected[id] != version {
		l.rejected[id] = version
		l.log.Warn("registry entry ignored", zap.Int64(field.Row, version), zap.Error(err))
	}
}

func (l *targetList) list() []routing.Target {
	targets := make([]routing.Target, 0, len(l.targets))
	for _, t := range l.targets {
		targets = append(targets, t)
	}
	return targets
}

// Parameters of the connections between availability zones.
const (
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 12 * time.Millisecond
	// regionBytesPerSecond limits what this instance's groups send to another
	// region. It is an eighth of the 30 Mbit/s link that all traffic shares.
	regionBytesPerSecond = 30e6 / 8 / 8
	// zonePrice and regionPrice are the waiting time that costs as much as sending
	// a megabyte.
	zonePrice   = 4 * time.Second
	regionPrice = 8 * time.Second
)

// zoneLinks returns the links between all availability zones. Zones are passed to
// the scheduler as regions because the platform also charges for bytes between zones.
func zoneLinks(regions map[string]string) map[scheduler.RegionPair]scheduler.Link {
	links := make(map[scheduler.RegionPair]scheduler.Link)
	for from, fromRegion := range regions {
		for to, toRegion := range regions {
			switch {
			case from == to:
			case fromRegion == toRegion:
				links[scheduler.RegionPair{From: from, To: to}] = scheduler.Link{Delay: zoneDelay, PricePerMegabyte: zonePrice}
			default:
				links[scheduler.RegionPair{From: from, To: to}] = scheduler.Link{
					BytesPerSecond: regionBytesPerSecond, Delay: regionDelay, PricePerMegabyte: regionPrice,
				}
			}
		}
	}
	return links
}
