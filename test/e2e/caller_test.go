package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callEnv is the environment variable that passes a call as JSON to a caller's
// process.
const callEnv = "BASILLOOM_E2E_CALL"

const callTimeout = 30 * time.Second

// call is one HTTP call of a caller.
type call struct {
	Method  string
	URL     string
	Body    string
	Headers map[string]string
}

// response is the response that the caller received.
type response struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    string
	// Error is set if no complete response arrived.
	Error string
}

func (r response) outcome() string {
	if o := r.Header.Get("Basilloom-Outcome"); o != "" {
		return o
	}
	return r.Trailer.Get("Basilloom-Outcome")
}

func (r response) requestID() string { return r.Header.Get("Basilloom-Request-Id") }

// perform makes the call in this process.
func (c call) perform() response {
	req, err := http.NewRequest(c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return response{Error: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	for name, value := range c.Headers {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return response{Error: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	r := response{Status: resp.StatusCode, Header: resp.Header}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Error = err.Error()
	}
	r.Body, r.Trailer = string(data), resp.Trailer
	return r
}

// runCaller is the main function of a caller's process.
func runCaller(text string) int {
	var c call
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := json.NewEncoder(os.Stdout).Encode(c.perform()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// performInSubprocess makes the call in a separate process.
func (c call) performInSubprocess(t *testing.T) response {
	t.Helper()
	text, err := json.Marshal(c)
	require.NoError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), callEnv+"="+string(text))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	require.NoError(t, err)
	var r response
	require.NoError(t, json.Unmarshal(out, &r))
	return r
}

// chat returns a chat completions call to an instance.
func (i *instance) chat(model, prompt string, maxTokens int, stream bool) call {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": maxTokens,
		"stream":     stream,
	})
	if err != nil {
		panic(err) // these values always encode
	}
	return call{Method: http.MethodPost, URL: "http://" + i.callersAddress + "/v1/chat/completions", Body: string(body)}
}

func (i *instance) service(method, path, body string, headers map[string]string) call {
	return call{Method: method, URL: "http://" + i.callersAddress + path, Body: body, Headers: headers}
}

// streamedContent joins the content of a streamed response and reports whether the
// response has its end marker.
func streamedContent(body string) (content string, complete bool) {
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), complete
}
