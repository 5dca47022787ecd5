package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/basilloom/basilloom/engine"
)

const (
	// maxHeldResponse is the maximum size of a plain service's response that is read
	// in full before it is sent to the caller.
	maxHeldResponse = 256 << 10
	cancelTimeout   = 2 * time.Second
)

var errCallerWrite = errors.New("writing to the caller failed")

func (e *Entry) relayChat(ctx context.Context, out *responder, r *run) error {
	header := make(http.Header)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	response, err := e.settings.Engine.Chat(ctx, r.target, engine.ChatRequest{
		ID:      r.req.id,
		Version: r.req.version,
		Header:  header,
		Body:    r.req.body,
		Stream:  r.req.chat.stream,
	})
	if err != nil {
		return err
	}
	defer response.Close()
	if r.req.chat.stream {
		err = r.relayEvents(ctx, out, response)
	} else {
		err = r.relayWhole(out, response)
	}
	if err != nil && response.StreamID() != "" {
		e.cancelStream(r.target, response.StreamID())
	}
	return err
}

func (r *run) relayEvents(ctx context.Context, out *responder, response *engine.Response) error {
	usage, err := response.Events(ctx, func(event engine.Event) error {
		if event.Token {
			if r.tokens == 0 {
				r.firstToken = time.Since(r.started)
			}
			r.tokens++
		}
		if err := out.event(event); err != nil {
			return errCallerWrite
		}
		return nil
	})
	r.usage = usage
	return err
}

func (r *run) relayWhole(out *responder, response *engine.Response) error {
	data, usage, err := response.ReadAll()
	if err != nil {
		return err
	}
	r.usage = usage
	r.firstToken = time.Since(r.started)
	out.tokens = usage.CompletionTokens
	out.writeWhole(http.StatusOK, jsonHeader(), data)
	return nil
}

// cancelStream frees the engine's batch slot of a response that is no longer read.
func (e *Entry) cancelStream(target engine.Target, stream string) {
	e.inFlight.Begin()
	go func() {
		defer e.inFlight.End()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = e.settings.Engine.Cancel(ctx, target, stream) // the engine eventually drops unread streams itself
	}()
}

func (e *Entry) relayService(ctx context.Context, out *responder, r *run) error {
	header := r.req.header.Clone()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	resp, err := e.settings.Engine.Call(ctx, r.target, engine.ServiceRequest{
		ID:     r.req.id,
		Method: r.req.method,
		Path:   r.req.path,
		Header: header,
		Body:   r.req.body,
	})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	r.firstToken = time.Since(r.started)
	return relayBody(out, resp)
}

// relayBody writes a small response at once and copies a large one in parts. An error
// status of a plain service is passed on unchanged.
func relayBody(out *responder, resp *http.Response) error {
	limit := int64(maxHeldResponse)
	if out.hold {
		limit = engine.MaxResponseBytes // the response of a claimed call is always held
	}
	held, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return bodyError(err)
	}
	header := engine.CopyHeader(resp.Header)
	if out.hold && int64(len(held)) == limit {
		return &engine.ResponseError{Kind: engine.ResponseMalformed, Detail: "answer exceeds the size limit"}
	}
	if int64(len(held)) < limit {
		out.writeWhole(resp.StatusCode, header, held)
		return nil
	}
	header.Del("Content-Length")
	out.beginCopy(resp.StatusCode, header)
	if _, err := io.Copy(out.w, bytes.NewReader(held)); err != nil {
		return errCallerWrite
	}
	return copyRest(out, resp.Body)
}

func copyRest(out *responder, body io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := out.w.Write(buffer[:n]); werr != nil {
				return errCallerWrite
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyError(err)
		}
	}
}

func bodyError(err error) error {
	if isContextError(err) {
		return err
	}
	return &engine.ResponseError{Kind: engine.ResponseTruncated, Detail: err.Error(), Broken: true}
}
