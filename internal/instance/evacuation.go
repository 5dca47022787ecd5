package instance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/telemetry/field"
)

// evacuations holds the evacuated zones. They are derived from the operator's rows alone, so
// that a restarted instance knows them before it serves its first request.
type evacuations struct {
	// onEnd is called with a zone whose evacuation ends, before its targets get requests
	// again; may be nil. It is set before Run and must not block.
	onEnd func(zone string)

	mu sync.Mutex
	// rows holds the versions of the rows in force by zone, unknown those of the rows that
	// name an unknown zone.
	rows, unknown map[string]int64
}

// applyEvacuations applies the operator's evacuation rows. It may be called concurrently;
// the snapshot is read under the lock, so that an older one never replaces a newer one.
func (i *Instance) applyEvacuations() {
	e := &i.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot := i.operator.Current()
	if snapshot == nil {
		return
	}
	rows, unknown := evacuationRows(snapshot, i.settings.Load())
	for zone, version := range unknown {
		if e.unknown[zone] != version {
			i.log.Warn("evacuation of an unknown zone ignored", zap.String(field.Zone, zone), zap.Int64(field.Row, version))
		}
	}
	e.unknown = unknown
	changed := false
	for zone, version := range rows {
		if _, ok := e.rows[zone]; !ok {
			changed = true
			i.log.Info("zone evacuation began", zap.String(field.Zone, zone), zap.Int64(field.Row, version))
		}
	}
	for zone, version := range e.rows {
		if _, ok := rows[zone]; ok {
			continue
		}
		changed = true
		i.log.Info("zone evacuation ended", zap.String(field.Zone, zone), zap.Int64(field.Row, version), zap.Int64(field.Version, snapshot.Version))
		if e.onEnd != nil {
			e.onEnd(zone)
		}
	}
	e.rows = rows
	if !changed {
		return
	}
	zones := make(map[string]bool, len(rows))
	for zone := range rows {
		zones[zone] = true
	}
	i.groups.SetEvacuated(zones)
	i.shared.Refresh()
	i.local.Refresh()
}

// evacuationRows returns the versions of the evacuation rows of known and of unknown zones.
func evacuationRows(snapshot *mirror.Snapshot, settings *platform.Settings) (rows, unknown map[string]int64) {
	rows, unknown = make(map[string]int64), make(map[string]int64)
	if !settings.Places {
		return rows, unknown
	}
	for key, row := range snapshot.Rows {
		zone, ok := platform.EvacuatedZone(key)
		if !ok {
			continue
		}
		if _, known := settings.Regions[zone]; known {
			rows[zone] = row.Version
		} else {
			unknown[zone] = row.Version
		}
	}
	return rows, unknown
}

// logUnservable logs the regions of a configuration that no zone has, and the pairs of a
// route and a workspace that no region may serve, in one line.
func (i *Instance) logUnservable(config routing.Config) {
	known := slices.Collect(maps.Values(i.settings.Load().Regions))
	unknown := make(map[string]bool)
	addUnknown := func(allowed []string) {
		for _, region := range allowed {
			if !slices.Contains(known, region) {
				unknown[region] = true
			}
		}
	}
	var unservable []string
	for k := range config.Routes {
		r := &config.Routes[k]
		addUnknown(r.AllowedRegions)
		if len(r.AllowedRegions) == 0 {
			continue // the regions of a workspace alone are never an empty set
		}
		for l := range config.Workspaces {
			w := &config.Workspaces[l]
			if residency := routing.ResidencyOf(r, w); residency.Restricted() && len(residency.Regions()) == 0 {
				unservable = append(unservable, r.Name+" "+w.Name)
			}
		}
	}
	for _, w := range config.Workspaces {
		addUnknown(w.AllowedRegions)
	}
	if len(unknown) == 0 && len(unservable) == 0 {
		return
	}
	i.log.Warn("configuration names unknown regions or has requests that no region may serve", zap.Int64(field.Config, config.Version),
		zap.Strings(field.Regions, slices.Sorted(maps.Keys(unknown))),
		zap.Strings(field.Unservable, unservable[:min(len(unservable), maxLoggedPairs)]))
}

// maxLoggedPairs bounds the pairs of a route and a workspace in one log line.
const maxLoggedPairs = 20

// registerZoneMetrics registers the metrics by availability zone.
func (i *Instance) registerZoneMetrics() error {
	meter := i.metrics.Meter
	evacuated, err := meter.Int64ObservableGauge("basilloom_zone_evacuated",
		metric.WithDescription("1 while the operator evacuates the zone, else 0, by zone."))
	if err != nil {
		return fmt.Errorf("zone metrics: %w", err)
	}
	running, err := meter.Int64ObservableGauge("basilloom_zone_running",
		metric.WithDescription("Requests of this instance that run in the zone, by zone."))
	if err != nil {
		return fmt.Errorf("zone metrics: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		counts := i.placer.RunningByZone()
		i.evacuations.mu.Lock()
		defer i.evacuations.mu.Unlock()
		for zone := range i.settings.Load().Regions {
			label := metric.WithAttributes(attribute.String("zone", zone))
			_, isEvacuated := i.evacuations.rows[zone]
			o.ObserveInt64(evacuated, map[bool]int64{true: 1}[isEvacuated], label)
			o.ObserveInt64(running, int64(counts[zone]), label)
		}
		return nil
	}, evacuated, running)
	if err != nil {
		return fmt.Errorf("zone metrics: %w", err)
	}
	return nil
}
