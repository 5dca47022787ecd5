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

// relayStream passes on the complete events of a stream as they arrive.
func (a *attempt) relayStream(ctx context.Context, response *forward.Response) (outcome, pb.Result) {
	var splitter eventSplitter
	// The overhead of the request covers the first bytes of an event.
	held := streamBuffer
	defer func() { a.req.holding.shrink(int64(held - streamBuffer)) }()
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		splitter.add(buffer[:n])
		if writeErr := a.relayEvents(&splitter, response); writeErr != nil {
			return outcome{done: true, refusal: reject(statusClientClosedRequest, writeErr.Error())}, pb.Result_RESULT_CANCELLED
		}
		switch {
		case errors.Is(err, io.EOF) && a.resumed && a.events == 0 && endsWithConnection(response):
			return a.streamFailed(ctx, errNoEvents)
		case errors.Is(err, io.EOF) && splitter.buffered() == 0 && a.out.started:
			a.out.complete = true
			return outcome{done: true}, pb.Result_RESULT_SERVED
		case errors.Is(err, io.EOF):
			return a.streamFailed(ctx, errClosedInEvent)
		case err != nil:
			return a.streamFailed(ctx, err)
		case splitter.buffered() > maxEvent:
			return a.streamFailed(ctx, errLongEvent)
		case splitter.buffered() > held:
			// The next event is long.
			if err := a.req.holding.grow(int64(splitter.buffered() - held)); err != nil {
				return a.streamFailed(ctx, err)
			}
			held = splitter.buffered()
		}
	}
}

var (
	errClosedInEvent = errors.New("stream ended in the middle of an event")
	errLongEvent     = errors.New("event exceeds the size limit")
	errNoEvents      = errors.New("connection closed before the first event of a resumed stream")
)

// endsWithConnection reports whether the response has neither a length nor chunks, so that
// its end looks like a broken connection.
func endsWithConnection(response *forward.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// relayEvents writes the complete events to the caller. The header is written with the
// first event, so that the request can be retried if a target crashes before it.
func (a *attempt) relayEvents(splitter *eventSplitter, response *forward.Response) error {
	passed := false
	defer a.out.limitWait()()
	for {
		e, ok := splitter.next()
		if !ok {
			break
		}
		a.recordEvent()
		if a.resumed && e.hasID && e.id <= a.resumeAfter {
			continue // already passed on to the caller
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

func (a *attempt) recordEvent() {
	if a.events == 0 {
		a.firstByte = time.Since(a.sent)
		a.slot.markStarted()
		if begun := a.gateway.settings.OnBegun; begun != nil && len(a.req.call.SharedParts) > 0 {
			begun(a.req.call.SharedParts)
		}
		a.gateway.observeFirst(a)
	}
	a.events++
	if a.events > gapEvents {
		a.observeMeanGap()
	}
}

// streamFailed classifies an interrupted stream. A resumable stream continues after
// the last event passed on; any other ends.
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
