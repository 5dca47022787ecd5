package load

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/engine"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
)

// Guards against a comparison of policies on different loads, and against prompts
// without the shared prefixes that the prefix cache measurements need.
func TestGenerateIsDeterministic(t *testing.T) {
	mix, err := MixByName("clearwater")
	require.NoError(t, err)
	calls := mix.Generate(7, 50, 10*time.Second)
	require.Equal(t, calls, mix.Generate(7, 50, 10*time.Second))
	require.NotEqual(t, calls, mix.Generate(8, 50, 10*time.Second))
	require.InDelta(t, 500, len(calls), 100)
	prefixes := make(map[string]int)
	for _, call := range calls {
		if call.Class.Name == "clearance-plans" {
			prefixes[call.Prompt[:256]]++
			require.Greater(t, call.PromptTokens(), 4000)
		}
	}
	require.LessOrEqual(t, len(prefixes), mix.SharedPrefixes)
}

// slowSender completes each call after a fixed time.
type slowSender struct{ duration time.Duration }

func (s slowSender) Send(_ context.Context, call *Call, due time.Time) Result {
	time.Sleep(s.duration)
	return Result{Call: call, Complete: true, FirstToken: time.Since(due)}
}

// Guards against a load generator that waits for responses and so hides an overload.
func TestArrivalsDoNotWaitForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		class := &Class{}
		calls := []Call{{Class: class}, {Class: class, At: time.Second}, {Class: class, At: 2 * time.Second}}
		started := time.Now()
		for _, r := range Run(t.Context(), calls, slowSender{10 * time.Second}) {
			require.Equal(t, 10*time.Second, r.FirstToken)
		}
		require.Equal(t, 12*time.Second, time.Since(started))
	})
}

func TestMeetsObjectives(t *testing.T) {
	tier := Tier{FirstToken: time.Second, TokenInterval: 30 * time.Millisecond}
	call := &Call{Class: &Class{Tier: tier}}
	good := Result{Call: call, Complete: true, FirstToken: time.Second, Gaps: []time.Duration{20 * time.Millisecond, 40 * time.Millisecond}}
	require.True(t, good.MeetsObjectives())
	for name, violate := range map[string]func(*Result){
		"incomplete":  func(r *Result) { r.Complete = false },
		"late":        func(r *Result) { r.FirstToken++ },
		"slow tokens": func(r *Result) { r.Gaps = append(r.Gaps, 31*time.Millisecond) },
	} {
		bad := good
		violate(&bad)
		require.False(t, bad.MeetsObjectives(), name)
	}
}

// Guards against a baseline that reads the wrong load and sends all calls to a busy
// engine, or all calls to the same one of several engines with equal load.
func TestLeastLoadChoosesLeastBusyEngine(t *testing.T) {
	policy := NewLeastLoad(Targets([]string{"a", "b", "c"}), nil)
	policy.load = []int{4, 1, 1}
	seen := map[string]int{}
	for range 10 {
		seen[policy.Choose().Name]++
	}
	require.Zero(t, seen["a"])
	require.Positive(t, seen["b"])
	require.Positive(t, seen["c"])
}

func startEngine(t *testing.T) *standin.Server {
	server, err := standin.Listen("127.0.0.1:0", standin.Settings{TimeScale: 20})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// Guards against a check that accepts wrong content, and against counting the prefill
// that every policy requires as wasted.
func TestDirectResponsesAndPrefill(t *testing.T) {
	server := startEngine(t)
	address := "http://" + server.Address()
	client := engine.NewClient()
	defer client.Close()
	mix, err := MixByName("clearwater")
	require.NoError(t, err)
	mix.SharedPrefixTokens = 640
	calls := mix.Generate(1, 100, 300*time.Millisecond)
	sender := NewDirect(NewRoundRobin(Targets([]string{address})), nil, client, "test")
	results := Run(t.Context(), calls, sender)
	for _, r := range results {
		require.True(t, r.Complete, r.Reason)
	}
	stats, err := FetchStats(t.Context(), []string{address})
	require.NoError(t, err)
	p := NewPrefill(results, stats)
	require.Positive(t, p.Minimum)
	require.GreaterOrEqual(t, p.Computed, p.Minimum)

	prefill := NewPrefill(results, EngineStats{PrefillTokens: p.Minimum + 100, WastedPrefillTokens: 30})
	require.EqualValues(t, 130, prefill.Wasted)

	results[0].Call.Prompt += "x"
	checkContent(&results[0], []byte("another"))
	require.True(t, results[0].Wrong)
}

// Guards against a refusal that counts as served or loses its reason, and against a
// truncated stream that counts as complete.
func TestCallersReadOutcomes(t *testing.T) {
	content := standin.ExpectedContent("r1", "hello", 2)
	stream := "data: {\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}\n\n"
	for name, c := range map[string]struct {
		status  int
		headers map[string]string
		body    string
		trailer string
		want    Result
	}{
		"served":    {200, map[string]string{"Basilloom-Request-Id": "r1"}, stream + "data: [DONE]\n\n", "served", Result{Complete: true}},
		"truncated": {200, map[string]string{"Basilloom-Request-Id": "r1"}, stream, "", Result{Reason: reasonConnection}},
		"wrong":     {200, map[string]string{"Basilloom-Request-Id": "r2"}, stream + "data: [DONE]\n\n", "served", Result{Wrong: true, Reason: reasonWrongContent}},
		"refused":   {429, map[string]string{"Basilloom-Outcome": "not-run", "Basilloom-Reason": "queue_full"}, "", "", Result{NotRun: true, Reason: "queue_full"}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "Bearer secret", r.Header.Get("Authorization"))
				for name, value := range c.headers {
					w.Header().Set(name, value)
				}
				w.Header().Set("Trailer", "Basilloom-Outcome")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
				w.Header().Set("Basilloom-Outcome", c.trailer)
			}))
			defer server.Close()
			callers := NewCallers([]string{server.URL}, []string{"secret"})
			defer callers.Close()
			got := callers.Send(t.Context(), &Call{Class: &Class{Model: "m"}, Prompt: "hello", OutputTokens: 2}, time.Now())
			require.Equal(t, c.want, Result{Complete: got.Complete, Wrong: got.Wrong, NotRun: got.NotRun, Reason: got.Reason})
		})
	}
}

// Guards against a report that omits refusals or counts a refused call as served.
func TestReportCountsByTier(t *testing.T) {
	mix := plumage()
	call := func(class int) *Call { return &Call{Class: &mix.Classes[class]} }
	report := Summarize(mix, []Result{
		{Call: call(0), Complete: true, FirstToken: time.Second},
		{Call: call(0), Complete: true, FirstToken: 2 * time.Second},
		{Call: call(3), NotRun: true, Reason: "queue_full"},
	})
	require.InDelta(t, 0.5, report.Tiers[0].Goodput, 1e-9)
	require.Equal(t, map[string]int{"queue_full": 1}, report.Tiers[3].Unserved)
	var out bytes.Buffer
	require.NoError(t, report.WriteTable(&out))
	require.True(t, strings.Contains(out.String(), "queue_full 1"), out.String())
}
