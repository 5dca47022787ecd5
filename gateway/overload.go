package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// shortTimeoutObjectives is the number of objectives in a route's timeout below which a
	// caller has no time for a full wait and a second attempt.
	shortTimeoutObjectives = 4
)

// applyForecast decides whether the request may be refused by its forecast wait, and returns
// the end of its wait. A request that was sent may not: its caller could not send it again.
// It applies to model engines, whose slots one broker grants: the groups of plain services
// do not see the requests of the other instances.
func (g *Gateway) applyForecast(req *request, deadline time.Time) time.Time {
	req.forecastAdmission = req.service.Engine && req.sends == 0 && (g.settings.Placer.Groups.Overload || req.hasShortTimeout())
	if !req.forecastAdmission {
		return deadline
	}
	now := time.Now()
	answerBy := now.Add(time.Duration(scheduler.AnswerShare * float64(req.remaining(now))))
	if answerBy.Before(deadline) {
		return answerBy
	}
	return deadline
}

// reasonEntryForecast is the reason of a refusal that this instance made by the broker's
// forecast, without a ticket.
const reasonEntryForecast scheduler.Reason = "forecast of the entry"

// retryJitter is the part of a retry time that is random, so that callers that are refused
// together do not return together.
const retryJitter = 0.3

// refusedByForecast refuses a request whose forecast wait is far beyond the end of its wait.
func (g *Gateway) refusedByForecast(req *request, deadline time.Time) *RefusedError {
	if !req.forecastAdmission || !g.settings.Placer.Groups.Overload {
		return nil
	}
	useful := time.Until(deadline)
	a := broker.Attempt{Tier: scheduler.Rank(req.tier), Useful: useful, Whole: !deadline.Before(req.arrived.Add(req.objective()))}
	if req.workspace != nil {
		a.Workspace = req.workspace.Name
	}
	wait, refused := g.settings.Placer.refusedByForecast(req.service, a)
	if !refused {
		return nil
	}
	longest := retryAfterFraction * float64(req.remaining(time.Now()))
	retry := time.Duration((1 - retryJitter*rand.Float64()) * longest)
	return &RefusedError{Reason: reasonEntryForecast, RetryAfter: retry, Forecast: wait}
}

// Times that callers wait for the next event of a stream before they give up: the longest of
// abandonAfter, abandonObjectives objectives and abandonGaps times the route's GapObjective.
const (
	abandonAfter      = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
	// writePause is the part of each write that is not taken from the read budget. A busy
	// process takes that long itself; a write to a slow caller waits until the kernel has
	// passed on a third of its buffer.
	writePause = 100 * time.Millisecond
)

// readBudget returns how long the writes of a stream may wait for its caller in all; 0
// without a bound. A caller that reads more slowly than its stream holds a slot of an engine
// that others wait for. It gets as much time as callers give to a stream.
func (g *Gateway) readBudget(req *request) time.Duration {
	if !g.settings.Placer.Groups.Overload || !req.service.Engine {
		return 0
	}
	return max(abandonAfter, abandonObjectives*req.objective(), abandonGaps*req.route.GapObjective)
}

// limitWait bounds the writes until the returned function is called by the rest of the read
// budget, which their time is taken from.
func (o *responder) limitWait() func() {
	if o.readBudget <= 0 {
		return func() {}
	}
	began, deadline := time.Now(), o.deadline
	if end := began.Add(o.readBudget - o.waited); end.Before(deadline) {
		o.writeBy(end)
	}
	return func() {
		o.waited += max(0, time.Since(began)-writePause)
		if o.waited < o.readBudget {
			o.writeBy(deadline)
		}
	}
}

// hasShortTimeout reports whether the objective is more than a quarter of the timeout.
func (r *request) hasShortTimeout() bool {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return shortTimeoutObjectives*r.objective() > timeout
}

// refusedBy returns the refusal of a request that a group refused. Callers wait for at most
// retryAfterFraction of their remaining time; the forecast may name a shorter time.
func (r *request) refusedBy(refused *RefusedError) *Refusal {
	retry := time.Duration(retryAfterFraction * float64(r.remaining(time.Now())))
	switch {
	case !r.forecastAdmission:
		retry = max(refused.RetryAfter, retry)
	case refused.RetryAfter > 0:
		retry = min(refused.RetryAfter, retry)
	}
	refusal := notRun(http.StatusServiceUnavailable, string(refused.Reason), retry)
	if refused.Forecast > 0 {
		refusal.logFields = []zap.Field{zap.Duration(field.Forecast, refused.Forecast)}
	}
	return refusal
}
