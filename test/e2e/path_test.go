package e2e

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/engine"
)

// Guards the whole path: a request goes from a caller through separate processes
// to a target, the caller receives its complete response, and all processes exit
// cleanly.
func TestRequestPath(t *testing.T) {
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine", "--decode=30")}
	services := []*standin{startStandin(t, "service")}
	f := startFleet(t, 3)
	f.apply(t, baseConfig(engines, services))
	f.waitReady(t)

	const prompt = "Which toys suit a young cockatoo?"
	for _, i := range f.instances {
		streamed := i.chat("plans", prompt, 12, true).performInSubprocess(t)
		require.Empty(t, streamed.Error)
		require.Equal(t, http.StatusOK, streamed.Status, streamed.Body)
		require.Equal(t, "served", streamed.outcome())
		content, complete := streamedContent(streamed.Body)
		require.True(t, complete)
		require.Equal(t, engine.ExpectedContent(streamed.requestID(), prompt, 12), content)

		plain := i.chat("plans", prompt, 5, false).performInSubprocess(t)
		require.Equal(t, "served", plain.outcome(), plain.Body)
		var body struct {
			Choices []struct{ Message struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte(plain.Body), &body))
		require.Equal(t, engine.ExpectedContent(plain.requestID(), prompt, 5), body.Choices[0].Message.Content)

		status := i.service(http.MethodGet, "/orders/status/7", "", nil).performInSubprocess(t)
		require.Equal(t, http.StatusOK, status.Status, status.Body)
		require.Equal(t, "served", status.outcome())
	}
	for _, i := range f.instances {
		i.signal(t, syscall.SIGTERM)
	}
	for _, i := range f.instances {
		require.Zero(t, i.waitExit(t, 10*time.Second), i.name)
	}
}

// Guards against an invalid call that reaches a target, and against a refusal
// without the outcome not-run.
func TestBadCallsAreRefused(t *testing.T) {
	engines := []*standin{startStandin(t, "engine")}
	services := []*standin{startStandin(t, "service")}
	f := startFleet(t, 1)
	f.apply(t, baseConfig(engines, services))
	f.waitReady(t)
	i := f.instances[0]
	wrongToken := i.chat("plans", "x", 1, false)
	wrongToken.Headers = map[string]string{"Authorization": "Bearer wrong"}
	malformed := i.chat("plans", "x", 1, false)
	malformed.Body = "{"
	tooLarge := i.chat("plans", "x", 1, false)
	tooLarge.Body = string(make([]byte, 9<<20))
	tests := []struct {
		name   string
		call   call
		status int
		reason string
	}{
		{"wrong token", wrongToken, http.StatusUnauthorized, "unauthorized"},
		{"malformed body", malformed, http.StatusBadRequest, "malformed"},
		{"too large", tooLarge, http.StatusRequestEntityTooLarge, "too_large"},
		{"unknown model", i.chat("nothing", "x", 1, false), http.StatusNotFound, "unknown_route"},
		{"unknown path", i.service(http.MethodGet, "/nothing", "", nil), http.StatusNotFound, "unknown_route"},
		{"no key", i.service(http.MethodPost, "/orders/dispatch", "{}", nil), http.StatusBadRequest, "idempotency_key_missing"},
	}
	for _, tt := range tests {
		r := tt.call.perform()
		require.Equal(t, tt.status, r.Status, "%s: %s %s", tt.name, r.Error, r.Body)
		require.Equal(t, "not-run", r.outcome(), tt.name)
		require.Equal(t, tt.reason, r.Header.Get("Basilloom-Reason"), tt.name)
	}
	var stats struct{ Runs map[string]int }
	getJSON(t, engines[0].url("/stats"), &stats)
	require.Empty(t, stats.Runs)
}
