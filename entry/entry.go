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
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Sample is what one dispatched request showed of a target version.
type Sample struct {
	Route   string
	Version string
	Failed  bool
	// FirstToken is measured from the dispatch. TokenInterval is the mean time
	// between two tokens, 0 if there are fewer than two.
	FirstToken    time.Duration
	TokenInterval time.Duration
	Intervals     int
}

// Versions chooses target versions while version moves are in progress.
type Versions interface {
	// Choose returns the version for a request; empty means any.
	Choose(route *pb.Route, requestID string) string
	// Allowed tells whether the version may still be dispatched to.
	Allowed(route *pb.Route, version string) bool
	// Observe records how a dispatched request went.
	Observe(Sample)
}

// Targets tells what this instance knows of targets besides the configuration.
type Targets interface {
	// Leaving tells whether the target must get no new work.
	Leaving(target string) bool
}

// Settings is what an Entry works with.
type Settings struct {
	Snapshot func() *config.Snapshot
	// FleetSize is the number of live instances.
	FleetSize func() int
	Tickets   *broker.Client
	Engine    *engine.Client
	Versions  Versions
	Targets   Targets
	Claims    Claims
	Metrics   *Metrics
	Log       *zap.Logger
}

// Entry is the callers' HTTP handler.
type Entry struct {
	settings Settings
	limits   *workspaceLimits
	retries  *retryBudget

	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
}

// New returns an Entry.
func New(settings Settings) *Entry {
	return &Entry{settings: settings, limits: newWorkspaceLimits(), retries: newRetryBudget()}
}

// begin counts a request in, unless the entry is draining.
func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.inFlight.Add(1)
	return true
}

// Drain refuses new requests and returns when all others have ended, or with
// the context's error.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return drain.Wait(ctx, &e.inFlight)
}

// ServeHTTP serves one call.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	if !e.begin() {
		refuse(http.StatusServiceUnavailable, ReasonShuttingDown, "this instance is shutting down").write(w, id)
		return
	}
	defer e.inFlight.Done()
	req, ending := e.admit(w, r, id)
	if ending != nil {
		e.settings.Metrics.refused(r.Context(), req, ending)
		ending.write(w, id)
		return
	}
	e.retries.deposit()
	out := &responder{w: w, req: req}
	ending = e.serve(r.Context(), out, req)
	e.settings.Metrics.ended(r.Context(), req, out, ending)
	e.log(req, ending)
	out.finish(ending)
}

func (e *Entry) serve(ctx context.Context, out *responder, req *request) *RequestError {
	if req.route.GetNonIdempotent() {
		return e.serveClaimed(ctx, out, req)
	}
	return e.serveOnce(ctx, out, req, noClaim{})
}

func (e *Entry) log(req *request, ending *RequestError) {
	if ending == nil {
		return
	}
	e.settings.Log.Info("request not served",
		zap.String(field.RequestID, req.id),
		zap.String(field.Workspace, req.workspace.GetName()),
		zap.String(field.Route, req.route.GetName()),
		zap.String(field.Tier, req.tier.GetName()),
		zap.String(field.Outcome, string(ending.Outcome)),
		zap.String(field.Reason, string(ending.Reason)),
		zap.Duration(field.Elapsed, time.Since(req.arrived)))
}

// callerGone is the end of a request whose caller closed the connection.
func callerGone(outcome Outcome) *RequestError {
	return &RequestError{
		Outcome: outcome,
		Reason:  ReasonCallerDisconnected,
		Status:  statusClientClosed,
		Message: "the caller closed the connection",
	}
}

// statusClientClosed is the customary status for a caller that went away; it is
// seen in logs and metrics only.
const statusClientClosed = 499

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
