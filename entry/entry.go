package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/gateway"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Sample holds the measurements of one dispatched request for its target version.
type Sample struct {
	Route   string
	Version string
	Failed  bool
	// FirstToken is measured from the dispatch. TokenInterval is the mean time
	// between two tokens, 0 if there are fewer than two.
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Versions chooses target versions while version moves are in progress.
type Versions interface {
	// Choose returns the version for a request; empty means any.
	Choose(route *pb.Route, requestID string) string
	// Allowed reports whether requests may still be dispatched to the version.
	Allowed(route *pb.Route, version string) bool
	// Observe records the measurements of a dispatched request.
	Observe(Sample)
}

// Targets provides the state of targets that is not part of the configuration.
type Targets interface {
	// Leaving reports whether the target must get no new work.
	Leaving(target string) bool
}

// Settings holds the dependencies of an Entry.
type Settings struct {
	Snapshot func() *config.Snapshot
	// FleetSize is the number of live instances.
	FleetSize func() int
	Tickets   *broker.Client
	Engine    *engine.Client
	Versions  Versions
	Targets   Targets
	Claims    Claims
	// Memory bounds what all requests hold.
	Memory  *gateway.Memory
	Metrics *Metrics
	Log     *zap.Logger
}

// Entry is the callers' HTTP handler.
type Entry struct {
	settings Settings
	limits   *workspaceLimits
	retries  *retryBudget

	mu       sync.Mutex
	draining bool
	inFlight drain.Counter
}

// New returns an Entry.
func New(settings Settings) *Entry {
	return &Entry{settings: settings, limits: newWorkspaceLimits(), retries: newRetryBudget()}
}

// begin adds a request to those in flight. It returns false if the entry is draining.
func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.inFlight.Begin()
	return true
}

// Drain refuses new requests and returns when the accepted ones have ended, or with
// the context's error.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.inFlight.Wait(ctx)
}

// ServeHTTP serves one call.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	if !e.begin() {
		refuse(http.StatusServiceUnavailable, ReasonShuttingDown, "this instance is shutting down").write(w, id)
		return
	}
	defer e.inFlight.End()
	holding, err := e.settings.Memory.Hold()
	defer holding.Release()
	if err != nil {
		noMemory().write(w, id)
		return
	}
	req, reqErr := e.admit(w, r, id, holding)
	if reqErr != nil {
		e.settings.Metrics.countRefused(r.Context(), req, reqErr)
		reqErr.write(w, id)
		return
	}
	e.retries.deposit()
	out := &responder{w: w, r: r, req: req}
	reqErr = e.serve(r.Context(), out, req)
	e.settings.Metrics.countEnded(r.Context(), req, out, reqErr)
	e.log(req, reqErr)
	out.finish(reqErr)
}

func (e *Entry) serve(ctx context.Context, out *responder, req *request) *RequestError {
	if req.route.GetNonIdempotent() {
		return e.serveClaimed(ctx, out, req)
	}
	return e.serveOnce(ctx, out, req, noGuard{})
}

func (e *Entry) log(req *request, reqErr *RequestError) {
	if reqErr == nil {
		return
	}
	e.settings.Log.Info("request not served",
		zap.String(field.RequestID, req.id),
		zap.String(field.Workspace, req.workspace.GetName()),
		zap.String(field.Route, req.route.GetName()),
		zap.String(field.Tier, req.tier.GetName()),
		zap.String(field.Outcome, string(reqErr.Outcome)),
		zap.String(field.Reason, string(reqErr.Reason)),
		zap.Duration(field.Elapsed, time.Since(req.arrived)))
}

// callerDisconnected returns the error of a request whose caller closed the connection.
func callerDisconnected(outcome Outcome) *RequestError {
	return &RequestError{
		Outcome: outcome,
		Reason:  ReasonCallerDisconnected,
		Status:  statusClientClosedRequest,
		Message: "the caller closed the connection",
	}
}

// statusClientClosedRequest is the customary status for a disconnected caller. It
// appears in logs and metrics only.
const statusClientClosedRequest = 499

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
