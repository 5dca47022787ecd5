package instance

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// registerMetrics registers the counts that other packages keep.
func (i *Instance) registerMetrics() error {
	meter := i.metrics.Meter
	calls, err := meter.Int64ObservableCounter("basilloom_store_calls", metric.WithDescription("Calls to the platform's store by outcome."))
	if err != nil {
		return err
	}
	connections, err := meter.Int64ObservableCounter("basilloom_target_connections",
		metric.WithDescription("Connections to targets: opened, reused, and found closed or with stray bytes."))
	if err != nil {
		return err
	}
	peers, err := meter.Int64ObservableGauge("basilloom_peers_heard", metric.WithDescription("Other instances that are heard."))
	if err != nil {
		return err
	}
	version, err := meter.Int64ObservableGauge("basilloom_config_version", metric.WithDescription("Version of the configuration in force."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		all, failed := i.store.Calls()
		o.ObserveInt64(calls, all-failed, metric.WithAttributes(attribute.String("outcome", "answered")))
		o.ObserveInt64(calls, failed, metric.WithAttributes(attribute.String("outcome", "failed")))
		stats := i.pool.Stats()
		o.ObserveInt64(connections, stats.Opened, metric.WithAttributes(attribute.String("how", "opened")))
		o.ObserveInt64(connections, stats.Reused, metric.WithAttributes(attribute.String("how", "reused")))
		o.ObserveInt64(connections, stats.Stale, metric.WithAttributes(attribute.String("how", "stale")))
		o.ObserveInt64(peers, int64(len(i.fleet.Heard(time.Now()))))
		if table := i.gateway.Table(); table != nil {
			o.ObserveInt64(version, table.Config().Version)
		}
		return nil
	}, calls, connections, peers, version)
	return err
}
