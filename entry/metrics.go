package entry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics holds the metrics of requests as callers see them.
type Metrics struct {
	requests   metric.Int64Counter
	firstToken metric.Float64Histogram
	tokens     metric.Int64Counter
}

// NewMetrics registers the metrics of an entry.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	requests, err := meter.Int64Counter("basilloom.requests",
		metric.WithDescription("Requests by tier, outcome and reason."))
	if err != nil {
		return nil, fmt.Errorf("register requests: %w", err)
	}
	firstToken, err := meter.Float64Histogram("basilloom.first_token",
		metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the first token of served requests."),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30))
	if err != nil {
		return nil, fmt.Errorf("register first token: %w", err)
	}
	tokens, err := meter.Int64Counter("basilloom.tokens",
		metric.WithDescription("Generated tokens delivered to callers."))
	if err != nil {
		return nil, fmt.Errorf("register tokens: %w", err)
	}
	return &Metrics{requests: requests, firstToken: firstToken, tokens: tokens}, nil
}

// countRefused counts a call that was not admitted. req is nil if the call has no
// known workspace.
func (m *Metrics) countRefused(ctx context.Context, req *request, reqErr *RequestError) {
	tier := ""
	if req != nil {
		tier = req.tier.GetName()
	}
	m.count(ctx, tier, reqErr)
}

func (m *Metrics) countEnded(ctx context.Context, req *request, out *responder, reqErr *RequestError) {
	m.count(ctx, req.tier.GetName(), reqErr)
	tier := metric.WithAttributes(attribute.String("tier", req.tier.GetName()))
	m.tokens.Add(ctx, int64(out.tokens), tier)
	if reqErr == nil {
		m.firstToken.Record(ctx, out.firstToken.Seconds(), tier)
	}
}

func (m *Metrics) count(ctx context.Context, tier string, reqErr *RequestError) {
	outcome, reason := Served, Reason("")
	if reqErr != nil {
		outcome, reason = reqErr.Outcome, reqErr.Reason
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("tier", tier),
		attribute.String("outcome", string(outcome)),
		attribute.String("reason", string(reason))))
}
