// Package entry implements the HTTP handler for callers. The entry of a request
// keeps the request's body and is the only process that may dispatch it, at most once.
package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// Outcome is the final state of a request.
type Outcome string

// Outcomes of a request.
const (
	// Served: the whole response was delivered.
	Served Outcome = "served"
	// NotRun: the request was refused; no byte of it was written to any target.
	NotRun Outcome = "not-run"
	// Failed: the request was dispatched and may have run; its response is missing or an error.
	Failed Outcome = "failed"
	// Unknown: it cannot be determined whether the non-idempotent call ran.
	Unknown Outcome = "unknown"
)

// Response headers.
const (
	HeaderOutcome   = "Basilloom-Outcome"
	HeaderReason    = "Basilloom-Reason"
	HeaderRequestID = "Basilloom-Request-Id"
)

// Reason states why a request was not served.
type Reason string

// Reasons besides those of package scheduler.
const (
	ReasonMalformed            Reason = "malformed"
	ReasonTooLarge             Reason = "too_large"
	ReasonUnauthorized         Reason = "unauthorized"
	ReasonForbidden            Reason = "forbidden"
	ReasonUnknownRoute         Reason = "unknown_route"
	ReasonRateLimit            Reason = "rate_limit"
	ReasonShuttingDown         Reason = "shutting_down"
	ReasonNotReady             Reason = "not_ready"
	ReasonNoMemory             Reason = "no_memory"
	ReasonBodyTimeout          Reason = "body_timeout"
	ReasonCallerDisconnected   Reason = "caller_gone"
	ReasonKeyMissing           Reason = "idempotency_key_missing"
	ReasonKeyReused            Reason = "idempotency_key_reused"
	ReasonInProgress           Reason = "in_progress"
	ReasonResultUnknown        Reason = "result_unknown"
	ReasonStoreUnavailable     Reason = "store_unavailable"
	ReasonTargetError          Reason = "target_error"
	ReasonTargetConnectionLost Reason = "target_broken"
	ReasonTimeout              Reason = "timeout"
	ReasonMismatchedResponse   Reason = "crossed_answer"
	ReasonTruncatedResponse    Reason = "truncated_answer"
	ReasonPreempted            Reason = "preempted"
	ReasonRetryBudget          Reason = "retry_budget"
	ReasonStored               Reason = "stored"
)

// RequestError describes why and how a request was not served.
type RequestError struct {
	Outcome    Outcome
	Reason     Reason
	Status     int
	Message    string
	RetryAfter time.Duration
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Reason, e.Message)
}

func refuse(status int, reason Reason, format string, args ...any) *RequestError {
	return &RequestError{Outcome: NotRun, Reason: reason, Status: status, Message: fmt.Sprintf(format, args...)}
}

func fail(status int, reason Reason, format string, args ...any) *RequestError {
	return &RequestError{Outcome: Failed, Reason: reason, Status: status, Message: fmt.Sprintf(format, args...)}
}

// refusalStatus maps the scheduler's reasons to HTTP statuses.
var refusalStatus = map[scheduler.Reason]int{
	scheduler.ReasonQueueFull:   http.StatusTooManyRequests,
	scheduler.ReasonShed:        http.StatusTooManyRequests,
	scheduler.ReasonDeadline:    http.StatusServiceUnavailable,
	scheduler.ReasonNoTarget:    http.StatusServiceUnavailable,
	scheduler.ReasonQuarantined: http.StatusUnprocessableEntity,
}

func schedulerRefusal(reason scheduler.Reason, retryAfter time.Duration) *RequestError {
	status, ok := refusalStatus[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &RequestError{
		Outcome:    NotRun,
		Reason:     Reason(reason),
		Status:     status,
		Message:    "the request was not run: " + string(reason),
		RetryAfter: retryAfter,
	}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Code         Reason  `json:"code"`
	Outcome      Outcome `json:"outcome"`
	RequestID    string  `json:"request_id"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

func (e *RequestError) body(requestID string) []byte {
	data, err := json.Marshal(errorBody{Error: errorDetail{
		Message:      e.Message,
		Type:         "basilloom",
		Code:         e.Reason,
		Outcome:      e.Outcome,
		RequestID:    requestID,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		panic("entry: cannot encode the error body: " + err.Error())
	}
	return data
}

func (e *RequestError) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderReason, string(e.Reason))
	h.Set(HeaderRequestID, requestID)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.body(requestID)) // the caller may have disconnected
}
