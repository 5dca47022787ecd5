package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/basilloom/basilloom/forward"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
)

// streamBuffer is the size of one read of a stream.
const streamBuffer = 8 << 10

func (a *attempt) isStream(response *forward.Response) bool {
	return a.req.route.Kind == routing.KindStream &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// relayStream passes on the whole events of a stream as they arrive.
func (a *attempt) relayStream(ctx context.Context, response *forward.Response) (outcome, pb.Result) {
	var split events
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		split.add(buffer[:n])
		if writeErr := a.pass(&split, response); writeErr != nil {
			return outcome{done: true, refusal: reject(statusCallerGone, writeErr.Error())}, pb.Result_RESULT_CANCELLED
		}
		switch {
		case errors.Is(err, io.EOF) && split.rest() == 0 && a.out.started:
			a.out.complete = true
			return outcome{done: true}, pb.Result_RESULT_SERVED
		case errors.Is(err, io.EOF):
			return a.streamFailed(ctx, errClosedInEvent)
		case err != nil:
			return a.streamFailed(ctx, err)
		case split.rest() > maxEvent:
			return a.streamFailed(ctx, errLongEvent)
		}
	}
}

var (
	errClosedInEvent = errors.New("stream ended in the middle of an event")
	errLongEvent     = errors.New("event too long")
)

// pass writes the whole events to the caller. The answer's header is written with
// the first event, so that a target that dies before it can be replaced.
func (a *attempt) pass(split *events, response *forward.Response) error {
	passed := false
	for {
		e, ok := split.next()
		if !ok {
			break
		}
		a.noteEvent()
		if a.resumed && e.hasID && e.id <= a.after {
			continue // the caller has it
		}
		if !a.out.started {
			a.out.begin(response.StatusCode, response.Header, -1)
		}
		if err := a.out.write(e.raw); err != nil {
			return errCallerWrite
		}
		if e.hasID {
			a.out.lastEvent = e.id
		}
		passed = true
	}
	if passed {
		a.observeGap()
		if err := a.out.flush(); err != nil {
			return errCallerWrite
		}
	}
	return nil
}

func (a *attempt) noteEvent() {
	if a.events == 0 {
		a.first = time.Since(a.sent)
		a.slot.begun()
		a.gateway.observeFirst(a)
	}
	a.events++
}

// streamFailed judges a stream that broke off. What the caller has of it stays;
// a resumable stream continues behind its last event.
func (a *attempt) streamFailed(ctx context.Context, err error) (outcome, pb.Result) {
	o, result := a.bodyFailed(ctx, err)
	if o.done {
		return o, result
	}
	if !a.req.route.Resumable {
		o.done = true
		o.refusal = mayHaveRun(http.StatusBadGateway, "the target broke off the stream")
	}
	return o, result
}
