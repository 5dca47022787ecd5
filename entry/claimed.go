package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Claims records which non-idempotent calls have been dispatched.
type Claims interface {
	Begin(ctx context.Context, request claims.Request) (claims.BeginResult, error)
	Finish(ctx context.Context, claim *claims.Claim, result claims.Result) error
	MarkUnknown(ctx context.Context, claim *claims.Claim) error
	Abandon(ctx context.Context, claim *claims.Claim) error
}

// claimTimeout bounds the writes that end a claim. The caller waits for them,
// so that a repeated call finds the stored response.
const claimTimeout = 2 * time.Second

// claimGuard claims a call before its first dispatch. Later attempts, which are made
// only while no byte of the call has been written, use the same claim.
type claimGuard struct {
	entry *Entry
	req   *request
	claim *claims.Claim
	// stored is the response of an earlier call with the same key.
	stored *claims.Result
}

func (g *claimGuard) begin(ctx context.Context) *RequestError {
	if g.claim != nil {
		return nil
	}
	// The claim must be written by the request's deadline. If it is not, nothing has
	// been dispatched, so a refusal as not run is correct.
	ctx, cancel := context.WithDeadline(ctx, g.req.deadline)
	defer cancel()
	begun, err := g.entry.settings.Claims.Begin(ctx, claims.Request{
		Key: claims.Key{
			Workspace: g.req.workspace.GetName(),
			Route:     g.req.route.GetName(),
			Caller:    g.req.key,
		},
		Fingerprint: g.req.fingerprint,
		Timeout:     responseTimeout(g.req.route),
	})
	if err != nil {
		g.entry.settings.Log.Warn("claim not acquired", zap.String(field.RequestID, g.req.id),
			zap.Stringer(field.Outcome, begun.Outcome), zap.Error(err))
	}
	switch begun.Outcome {
	case claims.Acquired:
		g.claim = begun.Claim
		return nil
	case claims.Stored:
		g.stored = &begun.Result
		return &RequestError{Outcome: Served, Reason: ReasonStored, Status: begun.Result.Status}
	default:
		return claimError(begun.Outcome)
	}
}

func claimError(outcome claims.Outcome) *RequestError {
	switch outcome {
	case claims.InProgress:
		return &RequestError{
			Outcome:    Unknown,
			Reason:     ReasonInProgress,
			Status:     http.StatusConflict,
			Message:    "a call with this key is running",
			RetryAfter: time.Second,
		}
	case claims.KeyReused:
		return refuse(http.StatusUnprocessableEntity, ReasonKeyReused, "the key was used for a different request")
	case claims.Refused:
		return refuse(http.StatusServiceUnavailable, ReasonStoreUnavailable, "the call could not be recorded, so it was not run")
	default:
		return unknownResult()
	}
}

func unknownResult() *RequestError {
	return &RequestError{
		Outcome: Unknown,
		Reason:  ReasonResultUnknown,
		Status:  http.StatusBadGateway,
		Message: "a call with this key may have run; its result is not known",
	}
}

// serveClaimed serves a non-idempotent call.
func (e *Entry) serveClaimed(ctx context.Context, out *responder, req *request) *RequestError {
	guard := &claimGuard{entry: e, req: req}
	out.hold = true
	reqErr := e.serveOnce(ctx, out, req, guard)
	if guard.stored != nil {
		header := http.Header{HeaderReason: {string(ReasonStored)}}
		if guard.stored.ContentType != "" {
			header.Set("Content-Type", guard.stored.ContentType)
		}
		out.hold = false
		out.writeWhole(guard.stored.Status, header, guard.stored.Body)
		return nil
	}
	if guard.claim == nil {
		return reqErr
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	return e.concludeClaim(ctx, out, guard.claim, reqErr)
}

// concludeClaim records the result of a claimed call.
func (e *Entry) concludeClaim(ctx context.Context, out *responder, claim *claims.Claim, reqErr *RequestError) *RequestError {
	switch {
	case reqErr == nil:
		err := e.settings.Claims.Finish(ctx, claim, claims.Result{
			Status:      out.held.status,
			ContentType: out.held.header.Get("Content-Type"),
			Body:        out.held.body,
		})
		if err != nil {
			// The caller still gets its response; a repeated call gets an unknown result.
			e.settings.Log.Error("response of a claimed call not stored",
				zap.String(field.RequestID, out.req.id), zap.Error(err))
		}
		out.writeHeld()
		return nil
	case reqErr.Outcome == NotRun:
		if err := e.settings.Claims.Abandon(ctx, claim); err != nil {
			return unknownResult()
		}
		return reqErr
	default:
		if err := e.settings.Claims.MarkUnknown(ctx, claim); err != nil {
			e.settings.Log.Warn("claim not marked unknown", zap.String(field.RequestID, out.req.id), zap.Error(err))
		}
		unknown := unknownResult()
		unknown.Message += ": " + reqErr.Message
		return unknown
	}
}

// heldResponse is the response of a claimed call, which is stored before it is sent.
type heldResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeHeld sends the held response.
func (o *responder) writeHeld() {
	o.hold = false
	o.writeWhole(o.held.status, o.held.header, o.held.body)
}
