package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/basilloom/basilloom/internal/http1"
)

// Headers of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderModelVersion = "X-Model-Version"
	HeaderStreamID     = "X-Stream-Id"
	headerLastEventID  = "Last-Event-ID"
)

// Limits of responses.
const (
	// MaxResponseBytes bounds a response that is not streamed.
	MaxResponseBytes = 16 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds the part of an error response's body that is read.
	maxErrorBytes = 64 << 10
	maxResumes    = 3
	// resumeTimeout bounds the attempts to resume a broken stream. It allows for
	// short connection faults. An engine that refuses connections has lost its
	// streams, so no further attempt is made.
	resumeTimeout  = 3 * time.Second
	resumeInterval = 100 * time.Millisecond
)

// Target is the address of a back end.
type Target struct {
	Name    string
	Address string
}

// ChatRequest is a chat completions call.
type ChatRequest struct {
	ID      string
	Version string
	// Header holds additional headers, such as traceparent.
	Header http.Header
	Body   []byte
	Stream bool
}

// Client calls targets.
type Client struct {
	transport *Transport
	manage    *http.Client
}

// NewClient returns a Client with its own connection pool.
func NewClient() *Client { return NewClientFrom(netip.Addr{}) }

// NewClientFrom returns a Client that connects from the given local address; the
// zero address lets the operating system choose.
func NewClientFrom(source netip.Addr) *Client {
	dialer := dialerFrom(source)
	return &Client{
		transport: newTransport(dialer),
		manage: &http.Client{
			Transport: &http.Transport{DialContext: http1.DialContext(dialer.DialContext), IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2},
			Timeout:   manageTimeout,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.Close()
	c.manage.CloseIdleConnections()
}

// Usage holds the token counts that an engine reports with a response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// ResponseErrorKind classifies a response that must not be delivered as complete.
type ResponseErrorKind int

// Kinds of response errors.
const (
	// ResponseTruncated: the end marker is missing.
	ResponseTruncated ResponseErrorKind = iota + 1
	// ResponseMismatched: the response carries the id of another request.
	ResponseMismatched
	// ResponseMalformed: the response violates the protocol.
	ResponseMalformed
	// ResponseStatus: the target responded with an error status.
	ResponseStatus
)

// ResponseError is a fault of the response to a dispatched request. Callers receive
// its text.
type ResponseError struct {
	Kind   ResponseErrorKind
	Status int
	Detail string
	// Broken is set if the connection broke while the response was read.
	Broken bool
}

func (e *ResponseError) Error() string {
	switch e.Kind {
	case ResponseTruncated:
		return "answer truncated: " + e.Detail
	case ResponseMismatched:
		return "answer belongs to another request: " + e.Detail
	case ResponseStatus:
		return fmt.Sprintf("target answered with status %d", e.Status)
	default:
		return "malformed answer: " + e.Detail
	}
}

// Response is a target's response of which only the header has been read. Close
// must be called.
type Response struct {
	client *Client
	target Target
	id     string
	resp   *http.Response
	stream string
}

// Chat dispatches the request once and returns when the response header has
// arrived. The error is a *DispatchError or a *ResponseError.
func (c *Client) Chat(ctx context.Context, target Target, r ChatRequest) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.Address+"/v1/chat/completions", nil)
	if err != nil {
		return nil, &DispatchError{Err: err}
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Version != "" {
		req.Header.Set(HeaderModelVersion, r.Version)
	}
	resp, err := c.transport.RoundTrip(req, r.Body)
	if err != nil {
		return nil, err
	}
	if err := checkHeader(resp, r.ID); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return &Response{client: c, target: target, id: r.ID, resp: resp, stream: resp.Header.Get(HeaderStreamID)}, nil
}

func checkHeader(resp *http.Response, id string) error {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
		return &ResponseError{Kind: ResponseStatus, Status: resp.StatusCode}
	}
	if echoed := resp.Header.Get(HeaderRequestID); echoed != id {
		return &ResponseError{Kind: ResponseMismatched, Detail: fmt.Sprintf("header names request %q", echoed)}
	}
	return nil
}

// Close closes the response body.
func (r *Response) Close() { _ = r.resp.Body.Close() }

// StreamID returns the engine's id of the stream, or "" if it has none.
func (r *Response) StreamID() string { return r.stream }

type chatBody struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// ReadAll reads a response that is not streamed and checks that it is complete and
// belongs to the request. The error is a *ResponseError or the context's error.
func (r *Response) ReadAll() ([]byte, Usage, error) {
	data, err := io.ReadAll(io.LimitReader(r.resp.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, Usage{}, readError(err)
	}
	if len(data) > MaxResponseBytes {
		return nil, Usage{}, &ResponseError{Kind: ResponseMalformed, Detail: "answer exceeds the size limit"}
	}
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, Usage{}, &ResponseError{Kind: ResponseTruncated, Detail: err.Error()}
	}
	if body.ID != r.id {
		return nil, Usage{}, &ResponseError{Kind: ResponseMismatched, Detail: fmt.Sprintf("body names request %q", body.ID)}
	}
	if len(body.Choices) == 0 || body.Choices[0].FinishReason == "" {
		return nil, Usage{}, &ResponseError{Kind: ResponseTruncated, Detail: "no finish reason"}
	}
	var usage Usage
	if body.Usage != nil {
		usage = *body.Usage
	}
	return data, usage, nil
}

// Events reads a streamed response and calls handle for each valid event. The last
// event is the end marker. A broken stream is resumed at the same target; this is
// not a second dispatch. The error is a *ResponseError, the context's error or the
// error of handle.
func (r *Response) Events(ctx context.Context, handle func(Event) error) (Usage, error) {
	checker := streamChecker{id: r.id}
	for resumes := 0; ; resumes++ {
		err := checker.read(r.resp.Body, handle)
		if err == nil {
			return checker.usage, nil
		}
		var responseErr *ResponseError
		if !errors.As(err, &responseErr) || responseErr.Kind != ResponseTruncated {
			return checker.usage, err
		}
		if resumes == maxResumes || !r.resume(ctx, checker.last) {
			return checker.usage, err
		}
	}
}

// resume replaces the broken response with the remainder of the same stream and
// reports whether it succeeded.
func (r *Response) resume(ctx context.Context, after int64) bool {
	if r.stream == "" {
		return false
	}
	for until := time.Now().Add(resumeTimeout); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, resumeInterval) {
		resp, err := r.reopen(ctx, after)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		if err != nil {
			continue
		}
		if resp.StatusCode != http.StatusOK || resp.Header.Get(HeaderRequestID) != r.id {
			_ = resp.Body.Close()
			return false
		}
		r.Close()
		r.resp = resp
		return true
	}
	return false
}

func (r *Response) reopen(ctx context.Context, after int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.target.Address+"/v1/streams/"+r.stream, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerLastEventID, strconv.FormatInt(after, 10))
	return r.client.transport.RoundTrip(req, nil)
}

func readError(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return &ResponseError{Kind: ResponseTruncated, Detail: err.Error(), Broken: isBroken(err)}
}
