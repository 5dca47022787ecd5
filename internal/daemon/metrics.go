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

	held, connectionBytes, open metric.Int64ObservableGauge
	closed                      metric.Int64ObservableCounter
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
	gauge(&g.held, "basilloom.request.bytes", "Bytes that the requests in flight hold.")
	gauge(&g.connectionBytes, "basilloom.connection.bytes", "Bytes that callers' connections and heads hold.")
	gauge(&g.open, "basilloom.connections.open", "Open connections by listener.")
	closed, err := meter.Int64ObservableCounter("basilloom.connections.closed",
		metric.WithDescription("Connections refused or closed at a limit, by listener and cause."))
	g.closed = closed
	errs = append(errs, err)
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
	}, g.instances, g.generation, g.store, g.calls, g.held, g.connectionBytes, g.open, g.closed)
	if err != nil {
		return fmt.Errorf("register metrics: %w", err)
	}
	return d.brokers.RegisterMetrics(meter)
}

func (d *Daemon) observe(o metric.Observer, g *gauges) {
	o.ObserveInt64(g.instances, int64(d.FleetSize()))
	o.ObserveInt64(g.held, d.memory.Held())
	o.ObserveInt64(g.connectionBytes, d.memory.Connections())
	for name, conns := range d.conns() {
		o.ObserveInt64(g.open, int64(conns.Open()), metric.WithAttributes(attribute.String("listener", name)))
		for cause, n := range conns.Closed() {
			o.ObserveInt64(g.closed, n, metric.WithAttributes(attribute.String("listener", name), attribute.String("cause", string(cause))))
		}
	}
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
