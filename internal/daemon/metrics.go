package daemon

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// gauges are observed when the metrics are read.
type gauges struct {
	instances  metric.Int64ObservableGauge
	generation metric.Int64ObservableGauge
	store      metric.Int64ObservableGauge
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
	gauge(&g.store, "basilloom.store.reachable", "1 if the table responded to the last poll.")
	calls, err := meter.Int64ObservableCounter("basilloom.store.calls",
		metric.WithDescription("Calls to the table service by kind."))
	g.calls = calls
	for _, err := range append(errs, err) {
		if err != nil {
			return fmt.Errorf("register metrics: %w", err)
		}
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		d.observe(o, &g)
		return nil
	}, g.instances, g.generation, g.store, g.calls)
	if err != nil {
		return fmt.Errorf("register metrics: %w", err)
	}
	return d.brokers.RegisterMetrics(meter)
}

func (d *Daemon) observe(o metric.Observer, g *gauges) {
	o.ObserveInt64(g.instances, int64(d.FleetSize()))
	if snapshot := d.watcher.Current(); snapshot != nil {
		o.ObserveInt64(g.generation, snapshot.Generation())
	}
	reachable := int64(0)
	if d.watcher.StoreReachable() {
		reachable = 1
	}
	o.ObserveInt64(g.store, reachable)
	if d.storeStats != nil {
		stats := d.storeStats()
		for kind, count := range map[string]int64{"read": stats.Reads, "write": stats.Writes, "retry": stats.Retries} {
			o.ObserveInt64(g.calls, count, metric.WithAttributes(attribute.String("kind", kind)))
		}
	}
}
