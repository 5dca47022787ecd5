package gateway

import (
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
	"github.com/basilloom/basilloom/telemetry/field"
)

var (
	errTimeout     = errors.New("the time of the request is over")
	errCallerWrite = errors.New("the caller does not take the answer")
)

const tracerName = "github.com/basilloom/basilloom/gateway"

// statusCallerGone stands for a caller that went away, in logs and metrics only.
const statusCallerGone = 499

// maxPlainAnswer bounds an answer that is read before it is passed on.
const maxPlainAnswer = 1 << 20

// waitObjectives is how many objectives a request may wait for its first event or
// answer. Under overload, longer waits make every answer late.
const waitObjectives = 1

// retryPart is the part of its remaining time after which a caller is told to ask
// again when the request was refused for lack of capacity. Callers wait no longer
// than that, and a burst is more likely to be over then than after a short wait.
const retryPart = 1.0 / 3

// serve sends the request until it has an answer or may not be sent again.
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
		if again := g.mayRepeat(ctx, req, outcome); !again {
			return outcome.refusal
		}
		g.settings.Log.Info("sent again", requestFields(req, zap.String(field.RetryCause, outcome.reason),
			zap.String(field.Target, s.target.ID))...)
	}
}

// acquire waits for a target.
func (g *Gateway) acquire(ctx context.Context, req *request) (*slot, *Refusal) {
	deadline := req.arrived.Add(waitObjectives * req.objective())
	if req.sends > 0 {
		// A request that has been sent is worth the wait for its whole time.
		deadline = req.deadline
	}
	began := time.Now()
	service := req.service.Name
	version, settled := g.settings.Rollouts.Choose(service, req.sends > 0), g.settings.Rollouts.Choose(service, true)
	s, err := g.place(ctx, req, version, trialDeadline(req, version != settled, deadline))
	var refused *RefusedError
	if errors.As(err, &refused) && version != settled {
		// The few targets of a version under trial may all be out of use.
		s, err = g.place(ctx, req, settled, deadline)
	}
	req.queued += time.Since(began)
	switch {
	case err == nil:
		return s, nil
	case req.ran:
		return nil, mayHaveRun(http.StatusBadGateway, "no target could take the request again")
	case errors.As(err, &refused):
		retry := max(refused.RetryAfter, time.Duration(retryPart*float64(req.left(time.Now()))))
		return nil, notRun(http.StatusServiceUnavailable, string(refused.Reason), retry)
	case errors.Is(err, errTimeout):
		return nil, notRun(http.StatusServiceUnavailable, "the request waited for too long", minRetryAfter)
	default:
		return nil, reject(statusCallerGone, "the caller closed the connection")
	}
}

// trialPart is the part of the objective for which a request waits for a target of
// a version under trial before it takes another version.
const trialPart = 0.25

// trialDeadline shortens the wait for a version under trial.
func trialDeadline(req *request, trial bool, deadline time.Time) time.Time {
	if !trial {
		return deadline
	}
	return req.arrived.Add(time.Duration(trialPart * float64(req.objective())))
}

// place waits for a slot on a target of the version.
func (g *Gateway) place(ctx context.Context, req *request, version string, deadline time.Time) (*slot, error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "wait for grant", trace.WithAttributes(
		attribute.String("basilloom.service", req.service.Name), attribute.Int("basilloom.tier", req.tier)))
	defer span.End()
	ticket := req.ticket()
	ticket.Version, ticket.Traceparent = version, broker.Traceparent(ctx)
	return g.settings.Placer.acquire(ctx, req.service, ticket, deadline)
}

// outcome is how one attempt ended.
type outcome struct {
	// done is set if the caller has its answer or must not get another one.
	done bool
	// refusal is what the caller gets if the request is not sent again.
	refusal *Refusal
	// free is set if the attempt did not reach a target, so that another one is no repeat.
	free bool
	// repeat is set if the budget of a repeat has been spent already.
	repeat bool
	reason string
}

// mayRepeat tells whether the request may be sent to another target.
func (g *Gateway) mayRepeat(ctx context.Context, req *request, o outcome) bool {
	if ctx.Err() != nil || req.left(time.Now()) <= 0 {
		return false
	}
	if o.repeat {
		return true
	}
	if o.free {
		return len(req.tried) <= maxFree
	}
	if req.ran && !req.route.Repeatable() {
		return false
	}
	if req.sends >= max(1, req.route.MaxAttempts) {
		return false
	}
	return g.settings.RetryBudgets.Withdraw(req.service.Name)
}

// notSent refuses a request of which the last attempt ran nothing. It promises
// that the request did not run only if no earlier attempt may have run it.
func (r *request) notSent(message string) *Refusal {
	if r.ran {
		return mayHaveRun(http.StatusBadGateway, message)
	}
	return notRun(http.StatusServiceUnavailable, message, minRetryAfter)
}

// maxFree bounds the targets that a request finds unreachable.
const maxFree = 4

// attempt is one send of a request to a target.
type attempt struct {
	gateway *Gateway
	req     *request
	slot    *slot
	out     *responder
	sent    time.Time

	first  time.Duration
	events int
	// lastEvents is when the last events were passed on.
	lastEvents time.Time
	// after is the id of the last event passed on; resumed is set if the target
	// was asked to continue behind it.
	after   int64
	resumed bool
}

// run sends the request and relays the answer.
func (a *attempt) run(ctx context.Context) outcome {
	result := pb.Result_RESULT_FAILED
	defer func() { a.slot.release(result, a.first, a.outputTokens()) }()
	rollouts, service, version := a.gateway.settings.Rollouts, a.req.service.Name, a.slot.target.Version
	if !rollouts.Allowed(service, version) {
		// The version was stopped while the request waited.
		result = pb.Result_RESULT_NOT_DISPATCHED
		return outcome{free: true, refusal: a.req.notSent("the version was stopped")}
	}
	defer rollouts.Begin(service, version)()
	defer func() {
		if result == pb.Result_RESULT_SERVED || result == pb.Result_RESULT_FAILED || result == pb.Result_RESULT_TARGET_DIED {
			rollouts.Observe(service, a.req.routeHash(), version, result != pb.Result_RESULT_SERVED, a.first)
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
	defer func() { _ = response.Body.Close() }()
	a.req.sends++
	answer := a.gateway.settings.HeaderCodec.DecodeResponse(response.StatusCode, response.Header)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	var o outcome
	switch {
	case answer.WrongTarget || answer.NotRun && response.StatusCode != http.StatusBadRequest:
		o, result = a.notRun(response)
	case success && !answer.Signed:
		a.req.ran = true
		o = a.failed("answer without a signature")
	case success && a.isStream(response):
		a.req.ran = true
		o, result = a.relayStream(ctx, response)
	default:
		a.req.ran = true
		o, result = a.relayPlain(ctx, response)
	}
	return o
}

func (a *attempt) outputTokens() int {
	return a.events * max(1, a.req.service.TokensPerEvent)
}

func (a *attempt) target() forward.Target {
	t := a.slot.target
	return forward.Target{ID: t.ID, StartedAtUnixMilli: t.StartedAtUnixMilli, Address: t.Address}
}

func (a *attempt) send(ctx context.Context) (*forward.Response, error) {
	header := a.req.header.Clone()
	removeHopByHop(header)
	header.Del("Content-Length")
	send := SendOptions{Target: a.slot.target.ID, Remaining: a.req.left(a.sent)}
	if a.req.workspace != nil {
		send.Workspace = a.req.workspace.Name
	}
	if a.out.started {
		a.after, a.resumed = a.out.lastEvent, true
		send.LastEventID = strconv.FormatInt(a.after, 10)
	}
	dialect := a.gateway.settings.HeaderCodec
	dialect.EncodeSend(header, send)
	a.gateway.logSend(a)
	return a.gateway.settings.Pool.Do(ctx, a.target(), &forward.Request{
		Method: a.req.method, URI: a.req.uri, Host: a.req.host, Header: header, Body: a.req.body,
		Matches: func(h http.Header) bool {
			id := dialect.DecodeResponse(0, h).RequestID
			return id == "" || id == a.req.call.ID
		},
	})
}

// sendFailed judges a send without an answer.
func (a *attempt) sendFailed(ctx context.Context, err error) (outcome, pb.Result) {
	a.tried()
	var sendErr *forward.Error
	written := !errors.As(err, &sendErr) || sendErr.Written
	if !written {
		if errors.Is(err, context.Canceled) {
			return outcome{done: true, refusal: reject(statusCallerGone, "the caller closed the connection")},
				pb.Result_RESULT_NOT_DISPATCHED
		}
		return outcome{free: true, refusal: a.req.notSent("the target could not be reached"), reason: err.Error()},
			pb.Result_RESULT_NOT_DISPATCHED
	}
	a.req.sends++
	a.req.ran = true
	switch {
	case errors.Is(err, context.Canceled):
		return outcome{done: true, refusal: reject(statusCallerGone, "the caller closed the connection")},
			pb.Result_RESULT_CANCELLED
	case errors.Is(err, errTimeout):
		return outcome{done: true, refusal: mayHaveRun(http.StatusGatewayTimeout, "the target did not answer in time")},
			pb.Result_RESULT_FAILED
	}
	return a.failed(err.Error()), a.broken(ctx)
}

// goneTimeout bounds the check whether a target with a broken connection is gone.
const goneTimeout = 200 * time.Millisecond

// broken tells a target that died from one that broke a connection.
func (a *attempt) broken(ctx context.Context) pb.Result {
	a.gateway.settings.Pool.Drop(a.target())
	probe, cancel := context.WithTimeout(context.WithoutCancel(ctx), goneTimeout)
	defer cancel()
	if a.gateway.settings.Pool.Refuses(probe, a.target()) {
		return pb.Result_RESULT_TARGET_DIED
	}
	return pb.Result_RESULT_FAILED
}

// failed ends an attempt after which the request may have run.
func (a *attempt) failed(reason string) outcome {
	a.tried()
	return outcome{refusal: mayHaveRun(http.StatusBadGateway, "the target failed"), reason: reason}
}

// tried records the target, so that it is not chosen again.
func (a *attempt) tried() {
	id := a.slot.target.ID
	if n := len(a.req.tried); n == 0 || a.req.tried[n-1] != id {
		a.req.tried = append(a.req.tried, id)
	}
}

// notRun ends an attempt of which the target states that it did not run it.
func (a *attempt) notRun(response *forward.Response) (outcome, pb.Result) {
	a.tried()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxPlainAnswer)) // to keep the connection
	return outcome{refusal: a.req.notSent("the target did not run the request"), reason: "not run: " + response.Status}, pb.Result_RESULT_NOT_DISPATCHED
}

// relayPlain reads a whole answer and passes it on.
func (a *attempt) relayPlain(ctx context.Context, response *forward.Response) (outcome, pb.Result) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlainAnswer+1))
	if err != nil || len(body) > maxPlainAnswer {
		return a.bodyFailed(ctx, err)
	}
	a.first = time.Since(a.sent)
	a.gateway.observeFirst(a)
	status := response.StatusCode
	result := pb.Result_RESULT_SERVED
	if status >= 500 {
		result = pb.Result_RESULT_FAILED
		if a.req.route.Repeatable() && a.gateway.mayRepeat(ctx, a.req, outcome{}) {
			a.tried()
			a.gateway.settings.Log.Info("target's failure not passed on",
				requestFields(a.req, zap.String(field.Target, a.slot.target.ID), zap.Int(field.Status, status))...)
			return outcome{refusal: mayHaveRun(http.StatusBadGateway, "the target failed"),
				reason: response.Status, repeat: true}, result
		}
	}
	if a.out.started {
		// A stream has begun, so nothing else can be said any more.
		return outcome{done: true, refusal: mayHaveRun(http.StatusBadGateway, "the stream could not be continued")}, result
	}
	if isPromise(status) {
		return outcome{done: true, refusal: mayHaveRun(http.StatusBadGateway, "the target failed")}, pb.Result_RESULT_FAILED
	}
	a.out.begin(status, response.Header, len(body))
	if err := a.out.write(body); err != nil {
		return outcome{done: true, refusal: reject(statusCallerGone, errCallerWrite.Error())}, pb.Result_RESULT_CANCELLED
	}
	a.out.complete = true
	return outcome{done: true}, result
}

// isPromise tells whether a status states that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// bodyFailed judges an answer that broke off.
func (a *attempt) bodyFailed(ctx context.Context, err error) (outcome, pb.Result) {
	switch {
	case errors.Is(err, errTimeout):
		return outcome{done: true, refusal: mayHaveRun(http.StatusGatewayTimeout, "the target did not answer in time")},
			pb.Result_RESULT_FAILED
	case ctx.Err() != nil:
		return outcome{done: true, refusal: reject(statusCallerGone, "the caller closed the connection")},
			pb.Result_RESULT_CANCELLED
	}
	reason := "answer too long"
	if err != nil {
		reason = err.Error()
	}
	return a.failed(reason), a.broken(ctx)
}
