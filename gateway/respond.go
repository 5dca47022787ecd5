package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Refusal is the result of a request that ends without a target's response.
type Refusal struct {
	Status  int
	Message string
	// RetryAfter is the delay after which the caller should retry; 0 if the request
	// may have run or is not allowed.
	RetryAfter time.Duration
	// logFields describe the values that led to the refusal.
	logFields []zap.Field
}

// minRetryAfter keeps refused callers from retrying immediately.
const minRetryAfter = 200 * time.Millisecond

// notRun refuses a request that no target has run or will run.
func notRun(status int, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: status, Message: message, RetryAfter: max(retryAfter, minRetryAfter)}
}

// reject refuses a request that is not allowed.
func reject(status int, message string) *Refusal {
	return &Refusal{Status: status, Message: message}
}

// mayHaveRun ends a request that a target may have run.
func mayHaveRun(status int, message string) *Refusal {
	return &Refusal{Status: status, Message: message}
}

// responder writes the response to the caller.
type responder struct {
	w      http.ResponseWriter
	codec  HeaderCodec
	status int
	// started is set once the header is written, complete once the whole response is.
	started, complete bool
	bytes             int
	// lastEvent is the id of the last stream event passed on to the caller.
	lastEvent int64
	// deadline is when writes fail. readBudget is the time that writes of a stream may wait
	// for the caller in all, 0 without a bound, and waited what they have waited so far.
	deadline           time.Time
	readBudget, waited time.Duration
}

func (o *responder) refuse(r *Refusal) {
	o.status = r.Status
	o.started, o.complete = true, true
	h := o.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		o.codec.EncodeRefusal(h, r.RetryAfter)
	}
	body := r.Message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	o.w.WriteHeader(r.Status)
	_, _ = o.w.Write([]byte(body)) // the caller may have disconnected
}

// begin writes the header of a target's response. A negative length is not declared.
func (o *responder) begin(status int, header http.Header, length int) {
	o.status, o.started = status, true
	h := o.w.Header()
	connection := h.Get("Connection")
	for name, values := range header {
		h[name] = values
	}
	removeHopByHop(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise net/http detects one from the body
	}
	o.w.WriteHeader(status)
}

func (o *responder) write(p []byte) error {
	n, err := o.w.Write(p)
	o.bytes += n
	return err
}

// writeGrace is how long after its deadline a request's response may still be written.
const writeGrace = 500 * time.Millisecond

// writeBy sets the time after which writes fail, so that a caller that does not read does not
// keep its request alive.
func (o *responder) writeBy(deadline time.Time) {
	o.deadline = deadline
	_ = http.NewResponseController(o.w).SetWriteDeadline(deadline) // a writer without deadlines does not wait for a network
}

// readBodyBy sets the time after which reads of the caller's body fail, also those by which
// the server discards the rest of it. The zero time sets none.
func (o *responder) readBodyBy(r *http.Request, deadline time.Time) {
	if r.Body != http.NoBody {
		_ = http.NewResponseController(o.w).SetReadDeadline(deadline) // as in writeBy
	}
}

func (o *responder) flush() error { return http.NewResponseController(o.w).Flush() }

// hopByHop lists the headers that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
