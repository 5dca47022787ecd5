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
)

// Headers of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderModelVersion = "X-Model-Version"
	HeaderStreamID     = "X-Stream-Id"
	headerLastEventID  = "Last-Event-ID"
)

// Limits of answers.
const (
	// MaxResponseBytes bounds an answer that is not streamed.
	MaxResponseBytes = 16 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds the body of an error answer.
	maxErrorBytes = 64 << 10
	maxResumes    = 3
	// resumeTime bounds the attempts to resume a broken stream, so that it
	// outlives a short fault of the connection. An engine that refuses
	// connections has lost its streams, and is not tried again.
	resumeTime     = 3 * time.Second
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
	// Header holds headers to add, such as traceparent.
	Header http.Header
	Body   []byte
	Stream bool
}

// Client calls targets.
type Client struct {
	transport *Transport
	manage    *http.Client
}

// NewClient returns a Client with connections of its own.
func NewClient() *Client { return NewClientFrom(netip.Addr{}) }

// NewClientFrom returns a Client that connects from the given local address; the
// zero address lets the system choose.
func NewClientFrom(source netip.Addr) *Client {
	dialer := dialerFrom(source)
	return &Client{
		transport: newTransport(dialer),
		manage: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2},
			Timeout:   manageTimeout,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.Close()
	c.manage.CloseIdleConnections()
}

// Usage is the token count that an engine reports with an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// ResponseErrorKind classifies an answer that must not be delivered as whole.
type ResponseErrorKind int

// Kinds of answer errors.
const (
	// ResponseTruncated: the end marker is missing.
	ResponseTruncated ResponseErrorKind = iota + 1
	// ResponseMismatched: the answer carries the id of another request.
	ResponseMismatched
	// ResponseMalformed: the answer does not follow the protocol.
	ResponseMalformed
	// ResponseStatus: the target answered with an error status.
	ResponseStatus
)

// ResponseError is a fault of an answer after the request was dispatched.
type ResponseError struct {
	Kind   ResponseErrorKind
	Status int
	Detail string
	// Broken is true if the connection broke while the answer was read.
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

// Response is the beginning of a target's answer. Close must be called.
type Response struct {
	client *Client
	target Target
	id     string
	resp   *http.Response
	stream string
}

// Chat dispatches the request once and returns when the response header has
// arrived. The error is a *DispatchError or an *AnswerError.
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

// Close ends the reading of the answer.
func (a *Response) Close() { _ = a.resp.Body.Close() }

// StreamID is the engine's id of the answer's stream.
func (a *Response) StreamID() string { return a.stream }

type chatBody struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// ReadAll reads an answer that is not streamed and checks that it is whole and
// belongs to the request. The error is an *AnswerError or the context's error.
func (a *Response) ReadAll() ([]byte, Usage, error) {
	data, err := io.ReadAll(io.LimitReader(a.resp.Body, MaxResponseBytes+1))
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
	if body.ID != a.id {
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

// Events reads a streamed answer and passes each checked event on. A stream that
// breaks is resumed at the same target, which is no second dispatch. The last
// event is the end marker. The error is an *AnswerError, the context's error or
// the error of the callback.
func (a *Response) Events(ctx context.Context, pass func(Event) error) (Usage, error) {
	check := streamCheck{id: a.id}
	for resumes := 0; ; resumes++ {
		err := check.read(a.resp.Body, pass)
		if err == nil {
			return check.usage, nil
		}
		var answerErr *ResponseError
		if !errors.As(err, &answerErr) || answerErr.Kind != ResponseTruncated {
			return check.usage, err
		}
		if resumes == maxResumes || !a.resume(ctx, check.last) {
			return check.usage, err
		}
	}
}

// resume replaces the broken response by the rest of the same stream.
func (a *Response) resume(ctx context.Context, after int64) bool {
	if a.stream == "" {
		return false
	}
	for until := time.Now().Add(resumeTime); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, resumeInterval) {
		resp, err := a.reopen(ctx, after)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		if err != nil {
			continue
		}
		if resp.StatusCode != http.StatusOK || resp.Header.Get(HeaderRequestID) != a.id {
			_ = resp.Body.Close()
			return false
		}
		a.Close()
		a.resp = resp
		return true
	}
	return false
}

func (a *Response) reopen(ctx context.Context, after int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.target.Address+"/v1/streams/"+a.stream, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerLastEventID, strconv.FormatInt(after, 10))
	return a.client.transport.RoundTrip(req, nil)
}

func readError(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return &ResponseError{Kind: ResponseTruncated, Detail: err.Error(), Broken: isBroken(err)}
}
