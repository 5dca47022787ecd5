package broker

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/basilloom/basilloom/scheduler"
)

// healthCodes are the values of basilloom.target.health.
var healthCodes = map[scheduler.HealthState]int64{
	scheduler.HealthHealthy:  0,
	scheduler.HealthHalfOpen: 1,
	scheduler.HealthProbing:  1,
	scheduler.HealthEjected:  2,
}

// groupGauges holds the gauges that are updated when the metrics are read.
type groupGauges struct {
	running, limit, health, waiting, owned, cold metric.Int64ObservableGauge
	coldGrants                                   metric.Int64ObservableCounter
	forecast                                     metric.Float64ObservableGauge
	spill                                        metric.Float64ObservableGauge
}

// RegisterMetrics registers the metrics of the groups that this instance runs.
func (m *Manager) RegisterMetrics(meter metric.Meter) error {
	var g groupGauges
	var errs []error
	gauge := func(into *metric.Int64ObservableGauge, name, description string) {
		instrument, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		*into = instrument
		errs = append(errs, err)
	}
	gauge(&g.running, "basilloom.target.running", "Grants in use, by target, of groups run here.")
	gauge(&g.limit, "basilloom.target.limit", "Concurrency limit, by target, of groups run here.")
	gauge(&g.health, "basilloom.target.health", "0 good, 1 half-open, 2 ejected, by target, of groups run here.")
	gauge(&g.waiting, "basilloom.waiting", "Waiting tickets, by pool and tier rank, of groups run here.")
	gauge(&g.owned, "basilloom.groups", "Groups run here, by pool.")
	gauge(&g.cold, "basilloom.cold.targets", "Cold targets, by pool, of groups run here.")
	coldGrants, coldErr := meter.Int64ObservableCounter("basilloom.cold.grants",
		metric.WithDescription("Grants to targets that are cold or were a short time ago, by pool, of groups run here."))
	forecast, forecastErr := meter.Float64ObservableGauge("basilloom.forecast.wait",
		metric.WithDescription("Expected wait of a new ticket, by pool and tier rank, of groups run here."), metric.WithUnit("s"))
	spill, spillErr := meter.Float64ObservableGauge("basilloom_spill_share",
		metric.WithDescription("Part of a zone's work that leaves for another zone, by pool, of groups run here."))
	g.coldGrants, g.forecast, g.spill = coldGrants, forecast, spill
	err := errors.Join(append(errs, coldErr, forecastErr, spillErr)...)
	if err != nil {
		return fmt.Errorf("register metrics of groups: %w", err)
	}
	_, err = meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		m.observe(ctx, o, &g)
		return nil
	}, g.running, g.limit, g.health, g.waiting, g.owned, g.cold, g.coldGrants, g.forecast, g.spill)
	if err != nil {
		return fmt.Errorf("register metrics of groups: %w", err)
	}
	return nil
}

func (m *Manager) observe(ctx context.Context, o metric.Observer, g *groupGauges) {
	owned := make(map[string]int64)
	for _, status := range m.Status(ctx) {
		owned[status.Key.Pool]++
		pool := metric.WithAttributes(attribute.String("pool", status.Key.Pool))
		o.ObserveInt64(g.cold, int64(status.ColdTargets), pool)
		o.ObserveInt64(g.coldGrants, status.ColdGrants, pool)
		for _, t := range status.Targets {
			target := metric.WithAttributes(attribute.String("target", t.Name))
			o.ObserveInt64(g.running, int64(t.Running), target)
			o.ObserveInt64(g.limit, int64(t.Limit), target)
			o.ObserveInt64(g.health, healthCodes[t.Health], target)
		}
		for pair, share := range status.Spill {
			o.ObserveFloat64(g.spill, share, metric.WithAttributes(attribute.String("pool", status.Key.Pool),
				attribute.String("from", pair.From), attribute.String("to", pair.To)))
		}
		waits := make(map[scheduler.Rank]float64)
		for _, tier := range status.Forecast {
			waits[tier.Tier] = tier.Wait.Seconds()
		}
		for _, tier := range status.Waiting {
			o.ObserveFloat64(g.forecast, waits[tier.Tier], metric.WithAttributes(
				attribute.String("pool", status.Key.Pool), attribute.Int("tier", int(tier.Tier))))
			o.ObserveInt64(g.waiting, int64(tier.Waiting), metric.WithAttributes(
				attribute.String("pool", status.Key.Pool), attribute.Int("tier", int(tier.Tier))))
		}
	}
	for pool, n := range owned {
		o.ObserveInt64(g.owned, n, metric.WithAttributes(attribute.String("pool", pool)))
	}
}
