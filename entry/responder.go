package entry

import (
	"net/http"
	"time"

	"github.com/basilloom/basilloom/engine"
)

// responder writes one answer to the caller. An answer that has begun and
// cannot be completed ends with a broken connection, so that no caller takes it
// for whole.
type responder struct {
	w          http.ResponseWriter
	req        *request
	begun      bool
	firstToken time.Duration
	tokens     int
	buffer     []byte
	// hold keeps a whole answer in held instead of sending it.
	hold bool
	held heldAnswer
}

// beginStream sends the header of a streamed chat answer.
func (o *responder) beginStream() {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, o.req.id)
	h.Set("Trailer", HeaderOutcome)
	o.w.WriteHeader(http.StatusOK)
	o.begun = true
}

// event passes one event on to the caller.
func (o *responder) event(event engine.Event) error {
	if !o.begun {
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

// whole sends an answer that is held in memory.
func (o *responder) whole(status int, header http.Header, body []byte) {
	if o.hold {
		o.held = heldAnswer{status: status, header: header, body: body}
		return
	}
	h := o.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(Served))
	h.Set(HeaderRequestID, o.req.id)
	o.begun = true
	if o.firstToken == 0 {
		o.firstToken = time.Since(o.req.arrived)
	}
	o.w.WriteHeader(status)
	_, _ = o.w.Write(body) // the caller may be gone
}

// beginCopy sends the header of an answer that is too large to hold.
func (o *responder) beginCopy(status int, header http.Header) {
	h := o.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(HeaderRequestID, o.req.id)
	h.Set("Trailer", HeaderOutcome)
	o.begun = true
	o.firstToken = time.Since(o.req.arrived)
	o.w.WriteHeader(status)
}

// finish ends the answer. A nil ending means that the whole answer was written.
func (o *responder) finish(ending *RequestError) {
	switch {
	case ending == nil:
		o.w.Header().Set(HeaderOutcome, string(Served)) // a trailer for streamed answers
	case !o.begun:
		ending.write(o.w, o.req.id)
	default:
		o.abort(ending)
	}
}

// abort tells the caller of a stream what happened and breaks the connection.
func (o *responder) abort(ending *RequestError) {
	if o.req.chat != nil && o.req.chat.stream {
		o.buffer = append(o.buffer[:0], "event: error\ndata: "...)
		o.buffer = append(o.buffer, ending.body(o.req.id)...)
		o.buffer = append(o.buffer, "\n\n"...)
		_, _ = o.w.Write(o.buffer)
		_ = http.NewResponseController(o.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
