package entry

import (
	"net/http"
	"time"

	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/internal/drain"
)

// responder writes one response to the caller. It breaks the connection if a started
// response cannot be completed, so that the caller does not take it for complete.
type responder struct {
	w             http.ResponseWriter
	r             *http.Request
	req           *request
	headerWritten bool
	// firstToken is the time from the arrival to the first token or to the response.
	firstToken time.Duration
	tokens     int
	buffer     []byte
	// hold keeps a whole response in held instead of sending it.
	hold bool
	held heldResponse
}

// beginStream sends the header of a streamed chat response.
func (o *responder) beginStream() {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, o.req.id)
	h.Set("Trailer", HeaderOutcome)
	o.w.WriteHeader(http.StatusOK)
	o.headerWritten = true
}

// event sends one event to the caller.
func (o *responder) event(event engine.Event) error {
	if !o.headerWritten {
		o.beginStream()
	}
	if event.Token {
		if o.tokens == 0 {
			o.firstToken = time.Since(o.req.arrived)
		}
		o.tokens++
	}
	o.buffer = event.AppendTo(o.buffer[:0])
	if _, err := o.w.Write(o.buffer); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

// writeWhole sends a response that is complete in memory, or holds it if hold is set.
func (o *responder) writeWhole(status int, header http.Header, body []byte) {
	if o.hold {
		o.held = heldResponse{status: status, header: header, body: body}
		return
	}
	h := o.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(Served))
	h.Set(HeaderRequestID, o.req.id)
	o.headerWritten = true
	if o.firstToken == 0 {
		o.firstToken = time.Since(o.req.arrived)
	}
	o.w.WriteHeader(status)
	_, _ = o.w.Write(body) // the caller may have disconnected
}

// beginCopy sends the header of a response that is too large to hold.
func (o *responder) beginCopy(status int, header http.Header) {
	h := o.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(HeaderRequestID, o.req.id)
	h.Set("Trailer", HeaderOutcome)
	o.headerWritten = true
	o.firstToken = time.Since(o.req.arrived)
	o.w.WriteHeader(status)
}

// finish ends the response. A nil error means that the whole response was written.
func (o *responder) finish(reqErr *RequestError) {
	switch {
	case reqErr == nil:
		o.w.Header().Set(HeaderOutcome, string(Served)) // sent as a trailer of streamed responses
	case !o.headerWritten:
		reqErr.write(o.w, o.req.id)
	default:
		o.abort(reqErr)
	}
}

// abort sends the error to the caller of a stream and breaks the connection.
func (o *responder) abort(reqErr *RequestError) {
	if o.req.chat != nil && o.req.chat.stream {
		o.buffer = append(o.buffer[:0], "event: error\ndata: "...)
		o.buffer = append(o.buffer, reqErr.body(o.req.id)...)
		o.buffer = append(o.buffer, "\n\n"...)
		_, _ = o.w.Write(o.buffer)
		_ = http.NewResponseController(o.w).Flush()
	}
	drain.Abort(o.r)
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
