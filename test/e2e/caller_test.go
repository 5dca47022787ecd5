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

// callEnv holds the call of a caller's process as JSON.
const callEnv = "BASILLOOM_E2E_CALL"

const callTimeout = 30 * time.Second

// call is one HTTP call of a caller.
type call struct {
	Method  string
	URL     string
	Body    string
	Headers map[string]string
}

// answer is what the caller saw.
type answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    string
	// Error is set if the answer did not arrive whole.
	Error string
}

func (a answer) outcome() string {
	if o := a.Header.Get("Basilloom-Outcome"); o != "" {
		return o
	}
	return a.Trailer.Get("Basilloom-Outcome")
}

func (a answer) requestID() string { return a.Header.Get("Basilloom-Request-Id") }

// perform makes the call in this process.
func (c call) perform() answer {
	req, err := http.NewRequest(c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return answer{Error: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	for name, value := range c.Headers {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return answer{Error: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{Status: resp.StatusCode, Header: resp.Header}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Error = err.Error()
	}
	a.Body, a.Trailer = string(data), resp.Trailer
	return a
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

// inProcess makes the call in a process of its own.
func (c call) inProcess(t *testing.T) answer {
	t.Helper()
	text, err := json.Marshal(c)
	require.NoError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), callEnv+"="+string(text))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	require.NoError(t, err)
	var a answer
	require.NoError(t, json.Unmarshal(out, &a))
	return a
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
		panic(err) // plain values always encode
	}
	return call{Method: http.MethodPost, URL: "http://" + i.callers + "/v1/chat/completions", Body: string(body)}
}

func (i *instance) service(method, path, body string, headers map[string]string) call {
	return call{Method: method, URL: "http://" + i.callers + path, Body: body, Headers: headers}
}

// streamedContent joins the contents of a streamed answer and tells whether it
// has its end marker.
func streamedContent(body string) (content string, whole bool) {
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), whole
}
