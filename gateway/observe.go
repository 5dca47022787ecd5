package gateway

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/telemetry/field"
)

// Metrics counts what becomes of requests. Labels are routes' kinds, tiers and
// statuses, whose number does not grow with workspaces or routes.
type Metrics struct {
	requests metric.Int64Counter
	sends    metric.Int64Counter
	first    metric.Float64Histogram
	total    metric.Float64Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	var m Metrics
	var err error
	if m.requests, err = meter.Int64Counter("basilloom_requests",
		metric.WithDescription("Requests by kind, tier and status.")); err != nil {
		return nil, err
	}
	if m.sends, err = meter.Int64Counter("basilloom_sends",
		metric.WithDescription("Sends to targets by service; repeat tells further ones of a request.")); err != nil {
		return nil, err
	}
	if m.first, err = meter.Float64Histogram("basilloom_first_byte_seconds",
		metric.WithDescription("Time from the dispatch to the first event or the answer.")); err != nil {
		return nil, err
	}
	m.total, err = meter.Float64Histogram("basilloom_request_seconds",
		metric.WithDescription("Time from arrival to the end of the answer."))
	return &m, err
}

// requestFields are the log fields of a request, followed by others.
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

func (g *Gateway) logSend(a *attempt) {
	g.settings.Log.Info("sent", requestFields(a.req, zap.String(field.Target, a.slot.target.ID),
		zap.String(field.Service, a.req.service.Name), zap.Int(field.PromptTokens, a.req.call.PromptTokens),
		zap.Bool(field.Resumed, a.resumed))...)
	g.settings.Metrics.sends.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", a.req.service.Name), attribute.Bool("repeat", a.req.sends > 0)))
}

// ended logs and counts the end of a request.
func (g *Gateway) ended(req *request, out *responder, refused *Refusal) {
	status := out.status
	fields := requestFields(req)
	if refused != nil {
		status = refused.Status
		fields = append(fields, zap.String(field.Reason, refused.Message), zap.Duration(field.RetryAfter, refused.RetryAfter))
	}
	if table := g.table.Load(); table != nil {
		fields = append(fields, zap.Int64(field.Config, table.Config().Version))
	}
	fields = append(fields, zap.Duration(field.Patience, req.call.Patience), zap.Duration(field.Queued, req.queued), zap.Duration(field.First, req.first),
		zap.String(field.Target, req.target), zap.Int(field.PromptTokens, req.call.PromptTokens))
	fields = append(fields, zap.Int(field.Status, status), zap.Int(field.Bytes, out.bytes), zap.Bool(field.Complete, out.complete))
	g.settings.Log.Info("ended", fields...)
	kind := "none"
	if req.route != nil {
		kind = req.route.Kind.String()
	}
	labels := metric.WithAttributes(attribute.String("kind", kind), attribute.Int("tier", req.tier),
		attribute.String("status", strconv.Itoa(status)))
	g.settings.Metrics.requests.Add(context.Background(), 1, labels)
	g.settings.Metrics.total.Record(context.Background(), time.Since(req.arrived).Seconds(),
		metric.WithAttributes(attribute.String("kind", kind)))
}

// observeFirst records the time to the first event or the answer.
func (g *Gateway) observeFirst(a *attempt) {
	if a.req.first == 0 {
		a.req.first = time.Since(a.req.arrived)
	}
	g.settings.Metrics.first.Record(context.Background(), a.first.Seconds(),
		metric.WithAttributes(attribute.String("kind", a.req.route.Kind.String())))
}
