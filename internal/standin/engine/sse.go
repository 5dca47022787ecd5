package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// serveStream sends the events that follow event number sent until the response is
// complete. started is set if the headers were already sent.
func (e *Engine) serveStream(r *http.Request, s *stream, subscriber chan struct{}, events *eventWriter, sent int, started bool) {
	for {
		now := e.snapshot(s, subscriber)
		switch {
		case now.state == stateLost || !now.attached:
			panic(http.ErrAbortHandler)
		case now.state == stateFailed && !started:
			writeFailure(events.w, errVersionFailed)
			return
		case now.state == stateCancelled && !started:
			writeFailure(events.w, errCancelled)
			return
		case now.state == stateFailed || now.state == stateCancelled:
			return
		}
		if !started && now.state != stateWaiting {
			events.start()
			started = true
		}
		if s.truncateAt > 0 && now.produced >= s.truncateAt {
			events.tokens(sent, s.truncateAt)
			e.detach(s, subscriber, true)
			return
		}
		if now.produced > sent {
			events.tokens(sent, now.produced)
			sent = now.produced
		}
		if now.state == stateFinished {
			events.finish(sent)
			e.detach(s, subscriber, true)
			return
		}
		select {
		case <-subscriber:
		case <-r.Context().Done():
			e.detach(s, subscriber, started)
			panic(http.ErrAbortHandler)
		}
	}
}

// eventWriter formats the events of one stream.
type eventWriter struct {
	w      http.ResponseWriter
	flush  func()
	s      *stream
	idJSON []byte
	buffer []byte
}

func newEventWriter(w http.ResponseWriter, s *stream) *eventWriter {
	idJSON, err := json.Marshal(s.responseID)
	if err != nil {
		panic(err) // a string always marshals
	}
	controller := http.NewResponseController(w)
	return &eventWriter{w: w, flush: func() { _ = controller.Flush() }, s: s, idJSON: idJSON}
}

func (ew *eventWriter) start() {
	setStreamHeaders(ew.w, ew.s)
	ew.w.Header().Set("Content-Type", "text/event-stream")
	ew.w.Header().Set("Cache-Control", "no-store")
	ew.w.WriteHeader(http.StatusOK)
	ew.flush()
}

// tokens sends the tokens with numbers sent+1 to last.
func (ew *eventWriter) tokens(sent, last int) {
	buffer := ew.buffer[:0]
	for i := sent + 1; i <= last; i++ {
		buffer = ew.appendHead(buffer, i)
		buffer = append(buffer, `,"choices":[{"index":0,"delta":{"content":"`...)
		buffer = appendToken(buffer, ew.s.seed, i)
		buffer = append(buffer, "\"}}]}\n\n"...)
	}
	ew.send(buffer)
}

func (ew *eventWriter) finish(sent int) {
	usageJSON, err := json.Marshal(ew.s.usage())
	if err != nil {
		panic(err) // integers always marshal
	}
	buffer := ew.buffer[:0]
	if sent <= ew.s.maxTokens {
		buffer = ew.appendHead(buffer, ew.s.maxTokens+1)
		buffer = append(buffer, `,"choices":[{"index":0,"delta":{},"finish_reason":"`...)
		buffer = append(buffer, ew.s.finishReason()...)
		buffer = append(buffer, `"}],"usage":`...)
		buffer = append(buffer, usageJSON...)
		buffer = append(buffer, "}\n\n"...)
	}
	buffer = append(buffer, "data: [DONE]\n\n"...)
	ew.send(buffer)
}

func (ew *eventWriter) appendHead(buffer []byte, number int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(number), 10)
	buffer = append(buffer, "\ndata: {\"id\":"...)
	return append(buffer, ew.idJSON...)
}

func (ew *eventWriter) send(buffer []byte) {
	_, _ = ew.w.Write(buffer) // serveStream detects a disconnected client by the request's context
	ew.flush()
	ew.buffer = buffer
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	after := 0
	if header := r.Header.Get("Last-Event-ID"); header != "" {
		var err error
		if after, err = strconv.Atoi(header); err != nil || after < 0 {
			writeFailure(w, badRequest("Last-Event-ID is not an event number"))
			return
		}
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("stream")]
	if s == nil {
		e.mu.Unlock()
		writeFailure(w, errNoStream)
		return
	}
	subscriber := e.attach(s)
	e.mu.Unlock()
	events := newEventWriter(w, s)
	events.start()
	e.serveStream(r, s, subscriber, events, after, true)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("stream")]
	if s != nil {
		e.cancel(s)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
