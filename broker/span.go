package broker

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/basilloom/basilloom/scheduler"
)

const (
	tracerName = "github.com/basilloom/basilloom/broker"
	// maxSpans bounds the number of open spans, one for each sampled ticket that
	// waits for its decision. Further tickets get no span.
	maxSpans = 1024
)

// spans holds the spans of sampled tickets from their arrival to their first decision.
type spans map[scheduler.TicketID]trace.Span

// begin starts the span of a ticket that carries a trace context.
func (s spans) begin(now time.Time, key GroupKey, id scheduler.TicketID, traceparent string) {
	if traceparent == "" || s[id] != nil || len(s) >= maxSpans {
		return
	}
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	_, s[id] = otel.Tracer(tracerName).Start(ctx, "schedule",
		trace.WithSpanKind(trace.SpanKindServer), trace.WithTimestamp(now),
		trace.WithAttributes(attribute.String("basilloom.group", key.String())))
}

// decided records the decision on a ticket in its span and ends the span.
func (s spans) decided(now time.Time, d scheduler.Decision) {
	id, ok := decisionTicket(d)
	if !ok || s[id] == nil {
		return
	}
	switch d := withoutForecast(d).(type) {
	case scheduler.Grant:
		s[id].SetAttributes(attribute.String("basilloom.target", d.Target))
	case scheduler.Refusal:
		s[id].SetAttributes(attribute.String("basilloom.reason", string(d.Reason)))
	}
	s.end(now, id)
}

// end ends the span of a ticket.
func (s spans) end(now time.Time, id scheduler.TicketID) {
	if span, ok := s[id]; ok {
		span.End(trace.WithTimestamp(now))
		delete(s, id)
	}
}

// Traceparent returns the trace context for a ticket, so that the span of its
// decision joins the caller's trace; empty if the trace is not sampled.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}
