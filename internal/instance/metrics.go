package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/basilloom/basilloom/mirror"
)

// instruments are the observable instruments of values that other packages hold.
type instruments struct {
	calls, connections, dropped  metric.Int64ObservableCounter
	datagrams, reportBytes       metric.Int64ObservableCounter
	peers, version, held         metric.Int64ObservableGauge
	share, retryBudget, tableAge metric.Float64ObservableGauge
	conns                        connectionInstruments
}

// registerMetrics registers the metrics of values that other packages hold.
func (i *Instance) registerMetrics(droppedLines func() int64) error {
	meter := i.metrics.Meter
	var m instruments
	var errs []error
	counter := func(into *metric.Int64ObservableCounter, name, description string) {
		instrument, err := meter.Int64ObservableCounter(name, metric.WithDescription(description))
		*into, errs = instrument, append(errs, err)
	}
	gauge := func(into *metric.Int64ObservableGauge, name, description string) {
		instrument, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		*into, errs = instrument, append(errs, err)
	}
	floatGauge := func(into *metric.Float64ObservableGauge, name, description string) {
		instrument, err := meter.Float64ObservableGauge(name, metric.WithDescription(description))
		*into, errs = instrument, append(errs, err)
	}
	counter(&m.calls, "basilloom_store_calls", "Calls to the platform's store by kind and outcome.")
	counter(&m.connections, "basilloom_target_connections", "Connections to targets: opened, reused, and found stale (closed or with unexpected bytes).")
	counter(&m.dropped, "basilloom_log_lines_dropped", "Log lines that were dropped because the output was not read.")
	counter(&m.datagrams, "basilloom_report_datagrams", "Datagrams sent to other instances.")
	counter(&m.reportBytes, "basilloom_report_bytes", "Bytes of the datagrams sent to other instances.")
	gauge(&m.peers, "basilloom_peers_heard", "Other instances with a recent report.")
	gauge(&m.version, "basilloom_config_version", "Version of the configuration in force.")
	gauge(&m.held, "basilloom_request_bytes", "Bytes that the requests in flight hold.")
	gauge(&m.conns.open, "basilloom_connections_open", "Open connections by listener.")
	gauge(&m.conns.bytes, "basilloom_connection_bytes", "Bytes that callers' connections and heads hold.")
	counter(&m.conns.closed, "basilloom_connections_closed", "Connections refused or closed at a limit, by listener and cause.")
	floatGauge(&m.share, "basilloom_quota_share", "Fraction of the fleet's limits that this instance and the peers with recent reports may spend.")
	floatGauge(&m.retryBudget, "basilloom_repeat_budget", "Remaining retry budget in sends, by service.")
	floatGauge(&m.tableAge, "basilloom_table_age_seconds", "Time since the store's last response to a call for the table.")
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("instance metrics: %w", err)
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.dropped, droppedLines())
		i.observe(o, &m)
		return nil
	}, m.calls, m.connections, m.dropped, m.datagrams, m.reportBytes, m.peers, m.version, m.held, m.share, m.retryBudget, m.tableAge,
		m.conns.open, m.conns.bytes, m.conns.closed)
	if err != nil {
		return fmt.Errorf("instance metrics: %w", err)
	}
	if err := i.registerZoneMetrics(); err != nil {
		return err
	}
	return i.shared.RegisterMetrics(meter)
}

func (i *Instance) observe(o metric.Observer, m *instruments) {
	for kind, counts := range i.store.Calls() {
		for outcome, n := range map[string]int64{
			"answered": counts.Answered.Load(), "refused": counts.Refused.Load(), "lost": counts.Lost.Load(),
		} {
			o.ObserveInt64(m.calls, n, metric.WithAttributes(attribute.Stringer("kind", kind), attribute.String("outcome", outcome)))
		}
	}
	stats := i.pool.Stats()
	for how, n := range map[string]int64{"opened": stats.Opened, "reused": stats.Reused, "stale": stats.Stale} {
		o.ObserveInt64(m.connections, n, metric.WithAttributes(attribute.String("how", how)))
	}
	datagrams, bytes := i.fleet.Traffic()
	o.ObserveInt64(m.datagrams, datagrams)
	o.ObserveInt64(m.reportBytes, bytes)
	o.ObserveInt64(m.held, i.memory.Held())
	i.observeConnections(o, &m.conns)
	now := time.Now()
	o.ObserveInt64(m.peers, int64(len(i.fleet.LiveReports(now))))
	if table := i.gateway.Table(); table != nil {
		o.ObserveInt64(m.version, table.Config().Version)
	}
	o.ObserveFloat64(m.share, i.ledger.Share())
	for service, level := range i.retries.Levels() {
		o.ObserveFloat64(m.retryBudget, level, metric.WithAttributes(attribute.String("service", service)))
	}
	for _, t := range []*mirror.Table{i.operator, i.registry} {
		if responded := t.LastResponse(); !responded.IsZero() {
			o.ObserveFloat64(m.tableAge, now.Sub(responded).Seconds(), metric.WithAttributes(attribute.String("table", t.Name())))
		}
	}
}
