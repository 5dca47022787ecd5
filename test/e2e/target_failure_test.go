package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that crashes one engine after another, and against
// refusals of regular requests that ran on a crashed engine and are sent again by
// their callers.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	const marker = "nightshade"
	var engines []*standin
	for range 4 {
		engines = append(engines, startStandin(t, "engine"))
		engines[len(engines)-1].setFaults(t, `{"poison_marker": "`+marker+`"}`)
	}
	f := startFleet(t, 3)
	f.apply(t, baseConfig(engines, nil))
	f.waitConverged(t)

	var regular load
	for n := range 12 {
		prompt := fmt.Sprintf("innocent question %d", n)
		regular.wg.Go(func() {
			regular.sendUntilServed(f.instances, n, prompt, 20)
		})
	}
	waitReceived(t, 12, engines...)
	quarantined := false
	for n := 0; n < 8 && !quarantined; n++ {
		r := f.instances[n%len(f.instances)].chat("plans", "a recipe with "+marker, 5, false).perform()
		require.Empty(t, r.Error)
		quarantined = r.Header.Get("Basilloom-Reason") == "quarantined"
	}
	require.True(t, quarantined, "the request was never quarantined")
	refused, failed := 0, 0
	for _, c := range regular.wait() {
		switch {
		case c.outcome() == "served":
			c.requireComplete(t)
		case c.outcome() == "not-run":
			refused++
		default:
			failed++
		}
	}
	crashed := 0
	for _, e := range engines {
		if !e.alive() {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, 2, "too many engines crashed")
	require.Zero(t, refused, "regular requests were refused")
	t.Logf("%d engines crashed, %d regular calls failed with them, %d refused", crashed, failed, refused)
}

// sendUntilServed repeats a failed call through the instances in turn, as a caller
// would, up to four times in all.
func (l *load) sendUntilServed(instances []*instance, n int, prompt string, tokens int) {
	for range 4 {
		one := load{}
		one.addPrompt(instances[n%len(instances)], "plans", prompt, tokens, true)
		done := one.wait()
		l.mu.Lock()
		l.done = append(l.done, done...)
		l.mu.Unlock()
		if done[0].outcome() == "served" {
			return
		}
		n++
	}
}

func (s *standin) alive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// Guards against an engine that attracts traffic because it returns errors at once.
func TestFailingEngineAttractsNoTraffic(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, 3)
	f.apply(t, baseConfig(engines, nil))
	f.waitConverged(t)
	engines[0].setFaults(t, `{"error_rate": 1}`)
	s := startSteadyLoad(f.instances...)
	require.Eventually(t, func() bool { return s.ended() >= 200 }, startTimeout, pollInterval)
	calls := s.stop()
	failed := 0
	for _, c := range calls {
		if c.outcome() == "failed" {
			failed++
			continue
		}
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	// With an even distribution, a third of the calls would reach the engine.
	require.Less(t, failed, len(calls)/10, "too many calls failed")
	t.Logf("%d of %d calls failed", failed, len(calls))
}

// Guards against requests that wait for a frozen engine past their deadline.
func TestFrozenEngine(t *testing.T) {
	t.Parallel()
	const deadline = 5 * time.Second // of the top tier
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, 3)
	f.apply(t, withConcurrency(baseConfig(engines, nil), 2))
	f.waitConverged(t)
	engines[0].setFaults(t, `{"freeze_ms": 12000}`)
	frozen := time.Now()
	count := len(received(t, engines[0]))
	var l load
	for range 5 {
		for _, i := range f.instances {
			l.add(i, "plans", 10, true)
		}
	}
	require.Eventually(t, func() bool { return l.ended() >= 13 }, deadline, pollInterval,
		"waiting requests did not move to the other engine")
	movedAfter := time.Since(frozen)
	calls := l.wait()
	stuck := len(received(t, engines[0])) - count
	require.LessOrEqual(t, stuck, 2, "only the slots of the frozen engine may be stuck")
	for _, c := range calls {
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d calls, %d stuck until the engine resumed, the others served after %v", len(calls), stuck, movedAfter)
}

// Guards against a response of another request, or a truncated or late one, that
// a caller receives as its own complete response.
func TestWrongResponsesAreNotDelivered(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, 2)
	files := baseConfig(engines, nil)
	files["70-brief.yaml"] = "routes:\n- {name: brief, model: brief, pool: models, tier: top, version: v1, response_timeout: 1s}\n"
	f.apply(t, files)
	f.waitConverged(t)
	requireLateResponsesDropped(t, f, engines)
	for _, fault := range []string{`{"cross_rate": 0.3}`, `{"cross_rate": 0, "truncate_rate": 0.3}`} {
		for _, e := range engines {
			e.setFaults(t, fault)
		}
		served, wrong := 0, 0
		var l load
		for n := range 40 {
			l.add(f.instances[n%2], "plans", 8, n%4 < 2)
			if n%8 == 7 {
				l.wg.Wait()
			}
		}
		for _, c := range l.wait() {
			if c.outcome() == "served" && c.Error == "" {
				c.requireComplete(t)
				served++
				continue
			}
			if c.stream {
				_, complete := streamedContent(c.Body)
				require.False(t, complete, "a faulty stream has its end marker: %s", c.Body)
			}
			wrong++
		}
		require.NotZero(t, served)
		require.NotZero(t, wrong)
		requireDispatchedOnce(t, l.done, engines...)
		t.Logf("%s: %d responses delivered, %d not", fault, served, wrong)
	}
}

// requireLateResponsesDropped delays responses past the timeout of their route and
// then checks that later calls get their own responses.
func requireLateResponsesDropped(t *testing.T, f *fleet, engines []*standin) {
	t.Helper()
	for _, e := range engines {
		e.setFaults(t, `{"slow_factor": 8}`)
	}
	var late load
	for _, i := range f.instances {
		late.add(i, "brief", 30, false)
	}
	for _, c := range late.wait() {
		require.Equal(t, "failed", c.outcome(), c.Body)
		require.Equal(t, http.StatusGatewayTimeout, c.Status)
	}
	for _, e := range engines {
		e.setFaults(t, `{"clear": true}`)
	}
	var after load
	for n := range 8 {
		after.add(f.instances[n%2], "plans", 8, n%4 < 2)
	}
	for _, c := range after.wait() {
		c.requireComplete(t)
	}
}

// Guards against a stream that is lost, repeated or resumed elsewhere when the
// connection to its engine breaks for a short time.
func TestInterruptedStreamIsResumed(t *testing.T) {
	t.Parallel()
	engine := startStandin(t, "engine")
	r := &regions{}
	forwards := r.startLink(t, []string{"--delay=0s", "--bandwidth=0", "--forward=127.0.0.1:0=" + engine.address})
	f := startFleet(t, 2)
	files := baseConfig([]*standin{engine}, nil)
	files["50-targets.yaml"] = strings.ReplaceAll(files["50-targets.yaml"], engine.address, forwards[0])
	f.apply(t, files)
	f.waitConverged(t)
	var l load
	for n := range 6 {
		l.add(f.instances[n%2], "plans", 120, true)
	}
	waitReceived(t, 6, engine)
	require.Eventually(t, func() bool {
		var stats struct {
			GeneratedTokens int `json:"generated_tokens"`
		}
		getJSON(t, engine.url("/stats"), &stats)
		return stats.GeneratedTokens > 60
	}, startTimeout, pollInterval)
	r.link.setFaults(t, `{"cut": "reset"}`)
	time.Sleep(500 * time.Millisecond) // duration of the fault
	r.link.setFaults(t, `{"cut": ""}`)
	calls := l.wait()
	for _, c := range calls {
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engine)
	t.Logf("%d streams resumed", len(calls))
}
