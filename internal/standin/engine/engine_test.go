package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// timedWriter is a ResponseWriter that records when each event was written.
type timedWriter struct {
	mu     sync.Mutex
	header http.Header
	status int
	body   bytes.Buffer
	times  []time.Time
}

func newTimedWriter() *timedWriter { return &timedWriter{header: http.Header{}} }

func (w *timedWriter) Header() http.Header { return w.header }

func (w *timedWriter) WriteHeader(status int) { w.status = status }

func (w *timedWriter) FlushError() error { return nil }

func (w *timedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range bytes.Count(p, []byte("id: ")) {
		w.times = append(w.times, time.Now())
	}
	return w.body.Write(p)
}

// events returns the event numbers, the concatenated content, and whether the end
// marker was received.
func (w *timedWriter) events(t *testing.T) (numbers []int, content string, done bool) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range strings.Lines(w.body.String()) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			number, err := strconv.Atoi(id)
			require.NoError(t, err)
			numbers = append(numbers, number)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta message `json:"delta"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		content += chunk.Choices[0].Delta.Content
	}
	return numbers, content, done
}

func chatBody(prompt string, tokens int, stream bool) string {
	body, _ := json.Marshal(chatRequest{
		Model:     "m",
		Messages:  []message{{Role: "user", Content: prompt}},
		MaxTokens: tokens,
		Stream:    stream,
	})
	return string(body)
}

// call serves one request. aborted is set if the handler aborted the connection.
func call(ctx context.Context, e *Engine, w http.ResponseWriter, method, path, body string, headers ...string) (aborted bool) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			err, _ := recovered.(error)
			if !errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			aborted = true
		}
	}()
	e.ServeHTTP(w, r)
	return false
}

func streamChat(ctx context.Context, e *Engine, id, prompt string, tokens int, headers ...string) (*timedWriter, bool) {
	w := newTimedWriter()
	headers = append(headers, "X-Request-Id", id)
	aborted := call(ctx, e, w, "POST", "/v1/chat/completions", chatBody(prompt, tokens, true), headers...)
	return w, aborted
}

func completeChat(e *Engine, id, prompt string, tokens int, headers ...string) (*httptest.ResponseRecorder, bool) {
	w := httptest.NewRecorder()
	headers = append(headers, "X-Request-Id", id)
	aborted := call(context.Background(), e, w, "POST", "/v1/chat/completions", chatBody(prompt, tokens, false), headers...)
	return w, aborted
}

// simulate runs the test in simulated time with a new engine.
func simulate(t *testing.T, change func(*Settings), test func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		if change != nil {
			change(&settings)
		}
		e := New(settings)
		defer e.Close()
		test(t, e)
	})
}

// Guards against incomplete responses, and against responses that a test cannot
// assign to their request.
func TestResponsesAreCompleteAndMatchRequest(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		w, _ := completeChat(e, "a", "hello", 20)
		var response completion
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
		require.Equal(t, "a", response.ID)
		require.Equal(t, ExpectedContent("a", "hello", 20), response.Choices[0].Message.Content)
		require.NotEqual(t, ExpectedContent("b", "hello", 20), response.Choices[0].Message.Content)
		require.NotEqual(t, ExpectedContent("a", "hallo", 20), response.Choices[0].Message.Content)

		events, _ := streamChat(t.Context(), e, "a", "hello", 20)
		numbers, content, done := events.events(t)
		require.True(t, done)
		require.Len(t, numbers, 21)
		require.Equal(t, response.Choices[0].Message.Content, content)
		require.Equal(t, map[string]int{"a": 2}, e.Runs())
	})
}

// meanGap returns the mean time between the tokens of one stream in a batch of the
// given size.
func meanGap(t *testing.T, e *Engine, batch int) time.Duration {
	t.Helper()
	var wait sync.WaitGroup
	writers := make([]*timedWriter, batch)
	for i := range batch {
		wait.Go(func() { writers[i], _ = streamChat(t.Context(), e, fmt.Sprint(batch, i), "p", 50) })
	}
	wait.Wait()
	times := writers[0].times[:50]
	return times[49].Sub(times[0]) / 49
}

// Guards against batches of any size running at full speed, which would hide
// overload from the scheduler.
func TestLargeBatchIsSlower(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		one := meanGap(t, e, 1)
		require.InDelta(t, time.Second/60, one, float64(time.Millisecond))
		require.Less(t, meanGap(t, e, 31), 32*time.Millisecond)
		require.Greater(t, meanGap(t, e, 40), 32*time.Millisecond)
	})
}
