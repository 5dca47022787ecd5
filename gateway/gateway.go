// Package gateway implements the HTTP handler that forwards callers' requests to
// the targets of a platform. For each request it decides which target runs it,
// whether it waits or is refused, and whether it may be retried.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/forward"
	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/rollout"
	"github.com/basilloom/basilloom/routing"
)

// Settings holds the dependencies of a Gateway.
type Settings struct {
	HeaderCodec  HeaderCodec
	Pool         *forward.Pool
	Placer       *Placer
	Ledger       *quota.Ledger
	RetryBudgets *quota.RetryBudgets
	// Rollouts chooses the versions to use while services change versions.
	Rollouts *rollout.Tracker
	// OnBegun is called with the shared parts of a prompt when a request with it begins to
	// receive its response; may be nil.
	OnBegun func(sharedParts []uint64)
	Metrics *Metrics
	Log     *zap.Logger
}

// Gateway serves callers' requests.
type Gateway struct {
	settings Settings
	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	inFlight drain.Counter
}

// New returns a Gateway without a configuration.
func New(settings Settings) *Gateway { return &Gateway{settings: settings} }

// SetTable makes a configuration the current one.
func (g *Gateway) SetTable(table *routing.Table) {
	g.table.Store(table)
	now := time.Now()
	for _, w := range table.Config().Workspaces {
		if w.Quota.Rate > 0 {
			g.settings.Ledger.AddBucket(now, w.Name, limitOf(w.Quota))
		}
	}
}

// Table returns the current configuration, or nil.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// Drain makes all further responses close their connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Wait returns when all requests have ended, or with the context's error.
func (g *Gateway) Wait(ctx context.Context) error {
	return g.inFlight.Wait(ctx)
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Begin()
	defer g.inFlight.End()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	ctx, span := otel.Tracer(tracerName).Start(
		otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header)),
		"request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	out := &responder{w: w, codec: g.settings.HeaderCodec}
	req, refused := g.admit(w, r)
	span.SetAttributes(attribute.String("basilloom.request_id", req.call.ID))
	if refused != nil {
		out.refuse(refused)
		g.recordEnd(req, out, refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline, errTimeout)
	defer cancel()
	failed := g.serve(ctx, out, req)
	if failed != nil && !out.started {
		out.refuse(failed)
	}
	g.recordEnd(req, out, failed)
	if failed != nil && out.started && !out.complete {
		// An incomplete response must not look complete to the caller.
		panic(http.ErrAbortHandler)
	}
}
