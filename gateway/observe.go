package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Metrics counts requests and their results. Labels are limited to services, routes'
// kinds, tiers, statuses and reasons, so that the number of series does not grow with
// workspaces or routes.
type Metrics struct {
	requests  metric.Int64Counter
	grants    metric.Int64Counter
	sends     metric.Int64Counter
	quota     metric.Float64Counter
	queued    metric.Float64Histogram
	firstByte metric.Float64Histogram
	eventGap  metric.Float64Histogram
	total     metric.Float64Histogram
}

// Bounds of the histograms' buckets in seconds. They cover the users' objectives:
// 0.2 to 1.8 s to the first event, 0.032 to 0.3 s between events, 12 s in all.
var (
	latencyBounds  = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.8, 4, 12}
	eventGapBounds = []float64{0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2, 0.3, 0.6, 2}
)

// kindLabels are the labels of the histograms, allocated once because a stream records
// a value with each read. Kind 0 stands for requests without a route.
var kindLabels = map[routing.Kind]metric.MeasurementOption{
	0:                         kindLabel("none"),
	routing.KindIdempotent:    kindLabel(routing.KindIdempotent.String()),
	routing.KindNonIdempotent: kindLabel(routing.KindNonIdempotent.String()),
	routing.KindStream:        kindLabel(routing.KindStream.String()),
}

func kindLabel(kind string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", kind)))
}

// NewMetrics registers the metrics.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	var m Metrics
	var errs []error
	counter := func(into *metric.Int64Counter, name, description string) {
		instrument, err := meter.Int64Counter(name, metric.WithDescription(description))
		*into = instrument
		errs = append(errs, err)
	}
	histogram := func(into *metric.Float64Histogram, name, description string, bounds []float64) {
		instrument, err := meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(bounds...))
		*into = instrument
		errs = append(errs, err)
	}
	counter(&m.requests, "basilloom_requests", "Requests by kind, tier, status and reason.")
	counter(&m.grants, "basilloom_grants", "Grants of slots by service and broker, shared or alone.")
	counter(&m.sends, "basilloom_sends", "Sends to targets by service; repeat tells further ones of a request.")
	histogram(&m.queued, "basilloom_queue_seconds", "Time waiting for slots, by kind.", latencyBounds)
	histogram(&m.firstByte, "basilloom_first_byte_seconds", "Time from the dispatch to the first event or the answer, by kind.", latencyBounds)
	histogram(&m.eventGap, "basilloom_event_gap_seconds", "Time between events of a stream that come in different reads, by kind.", eventGapBounds)
	histogram(&m.total, "basilloom_request_seconds", "Time from arrival to the end of the answer, by kind.", latencyBounds)
	quota, err := meter.Float64Counter("basilloom_quota_charged",
		metric.WithDescription("Amounts charged to the quotas of all workspaces, given back ones included."))
	m.quota = quota
	return &m, errors.Join(append(errs, err)...)
}

// requestFields returns the log fields of a request, followed by more.
func requestFields(req *request, more ...zap.Field) []zap.Field {
	fields := make([]zap.Field, 0, 6+len(more))
	fields = append(fields, zap.String(field.RequestID, req.call.ID), zap.Int(field.Tier, req.tier), zap.Int(field.Sends, req.sends),
		zap.Duration(field.Elapsed, time.Since(req.arrived)))
	if req.route != nil {
		fields = append(fields, zap.String(field.Route, req.route.Name))
	}
	if req.workspace != nil {
		fields = append(fields, zap.String(field.Workspace, req.workspace.Name))
	}
	return append(fields, more...)
}

func (g *Gateway) recordSend(a *attempt) {
	g.settings.Log.Info("sent", requestFields(a.req, zap.String(field.Target, a.slot.target.ID),
		zap.String(field.Service, a.req.service.Name), zap.Int(field.PromptTokens, a.req.call.PromptTokens),
		zap.Bool(field.Resumed, a.resumed))...)
	g.settings.Metrics.sends.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", a.req.service.Name), attribute.Bool("repeat", a.req.sends > 0)))
}

// recordEnd logs and counts the end of a request.
func (g *Gateway) recordEnd(req *request, out *responder, refused *Refusal) {
	status := out.status
	fields := requestFields(req)
	if refused != nil {
		status = refused.Status
		fields = append(fields, zap.String(field.Reason, refused.Message), zap.Duration(field.RetryAfter, refused.RetryAfter))
		fields = append(fields, refused.logFields...)
	}
	if table := g.table.Load(); table != nil {
		fields = append(fields, zap.Int64(field.Config, table.Config().Version))
	}
	fields = append(fields, zap.Duration(field.Timeout, req.call.Timeout), zap.Duration(field.Queued, req.queued), zap.Duration(field.FirstByte, req.firstByte),
		zap.String(field.Target, req.target), zap.Int(field.PromptTokens, req.call.PromptTokens))
	fields = append(fields, zap.Int(field.Status, status), zap.Int(field.Bytes, out.bytes), zap.Bool(field.Complete, out.complete))
	g.settings.Log.Info("ended", fields...)
	g.countRequest(req, status, refused)
}

// countRequest updates the metrics at the end of a request.
func (g *Gateway) countRequest(req *request, status int, refused *Refusal) {
	reason := ""
	if refused != nil {
		reason = refused.Message
	}
	m := g.settings.Metrics
	kind, byKind := "none", kindLabels[0]
	if req.route != nil {
		kind, byKind = req.route.Kind.String(), kindLabels[req.route.Kind]
	}
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind),
		attribute.Int("tier", req.tier), attribute.String("status", strconv.Itoa(status)), attribute.String("reason", reason)))
	m.queued.Record(context.Background(), req.queued.Seconds(), byKind)
	m.total.Record(context.Background(), time.Since(req.arrived).Seconds(), byKind)
	m.quota.Add(context.Background(), req.cost)
}

// countGrant counts a slot granted to the request.
func (g *Gateway) countGrant(req *request, s *slot) {
	by := "alone"
	if s.shared {
		by = "shared"
	}
	g.settings.Metrics.grants.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", req.service.Name), attribute.String("broker", by)))
}

// observeGap records the time since the previous events.
func (a *attempt) observeGap() {
	now := time.Now()
	if !a.lastEventsAt.IsZero() {
		a.gateway.settings.Metrics.eventGap.Record(context.Background(), now.Sub(a.lastEventsAt).Seconds(), kindLabels[a.req.route.Kind])
	}
	a.lastEventsAt = now
}

// Numbers of events after the first over which the mean time between a stream's events is
// taken. It is recorded after gapEvents, so that a slow version shows early, or at the end
// of a stream that has at least minGapEvents.
const (
	gapEvents    = 8
	minGapEvents = 3
)

// observeMeanGap records the mean time between the stream's events, once.
func (a *attempt) observeMeanGap() {
	if a.meanGapObserved || a.events <= minGapEvents {
		return
	}
	a.meanGapObserved = true
	sinceFirst := time.Since(a.sent) - a.firstByte
	a.gateway.settings.Rollouts.ObserveGap(a.req.service.Name, a.req.routeHash(), a.slot.target.Version, sinceFirst/time.Duration(a.events-1))
}

// observeFirst records the time to the first event or to the response.
func (g *Gateway) observeFirst(a *attempt) {
	if a.req.firstByte == 0 {
		a.req.firstByte = time.Since(a.req.arrived)
	}
	g.settings.Rollouts.ObserveTime(a.req.service.Name, a.req.routeHash(), a.slot.target.Version, a.firstByte)
	g.settings.Metrics.firstByte.Record(context.Background(), a.firstByte.Seconds(), kindLabels[a.req.route.Kind])
}
