package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/forward"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/telemetry/field"
)

var (
	errTimeout     = errors.New("request deadline exceeded")
	errCallerWrite = errors.New("the caller does not take the answer")
	errStopping    = errors.New("the instance is shutting down")
)

const tracerName = "github.com/basilloom/basilloom/gateway"

// statusClientClosedRequest marks a disconnected caller in logs and metrics only.
const statusClientClosedRequest = 499

// maxPlainResponse is the maximum size of a response that is read in full before it
// is passed on.
const maxPlainResponse = 1 << 20

// waitObjectives bounds the wait for the first event or the response, as a multiple
// of the objective. Under overload, longer waits make every response late.
const waitObjectives = 1

// retryAfterFraction is the fraction of the request's remaining time that is sent as
// the retry delay when the request is refused for lack of capacity. Callers wait no
// longer than that, and a burst is more likely to be over then than after a short wait.
const retryAfterFraction = 1.0 / 3

// serve sends the request until it has a response or may not be retried.
func (g *Gateway) serve(ctx context.Context, out *responder, req *request) *Refusal {
	defer g.refund(req)
	g.settings.RetryBudgets.Deposit(req.service.Name)
	for {
		s, refused := g.acquire(ctx, req)
		if refused != nil {
			return refused
		}
		req.target = s.target.ID
		g.countGrant(req, s)
		a := &attempt{gateway: g, req: req, slot: s, out: out, sent: time.Now()}
		outcome := a.run(ctx)
		if outcome.done {
			return outcome.refusal
		}
		if again := g.mayRetry(ctx, req, outcome); !again {
			return outcome.refusal
		}
		g.settings.Log.Info("sent again", requestFields(req, zap.String(field.RetryCause, outcome.reason),
			zap.String(field.Target, s.target.ID))...)
	}
}

// acquire waits for a slot on a target.
func (g *Gateway) acquire(ctx context.Context, req *request) (*slot, *Refusal) {
	deadline := req.arrived.Add(waitObjectives * req.objective())
	if req.sends > 0 {
		// A retry may wait until the request's deadline.
		deadline = req.deadline
	}
	deadline = g.applyForecast(req, deadline)
	if refused := g.refusedByForecast(req, deadline); refused != nil {
		return nil, req.refusedBy(refused)
	}
	began := time.Now()
	service := req.service.Name
	// During a rollout some or all requests are sent to the new version.
	allowed := g.versionsFor(req)
	version := g.settings.Rollouts.ChooseWithin(service, req.sends > 0, allowed)
	fallback := g.settings.Rollouts.FallbackWithin(service, version, allowed)
	s, err := g.place(ctx, req, version, newVersionDeadline(req, version != fallback, deadline))
	var refused *RefusedError
	if errors.As(err, &refused) && version != fallback {
		// The new version may have few targets, and all of them may be unusable.
		s, err = g.place(ctx, req, fallback, deadline)
	}
	req.queued += time.Since(began)
	switch {
	case err == nil:
		return s, nil
	case req.possiblyRan:
		return nil, mayHaveRun(http.StatusBadGateway, "no target could take the request again")
	case errors.As(err, &refused):
		return nil, req.refusedBy(refused)
	case errors.Is(err, errTimeout):
		return nil, notRun(http.StatusServiceUnavailable, "the request waited for too long", minRetryAfter)
	case errors.Is(err, errStopping):
		return nil, notRun(http.StatusServiceUnavailable, errStopping.Error(), minRetryAfter)
	default:
		return nil, reject(statusClientClosedRequest, "the caller closed the connection")
	}
}

// newVersionWaitFraction is the fraction of the objective for which a request waits for a
// target of the new version before it falls back to the old one.
const newVersionWaitFraction = 0.25

// newVersionDeadline shortens the wait for a target of the new version.
func newVersionDeadline(req *request, hasFallback bool, deadline time.Time) time.Time {
	if !hasFallback {
		return deadline
	}
	return req.arrived.Add(time.Duration(newVersionWaitFraction * float64(req.objective())))
}

// place waits for a slot on a target of the version.
func (g *Gateway) place(ctx context.Context, req *request, version string, deadline time.Time) (*slot, error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "wait for grant", trace.WithAttributes(
		attribute.String("basilloom.service", req.service.Name), attribute.Int("basilloom.tier", req.tier)))
	defer span.End()
	ticket := req.ticket()
	ticket.Version, ticket.Traceparent = version, broker.Traceparent(ctx)
	return g.settings.Placer.acquire(ctx, req.service, ticket, deadline, func() routing.Residency { return g.residency(req) })
}

// outcome is how one attempt ended.
type outcome struct {
	// done is set if the caller has its response or must not get another one.
	done bool
	// refusal is the caller's response if the request is not retried.
	refusal *Refusal
	// undelivered is set if the attempt did not reach a target; the next attempt then
	// does not count as a retry.
	undelivered bool
	// retryCharged is set if the retry budget has already been charged.
	retryCharged bool
	reason       string
}

// mayRetry reports whether the request may be sent to another target. It charges the
// retry budget if needed.
func (g *Gateway) mayRetry(ctx context.Context, req *request, o outcome) bool {
	if ctx.Err() != nil || req.remaining(time.Now()) <= 0 {
		return false
	}
	if o.retryCharged {
		return true
	}
	if o.undelivered {
		return len(req.tried) <= maxUndelivered
	}
	if req.possiblyRan && !req.route.Repeatable() {
		return false
	}
	if req.sends >= max(1, req.route.MaxAttempts) {
		return false
	}
	return g.settings.RetryBudgets.Withdraw(req.service.Name)
}

// notSent refuses a request whose last attempt did not run. It states that the
// request did not run only if no earlier attempt may have run it.
func (r *request) notSent(message string) *Refusal {
	if r.possiblyRan {
		return mayHaveRun(http.StatusBadGateway, message)
	}
	return notRun(http.StatusServiceUnavailable, message, minRetryAfter)
}

// maxUndelivered bounds the unreachable targets that a request tries.
const maxUndelivered = 4

// leavingTime is how long a target that is leaving is excluded. The exclusion ends earlier
// when a new start of the target is registered.
const leavingTime = time.Hour

// exclude stops sends to a target for a time.
func (g *Gateway) exclude(target routing.Target, d time.Duration, cause string) {
	if !g.settings.Placer.Excluded.add(target, time.Now().Add(d)) {
		return
	}
	g.settings.Log.Info("target excluded", zap.String(field.Target, target.ID), zap.String(field.Cause, cause), zap.Duration(field.Backoff, d))
}

// attempt is one attempt to run a request on a target.
type attempt struct {
	gateway *Gateway
	req     *request
	slot    *slot
	out     *responder
	sent    time.Time

	firstByte time.Duration
	events    int
	// meanGapObserved is set once the stream's mean time between events is recorded.
	meanGapObserved bool
	// lastEventsAt is when the last events were passed on.
	lastEventsAt time.Time
	// resumeAfter is the id of the last event of earlier attempts; resumed is set if
	// the target was asked to resume after it.
	resumeAfter int64
	resumed     bool
}

// run sends the request and relays the response.
func (a *attempt) run(ctx context.Context) outcome {
	result := pb.Result_RESULT_FAILED
	defer func() { a.slot.release(result, a.firstByte, a.outputTokens()) }()
	rollouts, service, version := a.gateway.settings.Rollouts, a.req.service.Name, a.slot.target.Version
	if !rollouts.Allowed(service, version) {
		// The version was stopped while the request waited.
		result = pb.Result_RESULT_NOT_DISPATCHED
		return outcome{undelivered: true, refusal: a.req.notSent("the version was stopped")}
	}
	defer rollouts.Begin(service, a.req.routeHash(), version)()
	defer func() {
		if result == pb.Result_RESULT_SERVED || result == pb.Result_RESULT_FAILED || result == pb.Result_RESULT_TARGET_DIED {
			a.observeMeanGap()
			rollouts.ObserveEnd(service, a.req.routeHash(), version, result != pb.Result_RESULT_SERVED)
		}
	}()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("basilloom.target", a.slot.target.ID), attribute.Int("basilloom.sends", a.req.sends)))
	defer func() {
		span.SetAttributes(attribute.Stringer("basilloom.result", result))
		span.End()
	}()
	response, err := a.send(ctx)
	if err != nil {
		var o outcome
		o, result = a.sendFailed(ctx, err)
		return o
	}
	closeBody := func() { _ = response.Body.Close() }
	defer func() { closeBody() }()
	a.req.sends++
	info := a.gateway.settings.HeaderCodec.DecodeResponse(response.StatusCode, response.Header)
	if info.Leaving {
		a.gateway.exclude(a.slot.target, leavingTime, "the target is leaving")
	}
	if info.ColdFor > 0 {
		a.slot.markCold(info.ColdFor)
	}
	if info.RetryAfter > 0 {
		a.gateway.exclude(a.slot.target, info.RetryAfter, "the target turned a request away")
	}
	success := response.StatusCode >= 200 && response.StatusCode < 300
	var o outcome
	switch {
	case info.RequestID != a.req.call.ID:
		// A target may repeat an earlier response on a kept connection, a refusal included.
		a.req.possiblyRan = true
		o = a.failed("response does not identify its request")
	case info.WrongTarget || info.NotRun && response.StatusCode != http.StatusBadRequest:
		closeBody = func() {} // by rejected
		o, result = a.rejected(ctx, response)
	case success && !info.Signed:
		a.req.possiblyRan = true
		o = a.failed("response has no signature")
	case success && a.isStream(response):
		a.req.possiblyRan = true
		o, result = a.relayStream(ctx, response)
	default:
		a.req.possiblyRan = true
		o, result = a.relayPlain(ctx, response)
	}
	return o
}

func (a *attempt) outputTokens() int {
	return a.events * max(1, a.req.service.TokensPerEvent)
}

func (a *attempt) target() forward.Target {
	t := a.slot.target
	return forward.Target{ID: t.ID, StartedAtUnixMilli: t.StartedAtUnixMilli, Address: t.Address, Zone: t.Zone}
}

func (a *attempt) send(ctx context.Context) (*forward.Response, error) {
	header := a.req.header.Clone()
	removeHopByHop(header)
	header.Del("Content-Length")
	send := SendOptions{Target: a.slot.target.ID, Remaining: a.req.remaining(a.sent)}
	if a.req.workspace != nil {
		send.Workspace = a.req.workspace.Name
	}
	if a.out.started {
		a.resumeAfter, a.resumed = a.out.lastEvent, true
		send.LastEventID = strconv.FormatInt(a.resumeAfter, 10)
	}
	codec := a.gateway.settings.HeaderCodec
	codec.EncodeSend(header, send)
	a.gateway.recordSend(a)
	return a.gateway.settings.Pool.Do(ctx, a.target(), &forward.Request{
		Method: a.req.method, URI: a.req.uri, Host: a.req.host, Header: header, Body: a.req.body,
		Matches: func(h http.Header) bool {
			id := codec.DecodeResponse(0, h).RequestID
			return id == "" || id == a.req.call.ID
		},
		// The next target may have crashed at the same moment. Only on a new connection
		// does another crash tell that the request caused it.
		NewConnection: a.req.targetCrashed,
		SendBy:        a.slot.sendBy(),
	})
}

// sendFailed classifies a send that got no response.
func (a *attempt) sendFailed(ctx context.Context, err error) (outcome, pb.Result) {
	if errors.Is(err, forward.ErrTooLate) {
		return outcome{undelivered: true, refusal: a.req.notSent("the target could not be reached in time"), reason: err.Error()},
			pb.Result_RESULT_NOT_DISPATCHED
	}
	a.markTried()
	var sendErr *forward.Error
	written := !errors.As(err, &sendErr) || sendErr.Written
	if !written {
		if errors.Is(err, context.Canceled) {
			return outcome{done: true, refusal: reject(statusClientClosedRequest, "the caller closed the connection")},
				pb.Result_RESULT_NOT_DISPATCHED
		}
		a.slot.markCold(0)
		return outcome{undelivered: true, refusal: a.req.notSent("the target could not be reached"), reason: err.Error()},
			pb.Result_RESULT_NOT_DISPATCHED
	}
	a.req.sends++
	a.req.possiblyRan = true
	switch {
	case errors.Is(err, context.Canceled):
		return outcome{done: true, refusal: reject(statusClientClosedRequest, "the caller closed the connection")},
			pb.Result_RESULT_CANCELLED
	case errors.Is(err, errTimeout):
		return outcome{done: true, refusal: mayHaveRun(http.StatusGatewayTimeout, "the target did not answer in time")},
			pb.Result_RESULT_FAILED
	case errors.Is(err, errStopping):
		return outcome{done: true, refusal: mayHaveRun(http.StatusBadGateway, errStopping.Error())}, pb.Result_RESULT_CANCELLED
	}
	return a.failed(err.Error()), a.brokenConnectionResult(ctx)
}

// crashCheckTimeout bounds the check whether a target whose connection broke has crashed.
const crashCheckTimeout = 200 * time.Millisecond

// brokenConnectionResult distinguishes a crashed target from one that only broke a
// connection.
func (a *attempt) brokenConnectionResult(ctx context.Context) pb.Result {
	a.slot.markCold(0)
	a.gateway.settings.Pool.Drop(a.target())
	probe, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	if a.gateway.settings.Pool.RefusesConnections(probe, a.target()) {
		a.gateway.settings.Log.Info("target crashed under a request", requestFields(a.req, zap.String(field.Target, a.slot.target.ID),
			zap.Uint64(field.Fingerprint, a.req.fingerprint), zap.Int(field.Events, a.events), zap.Uint64s(field.SharedParts, a.req.call.SharedParts))...)
		a.req.targetCrashed = true
		return pb.Result_RESULT_TARGET_DIED
	}
	return pb.Result_RESULT_FAILED
}

// failed ends an attempt after which the request may have run.
func (a *attempt) failed(reason string) outcome {
	a.markTried()
	return outcome{refusal: mayHaveRun(http.StatusBadGateway, "the target failed"), reason: reason}
}

// markTried records the target, so that it is not chosen again.
func (a *attempt) markTried() {
	id := a.slot.target.ID
	if n := len(a.req.tried); n == 0 || a.req.tried[n-1] != id {
		a.req.tried = append(a.req.tried, id)
	}
}

// rejectionTimeout bounds the wait for the end of a rejection, which delays the next attempt.
// The body of a rejection is short and arrives with its header.
const rejectionTimeout = 200 * time.Millisecond

// rejected ends an attempt whose target states that it did not run the request. A response
// that breaks off states nothing.
func (a *attempt) rejected(ctx context.Context, response *forward.Response) (outcome, pb.Result) {
	ended := make(chan error, 1)
	go func() { ended <- discardBody(response.Body) }()
	var err error
	select {
	case err = <-ended:
	case <-time.After(rejectionTimeout):
		err = errLongRejection
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		a.req.possiblyRan = true
		return a.bodyFailed(ctx, err)
	}
	a.markTried()
	return outcome{refusal: a.req.notSent("the target did not run the request"), reason: "not run: " + response.Status}, pb.Result_RESULT_NOT_DISPATCHED
}

var errLongRejection = errors.New("the body of a rejection does not end")

// discardBody reads a body to its end and closes it. It reports whether the response is whole.
func discardBody(body io.ReadCloser) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxPlainResponse+1))
	if n > maxPlainResponse {
		err = errLongRejection
	}
	_ = body.Close() // the connection cannot be used again if the body has not ended
	return err
}

// relayPlain reads a whole response and passes it on.
func (a *attempt) relayPlain(ctx context.Context, response *forward.Response) (outcome, pb.Result) {
	limited := io.LimitReader(response.Body, maxPlainResponse+1)
	body, err := a.req.holding.read(limited, response.ContentLength)
	defer a.req.holding.shrink(int64(cap(body)))
	if errors.Is(err, errNoMemory) && a.mayPassThrough(response) {
		return a.passThrough(ctx, response, body, limited)
	}
	if err != nil || len(body) > maxPlainResponse {
		return a.bodyFailed(ctx, err)
	}
	a.firstByte = time.Since(a.sent)
	a.gateway.observeFirst(a)
	status := response.StatusCode
	result := pb.Result_RESULT_SERVED
	if status >= 500 {
		result = pb.Result_RESULT_FAILED
		if a.req.route.Repeatable() && a.gateway.mayRetry(ctx, a.req, outcome{}) {
			a.markTried()
			a.gateway.settings.Log.Info("error response of target discarded for a retry",
				requestFields(a.req, zap.String(field.Target, a.slot.target.ID), zap.Int(field.Status, status))...)
			return outcome{refusal: mayHaveRun(http.StatusBadGateway, "the target failed"),
				reason: response.Status, retryCharged: true}, result
		}
	}
	if a.out.started {
		// Part of a stream was sent, so no other response is possible.
		return outcome{done: true, refusal: mayHaveRun(http.StatusBadGateway, "the stream could not be continued")}, result
	}
	if impliesNotRun(status) {
		return outcome{done: true, refusal: mayHaveRun(http.StatusBadGateway, "the target failed")}, pb.Result_RESULT_FAILED
	}
	a.out.begin(status, response.Header, len(body))
	defer a.out.limitWait()()
	if err := a.out.write(body); err != nil {
		return outcome{done: true, refusal: reject(statusClientClosedRequest, errCallerWrite.Error())}, pb.Result_RESULT_CANCELLED
	}
	a.out.complete = true
	return outcome{done: true}, result
}

// mayPassThrough reports whether a response may be passed on before its end is read. It is
// then too late for another attempt.
func (a *attempt) mayPassThrough(response *forward.Response) bool {
	return response.StatusCode < http.StatusInternalServerError && !impliesNotRun(response.StatusCode) && !a.out.started
}

// passThrough passes on a response for which there is no memory, beginning with the bytes
// that have been read.
func (a *attempt) passThrough(ctx context.Context, response *forward.Response, begun []byte, rest io.Reader) (outcome, pb.Result) {
	a.firstByte = time.Since(a.sent)
	a.gateway.observeFirst(a)
	a.out.begin(response.StatusCode, response.Header, int(response.ContentLength))
	all := io.MultiReader(bytes.NewReader(begun), rest)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := all.Read(buffer)
		if writeErr := a.out.write(buffer[:n]); writeErr != nil {
			return outcome{done: true, refusal: reject(statusClientClosedRequest, errCallerWrite.Error())}, pb.Result_RESULT_CANCELLED
		}
		tooLong := a.out.bytes > maxPlainResponse
		if errors.Is(err, io.EOF) && !tooLong {
			a.out.complete = true
			return outcome{done: true}, pb.Result_RESULT_SERVED
		}
		if err != nil || tooLong {
			o, result := a.bodyFailed(ctx, err)
			o.done = true
			return o, result
		}
	}
}

// impliesNotRun reports whether a status states that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// bodyFailed classifies a response whose body could not be read completely.
func (a *attempt) bodyFailed(ctx context.Context, err error) (outcome, pb.Result) {
	switch {
	case errors.Is(err, errTimeout):
		return outcome{done: true, refusal: mayHaveRun(http.StatusGatewayTimeout, "the target did not answer in time")},
			pb.Result_RESULT_FAILED
	case errors.Is(err, errStopping):
		return outcome{done: true, refusal: mayHaveRun(http.StatusBadGateway, errStopping.Error())}, pb.Result_RESULT_CANCELLED
	case ctx.Err() != nil:
		return outcome{done: true, refusal: reject(statusClientClosedRequest, "the caller closed the connection")},
			pb.Result_RESULT_CANCELLED
	}
	reason := "response exceeds the size limit"
	if err != nil {
		reason = err.Error()
	}
	return a.failed(reason), a.brokenConnectionResult(ctx)
}
