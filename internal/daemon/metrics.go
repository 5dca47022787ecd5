package daemon

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/basilloom/basilloom/scheduler"
)

// healthCodes are the values of basilloom.target.health.
var healthCodes = map[scheduler.HealthState]int64{
	scheduler.HealthGood:     0,
	scheduler.HealthHalfOpen: 1,
	scheduler.HealthProbing:  1,
	scheduler.HealthEjected:  2,
}

// gauges are observed when the metrics are read.
type gauges struct {
	instances  metric.Int64ObservableGauge
	generation metric.Int64ObservableGauge
	store      metric.Int64ObservableGauge
	running    metric.Int64ObservableGauge
	limit      metric.Int64ObservableGauge
	health     metric.Int64ObservableGauge
	waiting    metric.Int64ObservableGauge
	calls      metric.Int64ObservableCounter
}

// registerGauges registers the metrics of the instance's state.
func (d *Daemon) registerGauges(meter metric.Meter) error {
	var g gauges
	var errs []error
	gauge := func(into *metric.Int64ObservableGauge, name, description string) {
		instrument, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		*into = instrument
		errs = append(errs, err)
	}
	gauge(&g.instances, "basilloom.instances", "Live instances in this instance's view.")
	gauge(&g.generation, "basilloom.config.generation", "Configuration generation in force.")
	gauge(&g.store, "basilloom.store.reachable", "1 if the last poll of the table was answered.")
	gauge(&g.running, "basilloom.target.running", "Grants in use, by target, of groups run here.")
	gauge(&g.limit, "basilloom.target.limit", "Concurrency limit, by target, of groups run here.")
	gauge(&g.health, "basilloom.target.health", "0 good, 1 half-open, 2 ejected, by target, of groups run here.")
	gauge(&g.waiting, "basilloom.waiting", "Waiting tickets, by pool and tier rank, of groups run here.")
	calls, err := meter.Int64ObservableCounter("basilloom.store.calls",
		metric.WithDescription("Calls of the table service by kind."))
	g.calls = calls
	for _, err := range append(errs, err) {
		if err != nil {
			return fmt.Errorf("register metrics: %w", err)
		}
	}
	_, err = meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		d.observe(ctx, o, &g)
		return nil
	}, g.instances, g.generation, g.store, g.running, g.limit, g.health, g.waiting, g.calls)
	if err != nil {
		return fmt.Errorf("register metrics: %w", err)
	}
	return nil
}

func (d *Daemon) observe(ctx context.Context, o metric.Observer, g *gauges) {
	o.ObserveInt64(g.instances, int64(d.FleetSize()))
	if snapshot := d.watcher.Current(); snapshot != nil {
		o.ObserveInt64(g.generation, snapshot.Generation())
	}
	reachable := int64(0)
	if d.watcher.StoreReachable() {
		reachable = 1
	}
	o.ObserveInt64(g.store, reachable)
	for _, status := range d.brokers.Status(ctx) {
		for _, t := range status.Targets {
			target := metric.WithAttributes(attribute.String("target", t.Name))
			o.ObserveInt64(g.running, int64(t.Running), target)
			o.ObserveInt64(g.limit, int64(t.Limit), target)
			o.ObserveInt64(g.health, healthCodes[t.Health], target)
		}
		for _, tier := range status.Waiting {
			o.ObserveInt64(g.waiting, int64(tier.Waiting), metric.WithAttributes(
				attribute.String("pool", status.Key.Pool), attribute.Int("tier", int(tier.Tier))))
		}
	}
	if d.storeStats != nil {
		stats := d.storeStats()
		for kind, count := range map[string]int64{"read": stats.Reads, "write": stats.Writes, "retry": stats.Retries} {
			o.ObserveInt64(g.calls, count, metric.WithAttributes(attribute.String("kind", kind)))
		}
	}
}
