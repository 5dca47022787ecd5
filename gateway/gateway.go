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
	HeaderCodec HeaderCodec
	Pool        *forward.Pool
	Placer      *Placer
	Ledger      *quota.Ledger
	// Memory bounds what all requests hold.
	Memory       *Memory
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
	// endBy is when all requests must have ended, nil unless the gateway is closing.
	endBy atomic.Pointer[time.Time]
	// aborted ends the requests that are left when the gateway stops.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns a Gateway without a configuration.
func New(settings Settings) *Gateway {
	g := &Gateway{settings: settings}
	g.aborted, g.abort = context.WithCancel(context.Background())
	return g
}

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

// RefuseBeyond refuses further requests that may last beyond endBy: their responses could
// not be awaited, and another instance can serve them.
func (g *Gateway) RefuseBeyond(endBy time.Time) { g.endBy.Store(&endBy) }

// Abort ends all requests. Those whose response has not begun get one that states whether
// they may have run.
func (g *Gateway) Abort() { g.abort() }

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
	// Replaces the deadlines of the connection's last request.
	out.writeBy(time.Now().Add(defaultTimeout))
	out.readBodyBy(r, time.Now().Add(defaultTimeout))
	req, refused := g.admit(out, r)
	defer req.holding.release()
	span.SetAttributes(attribute.String("basilloom.request_id", req.call.ID))
	if refused != nil {
		out.refuse(refused)
		g.recordEnd(req, out, refused)
		return
	}
	out.writeBy(req.deadline.Add(writeGrace))
	out.readBudget = g.readBudget(req)
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline, errTimeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer context.AfterFunc(g.aborted, func() { cancelCause(errStopping) })()
	failed := g.serve(ctx, out, req)
	if failed != nil && !out.started {
		out.refuse(failed)
	}
	g.recordEnd(req, out, failed)
	if failed != nil && out.started && !out.complete {
		// An incomplete response must not look complete to the caller.
		drain.Abort(r)
	}
}
