package fuzz

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/scheduler"
)

// claimOutcomes maps claim outcomes that forbid a dispatch to request outcomes.
var claimOutcomes = map[claims.Outcome]outcome{
	claims.Refused:    outcomeNotRun,
	claims.InProgress: outcomeUnknown,
	claims.Unknown:    outcomeUnknown,
	claims.KeyReused:  outcomeUnknown,
}

// claimCall claims a non-idempotent call and reports whether it may run.
func (e *entryRole) claimCall(r *request) bool {
	begun, _ := e.in.claims.Begin(e.in.world.ctx, claims.Request{
		Key:         claims.Key{Workspace: r.workspace, Route: r.route, Caller: r.claimKey},
		Fingerprint: r.fingerprint,
		Timeout:     responseTimeout,
	})
	e.in.world.logf("request %s claims %s: %v", r.id, r.claimKey, begun.Outcome)
	if begun.Outcome == claims.Acquired {
		r.claim = begun.Claim
		return true
	}
	e.complete(r.key, e.ticketID(r), scheduler.ResultNotDispatched)
	if begun.Outcome == claims.Stored {
		e.finish(r, outcomeServed, "stored", string(begun.Result.Body))
		return false
	}
	e.finish(r, claimOutcomes[begun.Outcome], begun.Outcome.String(), "")
	return false
}

// handleResponse delivers only a complete response with the request's own ID.
func (e *entryRole) handleResponse(r *request, resp response) {
	d := e.in.world.defect
	switch {
	case resp.broken && d.retriesAfterWrite():
		e.retry(r)
	case resp.broken:
		e.connectionBroken(r)
	case resp.failed:
		e.fail(r, scheduler.ResultFailed, "target error")
	case resp.id != r.id && !d.deliversMismatched():
		e.fail(r, scheduler.ResultFailed, "mismatched response")
	case !resp.complete:
		e.fail(r, scheduler.ResultFailed, "truncated response")
	default:
		e.serve(r, resp)
	}
}

func (e *entryRole) connectionBroken(r *request) {
	result := scheduler.ResultTargetCrashed
	if e.in.world.targetNamed(r.target).up {
		result = scheduler.ResultFailed
	}
	e.fail(r, result, "connection broken")
}

func (e *entryRole) serve(r *request, resp response) {
	e.completeRun(r, scheduler.ResultServed)
	e.in.observeVersion(r, false)
	if r.claim != nil {
		// If the write fails, only the stored response for repeated calls is missing.
		_ = e.in.claims.Finish(e.in.world.ctx, r.claim, claims.Result{Status: 200, Body: []byte(resp.body)})
	}
	e.finish(r, outcomeServed, "", resp.body)
}

// fail ends a request that may have run because it was dispatched.
func (e *entryRole) fail(r *request, result scheduler.Result, reason string) {
	e.completeRun(r, result)
	e.in.observeVersion(r, result != scheduler.ResultCancelled)
	if r.claim != nil {
		_ = e.in.claims.MarkUnknown(e.in.world.ctx, r.claim) // if this fails, the claim still forbids another run
		e.finish(r, outcomeUnknown, reason, "")
		return
	}
	if e.in.world.defect.labelsFailedNotRun() {
		e.finish(r, outcomeNotRun, reason, "")
		return
	}
	e.finish(r, outcomeFailed, reason, "")
}

func (e *entryRole) completeRun(r *request, result scheduler.Result) {
	elapsed := time.Since(r.grantedAt)
	e.notifyBroker(r, ticketMessage{complete: []scheduler.Completion{{
		ID: e.ticketID(r), Result: result, PromptTokens: r.promptTokens, OutputTokens: 100,
		FirstToken: elapsed / 2, Total: elapsed,
	}}})
}

// refused ends a waiting request that the broker refused.
func (e *entryRole) refused(id scheduler.TicketID, reason scheduler.Reason) {
	r := e.requests[id.Sequence]
	if r != nil && r.state == stateWaiting {
		e.endUndispatched(r, string(reason))
	}
}

// endUndispatched ends a request of which no byte was written to a target.
func (e *entryRole) endUndispatched(r *request, reason string) {
	if r.claim == nil {
		e.finish(r, outcomeNotRun, reason, "")
		return
	}
	if err := e.in.claims.Abandon(e.in.world.ctx, r.claim); err != nil {
		e.finish(r, outcomeUnknown, fmt.Sprintf("%s, claim not abandoned", reason), "")
		return
	}
	e.finish(r, outcomeNotRun, reason, "")
}

// cancelled stops a running request that a higher tier preempts.
func (e *entryRole) cancelled(id scheduler.TicketID) {
	r := e.requests[id.Sequence]
	if r == nil || r.state != stateDispatched {
		return
	}
	e.in.world.targetNamed(r.target).cancel(r)
	e.fail(r, scheduler.ResultCancelled, "preempted")
}

func (e *entryRole) finish(r *request, o outcome, reason, body string) {
	r.state = stateEnded
	delete(e.requests, r.sequence)
	e.in.world.logf("request %s ends: %s %s", r.id, o, reason)
	e.in.world.oracle.ended(r, o, body)
	if r.poison && o != outcomeNotRun {
		e.in.world.repeatPoison(r)
	}
}

// abandon drops all requests of an entry that stops. Their callers see only a
// broken connection.
func (e *entryRole) abandon() {
	for _, r := range e.sortedRequests() {
		r.state = stateEnded
		e.in.world.logf("request %s lost with its entry", r.id)
	}
	clear(e.requests)
}
