package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/prefix"
)

func postOrder(t *testing.T, e *Engine, body string) int {
	t.Helper()
	w := httptest.NewRecorder()
	call(t.Context(), e, w, "POST", "/v1/orders", body)
	return w.Code
}

// status serves one chat request and returns its HTTP status, or 0 if the connection
// was aborted.
func status(e *Engine, prompt string, headers ...string) int {
	w, aborted := completeChat(e, "x", prompt, 5, headers...)
	if aborted {
		return 0
	}
	return w.Code
}

// Guards against an engine that checks fencing tokens but accepts orders of a stale
// controller, and one that ignores fencing tokens but rejects them.
func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		simulate(t, func(s *Settings) { s.IgnoreFencing = ignore }, func(t *testing.T, e *Engine) {
			require.Equal(t, 200, postOrder(t, e, `{"id":"1","fence":7,"role":"prefill"}`))
			require.Equal(t, 200, postOrder(t, e, `{"id":"2","fence":7,"role":"decode"}`))
			code := postOrder(t, e, `{"id":"3","fence":6,"role":"stale"}`)
			if ignore {
				require.Equal(t, 200, code)
				require.Equal(t, "stale", e.State().Role)
				return
			}
			require.Equal(t, http.StatusConflict, code)
			require.Equal(t, "decode", e.State().Role)
			require.EqualValues(t, 7, e.State().Fence)
			require.Len(t, e.Stats().Orders, 2)
		})
	}
}

// Guards against versions that serve before they are loaded, loads that do not
// share the weight store's rate, and cancelled loads that still complete.
func TestLoadsShareTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewWeightStore(100 << 20)
		settings := Settings{Weights: store, VersionBytes: 1000 << 20, LoadTime: time.Second}
		a, b := New(settings), New(settings)
		defer a.Close()
		defer b.Close()
		for _, e := range []*Engine{a, b} {
			require.Equal(t, 200, postOrder(t, e, `{"fence":1,"versions":["v1","v2"]}`))
			require.Equal(t, 200, postOrder(t, e, `{"fence":1,"versions":["v1","v2"]}`))
		}
		require.Equal(t, http.StatusNotFound, status(a, "p", "X-Model-Version", "v2"))
		time.Sleep(15 * time.Second) // a single load takes 11 s
		require.Equal(t, []string{"v2"}, a.State().Loading)
		require.Equal(t, 200, postOrder(t, b, `{"fence":2,"versions":["v1"]}`))
		time.Sleep(30 * time.Second)
		require.Equal(t, 200, status(a, "p", "X-Model-Version", "v2"))
		require.Equal(t, []string{"v1", "v2"}, a.State().Versions)
		require.Equal(t, []string{"v1"}, b.State().Versions)
		require.Equal(t, 2, store.Stats().Fetches)
		require.Equal(t, "v2", a.Stats().RequestVersions["x"])

		for _, versions := range []string{`["v1","v3"]`, `["v1"]`, `["v1","v3"]`} {
			require.Equal(t, 200, postOrder(t, a, `{"fence":3,"versions":`+versions+`}`))
		}
		synctest.Wait()
		require.Equal(t, []string{"v3"}, a.State().Loading, "the cancelled load must not complete")
	})
}

// Guards against an import that yields no cache hits or accepts a truncated transfer.
func TestKVExportImport(t *testing.T) {
	simulate(t, func(s *Settings) { s.KVBlockBytes = 1000 }, func(t *testing.T, e *Engine) {
		other := New(DefaultSettings())
		defer other.Close()
		prompt := longPrompt("p", 4)
		status(e, prompt)
		path := "/v1/kv/" + formatBlock(prefix.Blocks([]byte(prompt))[3])
		export := httptest.NewRecorder()
		call(t.Context(), e, export, "GET", path, "")
		require.Greater(t, export.Body.Len(), 4000)
		body := export.Body.String()

		imported := httptest.NewRecorder()
		call(t.Context(), other, imported, "PUT", path, body[:len(body)-1])
		require.Equal(t, http.StatusBadRequest, imported.Code)
		require.Zero(t, get[Load](t, other, "/v1/load").CacheUsedBlocks)
		call(t.Context(), other, httptest.NewRecorder(), "PUT", path, body)
		status(other, prompt)
		require.EqualValues(t, 256, other.Stats().CachedTokens)
	})
}

// Guards against injected faults that have no effect or produce a valid response.
func TestResponseFaults(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		e.SetFaults(Faults{ErrorRate: 1})
		require.Equal(t, 500, status(e, "p"))
		e.SetFaults(Faults{CloseRate: 1})
		require.Equal(t, 0, status(e, "p"))
		require.Empty(t, e.Runs())
		require.Equal(t, 2, e.Stats().Received["x"])

		e.SetFaults(Faults{TruncateRate: 1})
		w, _ := completeChat(e, "t", "p", 20)
		require.False(t, json.Valid(w.Body.Bytes()))
		cut, _ := streamChat(t.Context(), e, "t", "p", 20)
		_, content, done := cut.events(t)
		require.False(t, done)
		require.Equal(t, ExpectedContent("t", "p", 10), content)

		e.SetFaults(Faults{CrossRate: 1})
		w, _ = completeChat(e, "own", "p", 5)
		require.Contains(t, w.Body.String(), ExpectedContent("t", "p", 5))
		require.Equal(t, "t", w.Header().Get("X-Request-Id"))

		e.SetFaults(Faults{HangRate: 1})
		start := time.Now()
		hung := disconnect(t, e, "h", "p", 5, time.Hour)
		require.Zero(t, hung.body.Len())
		require.Equal(t, time.Hour, time.Since(start))
	})
}

// Guards against a bad version that misbehaves at the wrong time, batch size or
// prompt, or that affects a good version on the same engine.
func TestBadVersion(t *testing.T) {
	simulate(t, func(s *Settings) { s.Versions = []string{"good", "bad"} }, func(t *testing.T, e *Engine) {
		bad := func(prompt string) int { return status(e, prompt, "X-Model-Version", "bad") }
		e.SetFaults(Faults{BadVersions: []BadVersion{{Version: "bad", FailRate: 1, AfterMillis: 60_000, Marker: "plan"}}})
		require.Equal(t, 200, bad("plan"))
		time.Sleep(time.Minute)
		require.Equal(t, 500, bad("plan"))
		require.Equal(t, 200, bad("chat"))
		require.Equal(t, 200, status(e, "plan"))

		e.SetFaults(Faults{BadVersions: []BadVersion{{Version: "bad", FailRate: 1, MinBatch: 2}}})
		require.Equal(t, 200, bad("p"))
		go streamChat(t.Context(), e, "busy", "p", 100)
		synctest.Wait()
		require.Equal(t, 500, bad("p"))
		time.Sleep(time.Minute)

		e.SetFaults(Faults{BadVersions: []BadVersion{{Version: "bad", SlowFactor: 3}}})
		took := func(version string) time.Duration {
			start := time.Now()
			completeChat(e, "s", "p", 100, "X-Model-Version", version)
			return time.Since(start)
		}
		require.InDelta(t, 3, took("bad").Seconds()/took("good").Seconds(), 0.1)
	})
}

// Guards against a freeze that loses work, and a slow factor without effect.
func TestFreezeAndSlow(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { e.Freeze(10 * time.Second) })
		w, _ := streamChat(t.Context(), e, "a", "p", 60)
		_, content, _ := w.events(t)
		require.Equal(t, ExpectedContent("a", "p", 60), content)
		require.InDelta(t, 11, time.Since(start).Seconds(), 0.1)
		e.Freeze(time.Second)
		start = time.Now()
		get[Load](t, e, "/v1/load")
		require.Equal(t, time.Second, time.Since(start))

		e.SetFaults(Faults{SlowFactor: 2})
		require.InDelta(t, 2*time.Second/60, meanGap(t, e, 1), float64(time.Millisecond))
	})
}

// Guards against a crash that keeps streams or cache, and a poison request that
// crashes the engine only once.
func TestPoisonCrashesAndRestartClearsState(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		prompt := longPrompt("p", 4)
		status(e, prompt)
		kept := disconnect(t, e, "kept", "p", 100, 200*time.Millisecond)
		e.SetFaults(Faults{PoisonMarker: "poison"})
		var victimAborted bool
		go func() { _, victimAborted = streamChat(t.Context(), e, "victim", "p", 100) }()
		synctest.Wait()
		require.Equal(t, 0, status(e, "some poison here"))
		synctest.Wait()
		require.True(t, victimAborted)
		require.Equal(t, 0, status(e, "p"), "a crashed engine must not respond")
		require.NoError(t, e.Restart())
		rest, _ := resume(t, e, kept.header.Get("X-Stream-Id"), 0)
		require.Equal(t, http.StatusNotFound, rest.status)
		cached := e.Stats().CachedTokens
		require.Equal(t, 200, status(e, prompt))
		require.Equal(t, cached, e.Stats().CachedTokens)
		require.Equal(t, 0, status(e, "poison"))
		require.Equal(t, 2, e.Stats().Crashes)
	})
}

// Guards against a fault command that silently resets other faults.
func TestFaultCommand(t *testing.T) {
	simulate(t, nil, func(t *testing.T, e *Engine) {
		post := func(body string) {
			w := httptest.NewRecorder()
			call(t.Context(), e, w, "POST", "/fault", body)
			require.Equal(t, 200, w.Code, w.Body.String())
		}
		post(`{"error_rate":1}`)
		post(`{"slow_factor":2}`)
		require.Equal(t, 500, status(e, "p"))
		post(`{"clear":true,"cross_rate":1}`)
		require.Equal(t, Faults{CrossRate: 1}, e.faults)
	})
}

// Guards against a crash that leaves the port or connections open.
func TestListenCrashAndRestart(t *testing.T) {
	s, err := Listen("127.0.0.1:0", Settings{})
	require.NoError(t, err)
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	post := func(id string, tokens int) (*http.Response, error) {
		body := strings.NewReader(chatBody("p", tokens, true))
		r, err := http.NewRequest("POST", "http://"+s.Address()+"/v1/chat/completions", body)
		require.NoError(t, err)
		r.Header.Set("X-Request-Id", id)
		return client.Do(r)
	}
	response, err := post("a", 10_000)
	require.NoError(t, err)
	s.Crash()
	_, err = io.Copy(io.Discard, response.Body)
	require.ErrorContains(t, err, "reset")
	_, err = post("b", 1)
	require.ErrorContains(t, err, "refused")
	require.NoError(t, s.Restart())
	response, err = post("c", 1)
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode)
	require.NoError(t, response.Body.Close())
}
