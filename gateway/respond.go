package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Refusal is the end of a request that no target's answer ends.
type Refusal struct {
	Status  int
	Message string
	// RetryAfter is when the caller should ask again; 0 if the request may have run.
	RetryAfter time.Duration
	// inputs are the log fields of what decided.
	inputs []zap.Field
}

// minRetryAfter keeps refused callers from asking again at once.
const minRetryAfter = 200 * time.Millisecond

// notRun refuses a request that no target has run or will run.
func notRun(status int, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: status, Message: message, RetryAfter: max(retryAfter, minRetryAfter)}
}

// reject refuses a request that is not allowed.
func reject(status int, message string) *Refusal {
	return &Refusal{Status: status, Message: message}
}

// mayHaveRun ends a request of which nothing can be promised.
func mayHaveRun(status int, message string) *Refusal {
	return &Refusal{Status: status, Message: message}
}

// responder writes the answer to the caller.
type responder struct {
	w       http.ResponseWriter
	dialect HeaderCodec
	status  int
	// started is set once the answer's header was written, complete once its end was.
	started, complete bool
	bytes             int
	// lastEvent is the id of the last event of a stream that was passed on.
	lastEvent int64
}

func (o *responder) refuse(r *Refusal) {
	o.status = r.Status
	o.started, o.complete = true, true
	h := o.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		o.dialect.EncodeRefusal(h, r.RetryAfter)
	}
	body := r.Message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	o.w.WriteHeader(r.Status)
	_, _ = o.w.Write([]byte(body)) // a caller that has gone needs no answer
}

// begin writes the header of a target's answer. A negative length is not declared.
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
		h["Content-Type"] = nil // net/http would guess one
	}
	o.w.WriteHeader(status)
}

func (o *responder) write(p []byte) error {
	n, err := o.w.Write(p)
	o.bytes += n
	return err
}

func (o *responder) flush() error { return http.NewResponseController(o.w).Flush() }

// hopByHop are the headers that concern only one connection.
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
