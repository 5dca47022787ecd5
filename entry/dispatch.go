package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/engine"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const tracerName = "github.com/basilloom/basilloom/entry"

// crashCheckTimeout bounds the check whether a target whose connection broke has crashed.
const crashCheckTimeout = time.Second

var errPreempted = errors.New("cancelled in favour of a higher tier")

// dispatchGuard decides whether a request may be dispatched.
type dispatchGuard interface {
	// begin is called immediately before the dispatch, which an error prevents.
	begin(ctx context.Context) *RequestError
}

// noGuard is the dispatchGuard of idempotent requests, which need no claim.
type noGuard struct{}

func (noGuard) begin(context.Context) *RequestError { return nil }

// serveOnce acquires a grant and dispatches the request. It retries only while no
// byte of the request has been written to a target.
func (e *Entry) serveOnce(ctx context.Context, out *responder, req *request, guard dispatchGuard) *RequestError {
	for {
		run, reqErr := e.acquire(ctx, req)
		if reqErr != nil {
			return reqErr
		}
		if run != nil {
			reqErr, retry := e.dispatch(ctx, out, run, guard)
			if !retry {
				return reqErr
			}
		}
		if !e.retries.withdraw() {
			return refuse(http.StatusServiceUnavailable, ReasonRetryBudget, "no target could be reached")
		}
	}
}

// run is one use of a grant.
type run struct {
	req     *request
	call    *broker.Call
	grant   broker.Grant
	target  engine.Target
	started time.Time
	// firstToken is the time from the dispatch to the first token or to the response.
	firstToken time.Duration
	tokens     int
	usage      engine.Usage
}

// acquire waits for a grant. It returns nil and no error if the grant can no longer
// be used and the request should wait for another one.
func (e *Entry) acquire(ctx context.Context, req *request) (*run, *RequestError) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "wait for grant")
	defer span.End()
	req.version = e.settings.Versions.Choose(req.route, req.id)
	key := broker.GroupKey{Pool: req.route.GetPool(), Shard: req.shard()}
	call := e.settings.Tickets.Submit(key, req.ticket(broker.Traceparent(ctx)), req.deadline)
	grant, err := call.Wait(ctx)
	var refused *broker.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, schedulerRefusal(refused.Reason, time.Duration(refused.RetryAfter)*time.Millisecond)
	case err != nil:
		return nil, callerDisconnected(NotRun)
	}
	target, ok := e.usable(req, grant)
	if !ok {
		call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		return nil, nil
	}
	span.SetAttributes(attribute.String("basilloom.target", target.Name))
	return &run{req: req, call: call, grant: grant, target: target}, nil
}

// usable checks a grant against the current state, because the target may have left
// or its version may have been stopped since the grant was made.
func (e *Entry) usable(req *request, grant broker.Grant) (engine.Target, bool) {
	target := e.settings.Snapshot().Target(grant.Target)
	if target == nil || target.GetLeaving() || e.settings.Targets.Leaving(grant.Target) {
		req.avoid = append(req.avoid, grant.Target)
		return engine.Target{}, false
	}
	if time.Now().After(grant.Expires) || !e.settings.Versions.Allowed(req.route, req.version) {
		return engine.Target{}, false
	}
	return engine.Target{Name: target.GetName(), Address: target.GetAddress()}, true
}

// dispatch sends the request to the granted target. retry is set if the request
// certainly did not run and may be granted again.
func (e *Entry) dispatch(ctx context.Context, out *responder, r *run, guard dispatchGuard) (reqErr *RequestError, retry bool) {
	if reqErr := guard.begin(ctx); reqErr != nil {
		r.call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		return reqErr, false
	}
	// Writing a claim may take longer than the grant is valid.
	if _, ok := e.usable(r.req, r.grant); !ok {
		r.call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		return nil, true
	}
	if r.req.route.GetNonIdempotent() {
		// The response is stored for a repeated call even if this caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("basilloom.target", r.target.Name)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, responseTimeout(r.req.route))
	defer cancel()
	ctx, preempt := context.WithCancelCause(ctx)
	defer preempt(nil)
	go watchPreemption(ctx, r.call, preempt)
	r.call.Dispatched()
	r.started = time.Now()
	err := e.relay(ctx, out, r)
	return e.conclude(ctx, r, err)
}

func watchPreemption(ctx context.Context, call *broker.Call, preempt context.CancelCauseFunc) {
	select {
	case <-call.Cancelled():
		preempt(errPreempted)
	case <-ctx.Done():
	}
}

func (e *Entry) relay(ctx context.Context, out *responder, r *run) error {
	if r.req.chat != nil {
		return e.relayChat(ctx, out, r)
	}
	return e.relayService(ctx, out, r)
}

// conclude reports the result of a run to the broker and to the version move.
func (e *Entry) conclude(ctx context.Context, r *run, err error) (reqErr *RequestError, retry bool) {
	var dispatchErr *engine.DispatchError
	if errors.As(err, &dispatchErr) && dispatchErr.SafeToRetry() {
		r.call.Complete(r.completion(pb.Result_RESULT_NOT_DISPATCHED))
		if context.Cause(ctx) != nil {
			return callerDisconnected(NotRun), false
		}
		r.req.avoid = append(r.req.avoid, r.target.Name)
		return nil, true
	}
	result, reqErr := classify(ctx, err)
	if result == pb.Result_RESULT_TARGET_DIED {
		e.completeDisconnected(r)
	} else {
		r.call.Complete(r.completion(result))
	}
	if result != pb.Result_RESULT_CANCELLED {
		e.settings.Versions.Observe(r.sample(err != nil))
	}
	return reqErr, false
}

// classify maps the error of a dispatched request to its result. RESULT_TARGET_DIED
// is provisional until completeDisconnected has checked the target.
func classify(ctx context.Context, err error) (pb.Result, *RequestError) {
	var responseErr *engine.ResponseError
	var dispatchErr *engine.DispatchError
	switch {
	case err == nil:
		return pb.Result_RESULT_SERVED, nil
	case errors.Is(context.Cause(ctx), errPreempted):
		return pb.Result_RESULT_CANCELLED, fail(http.StatusServiceUnavailable, ReasonPreempted, "%v", errPreempted)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return pb.Result_RESULT_FAILED, fail(http.StatusGatewayTimeout, ReasonTimeout, "the target did not answer in time")
	case context.Cause(ctx) != nil || errors.Is(err, errCallerWrite):
		return pb.Result_RESULT_CANCELLED, callerDisconnected(Failed)
	case errors.As(err, &responseErr):
		return classifyResponse(responseErr)
	case errors.As(err, &dispatchErr) && dispatchErr.Broken:
		return pb.Result_RESULT_TARGET_DIED, fail(http.StatusBadGateway, ReasonTargetConnectionLost, "the connection to the target broke")
	default:
		return pb.Result_RESULT_FAILED, fail(http.StatusBadGateway, ReasonTargetError, "the target failed")
	}
}

func classifyResponse(err *engine.ResponseError) (pb.Result, *RequestError) {
	if err.Broken {
		return pb.Result_RESULT_TARGET_DIED, fail(http.StatusBadGateway, ReasonTargetConnectionLost, "the connection to the target broke")
	}
	reason := ReasonTargetError
	switch err.Kind {
	case engine.ResponseMismatched:
		reason = ReasonMismatchedResponse
	case engine.ResponseTruncated:
		reason = ReasonTruncatedResponse
	}
	return pb.Result_RESULT_FAILED, fail(http.StatusBadGateway, reason, "%v", err)
}

// completeDisconnected completes a run whose connection broke, after checking whether
// the target crashed. The caller waits for the check, because a request that crashes
// targets must be a suspect before its caller can retry it.
func (e *Entry) completeDisconnected(r *run) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	result := pb.Result_RESULT_FAILED
	if e.settings.Engine.RefusesConnections(ctx, r.target) {
		result = pb.Result_RESULT_TARGET_DIED
	}
	r.call.Complete(r.completion(result))
}

func (r *run) completion(result pb.Result) *pb.Completion {
	c := &pb.Completion{
		Result:       result,
		OutputTokens: int32(max(r.tokens, r.usage.CompletionTokens)),
		FirstTokenMs: r.firstToken.Milliseconds(),
		TotalMs:      time.Since(r.started).Milliseconds(),
		CachedTokens: int32(r.usage.PromptDetails.CachedTokens),
		PromptTokens: int32(r.usage.PromptTokens),
	}
	if r.req.chat != nil && c.PromptTokens == 0 {
		c.PromptTokens = int32(r.req.chat.promptTokens)
	}
	return c
}

func (r *run) sample(failed bool) Sample {
	s := Sample{Route: r.req.route.GetName(), Version: r.req.version, Failed: failed, FirstToken: r.firstToken}
	if r.tokens > 1 {
		s.TokenInterval = (time.Since(r.started) - r.firstToken) / time.Duration(r.tokens-1)
	}
	return s
}

func responseTimeout(route *pb.Route) time.Duration {
	if d := route.GetResponseTimeout(); d != nil {
		return d.AsDuration()
	}
	return DefaultResponseTimeout
}
