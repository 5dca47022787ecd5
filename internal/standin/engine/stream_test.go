package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// longPrompt returns a prompt of the given number of full blocks. Prompts with
// different tags differ from the first block on.
func longPrompt(tag string, blocks int) string {
	return strings.Repeat(tag+strings.Repeat("x", 256-len(tag)), blocks)
}

// disconnect starts a stream and closes the connection after the given time.
func disconnect(t *testing.T, e *Engine, id, prompt string, tokens int, after time.Duration) *timedWriter {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	w, aborted := streamChat(ctx, e, id, prompt, tokens)
	require.True(t, aborted)
	return w
}

func resume(t *testing.T, e *Engine, streamID string, after int) (*timedWriter, bool) {
	t.Helper()
	w := newTimedWriter()
	aborted := call(t.Context(), e, w, "GET", "/v1/streams/"+streamID, "", "Last-Event-ID", strconv.Itoa(after))
	return w, aborted
}

func get[T any](t *testing.T, e *Engine, path string) T {
	t.Helper()
	w := httptest.NewRecorder()
	call(t.Context(), e, w, "GET", path, "")
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	var response T
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
	return response
}

// Guards against a resume that repeats, skips or regenerates events, for every
// event number at which the connection can break.
func TestResumeReturnsExactlyTheRemainder(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		first := disconnect(t, e, "a", "hello", 40, 300*time.Millisecond)
		numbers, head, done := first.events(t)
		require.False(t, done)
		require.NotEmpty(t, numbers)
		streamID := first.header.Get("X-Stream-Id")
		for after := range 42 {
			rest, _ := resume(t, e, streamID, after)
			restNumbers, tail, done := rest.events(t)
			require.True(t, done)
			require.Len(t, restNumbers, 41-after)
			require.Equal(t, ExpectedContent("a", "hello", 40)[min(after, 40)*tokenBytes:], tail)
			if after == len(numbers) {
				require.Equal(t, ExpectedContent("a", "hello", 40), head+tail)
			}
		}
		require.Equal(t, map[string]int{"a": 1}, e.Runs())
		require.EqualValues(t, 40, e.Stats().GeneratedTokens)
	})
}

// Guards against two handlers sending one stream at the same time.
func TestResumeTakesOver(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		var firstAborted bool
		first := newTimedWriter()
		go func() {
			firstAborted = call(t.Context(), e, first, "POST", "/v1/chat/completions", chatBody("p", 40, true), "X-Request-Id", "a")
		}()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait() // orders the reads of first after the handler's writes
		second, aborted := resume(t, e, first.header.Get("X-Stream-Id"), 0)
		synctest.Wait()
		require.True(t, firstAborted)
		require.False(t, aborted)
		_, content, _ := second.events(t)
		require.Equal(t, ExpectedContent("a", "p", 40), content)
	})
}

// Guards against abandoned streams that never expire or never stop running.
func TestAbandonedStreamExpires(t *testing.T) {
	simulate(t, func(s *Settings) { s.StreamRetention = time.Second }, func(t *testing.T, e *Engine) {
		first := disconnect(t, e, "a", "hello", 1000, 300*time.Millisecond)
		time.Sleep(1100 * time.Millisecond)
		rest, _ := resume(t, e, first.header.Get("X-Stream-Id"), 0)
		require.Equal(t, http.StatusNotFound, rest.status)
		stats := e.Stats()
		require.Positive(t, stats.WastedDecodeTokens)
		require.Equal(t, stats.GeneratedTokens, stats.WastedDecodeTokens)
		require.Zero(t, get[Load](t, e, "/v1/load").Running)
	})
}

// Guards against cancelled work that remains in the batch, and a waiting request
// that runs although its client has disconnected.
func TestCancelAndClientDisconnect(t *testing.T) {
	simulate(t, func(s *Settings) { s.BatchLimit = 1 }, func(t *testing.T, e *Engine) {
		first := disconnect(t, e, "a", longPrompt("a", 2), 1000, 300*time.Millisecond)
		waiting := disconnect(t, e, "b", "p", 10, 100*time.Millisecond)
		require.Empty(t, waiting.header.Get("X-Stream-Id"))
		require.Equal(t, 0, get[Load](t, e, "/v1/load").Waiting)

		w := httptest.NewRecorder()
		call(t.Context(), e, w, "DELETE", "/v1/streams/"+first.header.Get("X-Stream-Id"), "")
		require.Equal(t, http.StatusNoContent, w.Code)
		require.Zero(t, get[Load](t, e, "/v1/load").Running)
		stats := e.Stats()
		require.EqualValues(t, 128, stats.WastedPrefillTokens)
		require.Equal(t, stats.GeneratedTokens, stats.WastedDecodeTokens)
		_, aborted := streamChat(t.Context(), e, "c", "p", 5)
		require.False(t, aborted)
	})
}

// Guards against a cache that is reported but saves no prefill, and against hits
// on a prompt that differs from the first block on.
func TestCacheHitReducesPrefill(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		firstToken := func(id, prompt string) time.Duration {
			start := time.Now()
			w, _ := streamChat(t.Context(), e, id, prompt, 1)
			return w.times[0].Sub(start)
		}
		cold := firstToken("a", longPrompt("same", 50))
		warm := firstToken("b", longPrompt("same", 50)+"more")
		other := firstToken("c", longPrompt("else", 50))
		require.InDelta(t, 3200.0/8000, cold.Seconds(), 0.01)
		require.Less(t, warm, cold/10)
		require.InDelta(t, cold, other, float64(time.Millisecond))
		require.EqualValues(t, 3200+1+3200, e.Stats().PrefillTokens)
		require.EqualValues(t, 3200, e.Stats().CachedTokens)
		firstToken("d", longPrompt("same", 50)+longPrompt("tail", 10))
		require.EqualValues(t, 3200+1+3200+640, e.Stats().PrefillTokens)
	})
}

// Guards against an unlimited cache, a wrong eviction order, and running streams
// that take no memory.
func TestCacheMemoryIsLimited(t *testing.T) {
	simulate(t, func(s *Settings) { s.CacheBlocks = 25 }, func(t *testing.T, e *Engine) {
		for _, tag := range []string{"a", "b", "a", "c"} {
			completeChat(e, tag, longPrompt(tag, 10), 64)
		}
		computed := e.Stats().PrefillTokens
		completeChat(e, "a2", longPrompt("a", 10), 64)
		require.EqualValues(t, computed+1, e.Stats().PrefillTokens, "the least recently used prompt is b")
		require.LessOrEqual(t, get[Load](t, e, "/v1/load").CacheUsedBlocks, 25)
		completeChat(e, "long", longPrompt("a", 10)+longPrompt("tail", 10), 1)
		completeChat(e, "evicts", longPrompt("e", 10), 1)
		computed = e.Stats().PrefillTokens
		completeChat(e, "a3", longPrompt("a", 10), 1)
		require.EqualValues(t, computed+1, e.Stats().PrefillTokens, "a prompt's tail is evicted before its start")
		w, _ := completeChat(e, "d", longPrompt("d", 26), 1)
		require.Equal(t, http.StatusBadRequest, w.Code)

		go streamChat(t.Context(), e, "e", "p", 64*20)
		synctest.Wait()
		go streamChat(t.Context(), e, "f", "q", 64*20)
		time.Sleep(100 * time.Millisecond)
		load := get[Load](t, e, "/v1/load")
		require.Equal(t, []int{1, 1}, []int{load.Running, load.Waiting}, "memory holds only one of the two streams")
		time.Sleep(time.Minute)
		require.Zero(t, get[Load](t, e, "/v1/load").Running)
	})
}

// Guards against prefill that does not delay other streams, and against a queue
// that serves short requests first.
func TestPrefillDelaysOthersAndQueueIsFIFO(t *testing.T) {
	simulate(t, func(s *Settings) { s.BatchLimit = 3 }, func(t *testing.T, e *Engine) {
		ended := make(chan string, 6)
		run := func(id, prompt string, tokens int) *timedWriter {
			w, _ := streamChat(t.Context(), e, id, prompt, tokens)
			ended <- id
			return w
		}
		var steady *timedWriter
		go func() { steady = run("steady", "p", 200) }()
		go run("full", "p", 50)
		go run("full 2", "p", 55)
		time.Sleep(500 * time.Millisecond)
		for _, id := range []string{"long", "long 2"} {
			go run(id, longPrompt(id, 60), 1)
			synctest.Wait()
		}
		go run("short", "q", 1)
		time.Sleep(time.Minute)
		var order []string
		for range cap(ended) {
			order = append(order, <-ended)
		}
		require.Equal(t, []string{"full", "full 2", "long", "long 2", "short", "steady"}, order)
		synctest.Wait()
		widest := time.Duration(0)
		for i := 1; i < len(steady.times)-1; i++ {
			widest = max(widest, steady.times[i].Sub(steady.times[i-1]))
		}
		require.Greater(t, widest, 40*time.Millisecond, "256 prompt tokens in one step take 32 ms")
		require.Less(t, widest, 60*time.Millisecond, "both prompts share the prefill chunk of a step")
	})
}

// Guards against load reports and cache events that are more current or more
// complete than those of real engines.
func TestReportsLagAndEventsAreLost(t *testing.T) {
	simulate(t, func(s *Settings) {
		s.LoadLag, s.EventDelay, s.EventDropRate = time.Second, time.Second, 0.5
	}, func(t *testing.T, e *Engine) {
		time.Sleep(2 * time.Second)
		go streamChat(t.Context(), e, "a", "p", 100)
		time.Sleep(900 * time.Millisecond)
		load := get[Load](t, e, "/v1/load")
		require.Zero(t, load.Running)
		require.Equal(t, time.Now().Add(-time.Second).UnixMilli(), load.AsOfUnixMillis)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, get[Load](t, e, "/v1/load").Running)

		for i := range 40 {
			completeChat(e, strconv.Itoa(i), longPrompt(strconv.Itoa(i), 1), 1)
		}
		require.Less(t, get[CacheEvents](t, e, "/v1/cache_events").Last, int64(40))
		time.Sleep(2 * time.Second)
		events := get[CacheEvents](t, e, "/v1/cache_events?after=10")
		require.EqualValues(t, 40, events.Last)
		require.Greater(t, len(events.Events), 5)
		require.Less(t, len(events.Events), 25)
		require.Greater(t, events.Events[0].Sequence, int64(10))
	})
}
