package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that crashes one engine after the other, and against
// refusals of the requests that ran beside it. Their callers, too, send again.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	const marker = "nightshade"
	var engines []*standin
	for range 4 {
		engines = append(engines, startStandin(t, "engine"))
		engines[len(engines)-1].fault(t, `{"poison_marker": "`+marker+`"}`)
	}
	f := startFleet(t, 3)
	f.apply(t, baseConfig(engines, nil))
	f.settle(t)

	var innocents load
	for n := range 12 {
		prompt := fmt.Sprintf("innocent question %d", n)
		innocents.wg.Go(func() {
			innocents.sendUntilServed(f.instances, n, prompt, 20)
		})
	}
	waitReceived(t, 12, engines...)
	quarantined := false
	for n := 0; n < 8 && !quarantined; n++ {
		a := f.instances[n%len(f.instances)].chat("plans", "a recipe with "+marker, 5, false).perform()
		require.Empty(t, a.Error)
		quarantined = a.Header.Get("Basilloom-Reason") == "quarantined"
	}
	require.True(t, quarantined, "the request was never refused")
	refused, failed := 0, 0
	for _, p := range innocents.wait() {
		switch {
		case p.outcome() == "served":
			p.requireWhole(t)
		case p.outcome() == "not-run":
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
	require.LessOrEqual(t, crashed, 2, "engines crashed")
	require.Zero(t, refused, "innocent requests were refused")
	t.Logf("%d engines crashed, %d innocent calls failed with them, %d refused", crashed, failed, refused)
}

// sendUntilServed repeats a call through one instance after the other, as a
// caller does whose call failed.
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

// Guards against an engine that answers errors at once and so draws the traffic.
func TestFailingEngineAttractsNoTraffic(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, 3)
	f.apply(t, baseConfig(engines, nil))
	f.settle(t)
	engines[0].fault(t, `{"error_rate": 1}`)
	s := startSteadyLoad(f.instances...)
	require.Eventually(t, func() bool { return s.ended() >= 200 }, startTimeout, pollInterval)
	calls := s.stop()
	failed := 0
	for _, p := range calls {
		if p.outcome() == "failed" {
			failed++
			continue
		}
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	// A third of the calls would be the engine's fair share.
	require.Less(t, failed, len(calls)/10, "failed calls")
	t.Logf("%d of %d calls failed", failed, len(calls))
}

// Guards against requests that wait for a frozen engine beyond their deadline.
func TestFrozenEngine(t *testing.T) {
	t.Parallel()
	const deadline = 5 * time.Second // of the top tier
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, 3)
	f.apply(t, withConcurrency(baseConfig(engines, nil), 2))
	f.settle(t)
	engines[0].fault(t, `{"freeze_ms": 12000}`)
	frozen := time.Now()
	count := len(received(t, engines[0]))
	var l load
	for range 5 {
		for _, i := range f.instances {
			l.add(i, "plans", 10, true)
		}
	}
	require.Eventually(t, func() bool { return l.ended() >= 13 }, deadline, pollInterval,
		"requests that wait must move to the other engine")
	moved := time.Since(frozen)
	calls := l.wait()
	stuck := len(received(t, engines[0])) - count
	require.LessOrEqual(t, stuck, 2, "only the slots of the frozen engine may be stuck")
	for _, p := range calls {
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d calls, %d stuck until the engine went on, the others served after %v", len(calls), stuck, moved)
}

// Guards against answers of other requests, truncated or late answers that a
// caller takes for its own whole answer.
func TestWrongAnswersAreNotDelivered(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, 2)
	files := baseConfig(engines, nil)
	files["70-brief.yaml"] = "routes:\n- {name: brief, model: brief, pool: models, tier: top, version: v1, response_timeout: 1s}\n"
	f.apply(t, files)
	f.settle(t)
	requireLateAnswersDropped(t, f, engines)
	for _, fault := range []string{`{"cross_rate": 0.3}`, `{"cross_rate": 0, "truncate_rate": 0.3}`} {
		for _, e := range engines {
			e.fault(t, fault)
		}
		served, wrong := 0, 0
		var l load
		for n := range 40 {
			l.add(f.instances[n%2], "plans", 8, n%4 < 2)
			if n%8 == 7 {
				l.wg.Wait()
			}
		}
		for _, p := range l.wait() {
			if p.outcome() == "served" && p.Error == "" {
				p.requireWhole(t)
				served++
				continue
			}
			if p.stream {
				_, whole := streamedContent(p.Body)
				require.False(t, whole, "a wrong stream has its end marker: %s", p.Body)
			}
			wrong++
		}
		require.NotZero(t, served)
		require.NotZero(t, wrong)
		requireOnce(t, l.done, engines...)
		t.Logf("%s: %d answers delivered, %d not", fault, served, wrong)
	}
}

// requireLateAnswersDropped lets answers come after the timeout of their route
// and then checks that later calls get their own.
func requireLateAnswersDropped(t *testing.T, f *fleet, engines []*standin) {
	t.Helper()
	for _, e := range engines {
		e.fault(t, `{"slow_factor": 8}`)
	}
	var late load
	for _, i := range f.instances {
		late.add(i, "brief", 30, false)
	}
	for _, p := range late.wait() {
		require.Equal(t, "failed", p.outcome(), p.Body)
		require.Equal(t, http.StatusGatewayTimeout, p.Status)
	}
	for _, e := range engines {
		e.fault(t, `{"clear": true}`)
	}
	var after load
	for n := range 8 {
		after.add(f.instances[n%2], "plans", 8, n%4 < 2)
	}
	for _, p := range after.wait() {
		p.requireWhole(t)
	}
}

// Guards against a stream that is lost, repeated or resumed elsewhere when the
// connection to its engine breaks for a short time.
func TestCutStreamIsResumed(t *testing.T) {
	t.Parallel()
	engine := startStandin(t, "engine")
	r := &regions{}
	forwards := r.startLink(t, []string{"--delay=0s", "--bandwidth=0", "--forward=127.0.0.1:0=" + engine.address})
	f := startFleet(t, 2)
	files := baseConfig([]*standin{engine}, nil)
	files["50-targets.yaml"] = strings.ReplaceAll(files["50-targets.yaml"], engine.address, forwards[0])
	f.apply(t, files)
	f.settle(t)
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
	r.link.fault(t, `{"cut": "reset"}`)
	time.Sleep(500 * time.Millisecond) // the length of the fault
	r.link.fault(t, `{"cut": ""}`)
	calls := l.wait()
	for _, p := range calls {
		p.requireWhole(t)
	}
	requireOnce(t, calls, engine)
	t.Logf("%d streams resumed", len(calls))
}
