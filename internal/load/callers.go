package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/basilloom/basilloom/internal/standin/engine"
)

const (
	maxIdlePerHost = 512
	maxEventBytes  = 1 << 20
	outcomeNotRun  = "not-run"
	outcomeServed  = "served"
)

// Reasons that the load tool determines itself.
const (
	reasonTimeout      = "caller_timeout"
	reasonConnection   = "connection"
	reasonWrongContent = "wrong_answer"
)

// Callers sends calls to the callers' listeners of instances in round-robin order.
type Callers struct {
	addresses []string
	tokens    []string
	client    *http.Client
	next      atomic.Uint64
}

// NewCallers returns a sender for the base URLs addresses and the workspaces' bearer
// tokens.
func NewCallers(addresses, tokens []string) *Callers {
	return &Callers{addresses: addresses, tokens: tokens, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost},
	}}
}

// Close closes the idle connections.
func (c *Callers) Close() { c.client.CloseIdleConnections() }

// Send implements Sender.
func (c *Callers) Send(ctx context.Context, call *Call, due time.Time) Result {
	result := Result{Call: call}
	req, err := c.request(ctx, call)
	if err != nil {
		result.NotRun, result.Reason = true, err.Error()
		return result
	}
	resp, err := c.client.Do(req)
	if err != nil {
		result.Reason = transportReason(err)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.RequestID = resp.Header.Get("Basilloom-Request-Id")
	result.NotRun = resp.Header.Get("Basilloom-Outcome") == outcomeNotRun
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		result.Reason = refusalReason(resp)
		return result
	}
	if call.Class.Model == "" {
		readServiceResponse(resp, &result, due)
		return result
	}
	readStream(resp, &result, due)
	return result
}

func (c *Callers) request(ctx context.Context, call *Call) (*http.Request, error) {
	address := c.addresses[c.next.Add(1)%uint64(len(c.addresses))]
	method, url, body := http.MethodGet, address+call.Class.Path, []byte(nil)
	if call.Class.Model != "" {
		method, url, body = http.MethodPost, address+"/v1/chat/completions", chatBody(call)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if len(c.tokens) > 0 {
		req.Header.Set("Authorization", "Bearer "+c.tokens[call.Workspace%len(c.tokens)])
	}
	return req, nil
}

// chatBody returns the body of a streamed chat completions call.
func chatBody(call *Call) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      call.Class.Model,
		"messages":   []map[string]string{{"role": "user", "content": call.Prompt}},
		"max_tokens": call.OutputTokens,
		"stream":     true,
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return body
}

func refusalReason(resp *http.Response) string {
	if reason := resp.Header.Get("Basilloom-Reason"); reason != "" {
		return reason
	}
	return http.StatusText(resp.StatusCode)
}

func transportReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return reasonTimeout
	}
	return reasonConnection
}

func readServiceResponse(resp *http.Response, result *Result, due time.Time) {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		result.Reason = transportReason(err)
		return
	}
	result.FirstToken = time.Since(due)
	result.Complete = true
}

// chunk is the data of one event: a part of the response, or an error.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func readStream(resp *http.Response, result *Result, due time.Time) {
	tokens := tokenStream{due: due}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	ended := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		if c.Error.Code != "" {
			result.Reason = c.Error.Code
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			tokens.addToken(time.Now(), c.Choices[0].Delta.Content)
		}
	}
	result.FirstToken, result.Gaps = tokens.firstToken, tokens.gaps
	switch {
	case result.Reason != "":
	case scanner.Err() != nil:
		result.Reason = transportReason(scanner.Err())
	case !ended || resp.Trailer.Get("Basilloom-Outcome") != outcomeServed:
		result.Reason = reasonConnection
	default:
		checkContent(result, tokens.content)
	}
}

// checkContent compares the content of a response with the content that a stand-in
// engine generates for the call.
func checkContent(result *Result, content []byte) {
	expected := engine.ExpectedContent(result.RequestID, result.Call.Prompt, result.Call.OutputTokens)
	if string(content) != expected {
		result.Wrong, result.Reason = true, reasonWrongContent
		return
	}
	result.Complete = true
}
