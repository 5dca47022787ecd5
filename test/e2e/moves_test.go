package e2e

import (
	"errors"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// moveConfig adds a version move of route plans from v1 to v2.
func moveConfig(engines []*standin) map[string]string {
	config := baseConfig(engines, nil)
	config["40-pools.yaml"] = "pools:\n- {name: models, kind: POOL_KIND_ENGINE}\n"
	config["60-routes.yaml"] = "routes:\n- {name: plans, model: plans, pool: models, tier: top, version: v1}\n"
	config["70-moves.yaml"] = fmt.Sprintf("moves:\n- {name: plans-v2, route: plans, from: v1, to: v2, deadline: %q, steps: [10, 50, 100], "+
		"step_time: 0.5s, min_requests: 10, max_failure_ratio_increase: 0.02, max_slowdown: 1.5}\n",
		time.Now().Add(2*time.Minute).UTC().Format(time.RFC3339))
	return config
}

// traffic calls the instances in turn until it is stopped.
type traffic struct {
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	responses []response
}

func startTraffic(f *fleet, workers int) *traffic {
	t := &traffic{stop: make(chan struct{})}
	for w := range workers {
		t.wg.Go(func() {
			for n := w; ; n++ {
				select {
				case <-t.stop:
					return
				default:
				}
				r := f.instances[n%len(f.instances)].chat("plans", fmt.Sprintf("plan %d", n), 4, true).perform()
				t.mu.Lock()
				t.responses = append(t.responses, r)
				t.mu.Unlock()
			}
		})
	}
	return t
}

func (t *traffic) end() []response {
	close(t.stop)
	t.wg.Wait()
	return t.responses
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// versionRuns returns the number of requests that ran on a version.
func versionRuns(t *testing.T, engines []*standin, version string) int {
	t.Helper()
	total := 0
	for _, e := range engines {
		var stats struct {
			RequestVersions map[string]string `json:"request_versions"`
		}
		getJSON(t, e.url("/stats"), &stats)
		for _, v := range stats.RequestVersions {
			if v == version {
				total++
			}
		}
	}
	return total
}

func startMoveFleet(t *testing.T) (*fleet, []*standin) {
	t.Helper()
	engines := make([]*standin, 3)
	for i := range engines {
		engines[i] = startStandin(t, "engine", "--load-time=300ms", "--decode=200", "--load-lag=200ms")
	}
	f := startFleet(t, 3)
	f.apply(t, moveConfig(engines))
	f.waitReady(t)
	return f, engines
}

// Guards against a move to a good version that does not complete by its deadline
// or loses a request.
func TestGoodVersionMoveCompletes(t *testing.T) {
	f, engines := startMoveFleet(t)
	background := startTraffic(f, 6)
	out, err := f.basilloom("move", "watch", "plans-v2", "--timeout=90s")
	require.Zero(t, exitCode(err), "%s", out)
	for _, r := range background.end() {
		require.Equal(t, "served", r.outcome(), "%s %s", r.Error, r.Body)
	}
	require.Positive(t, versionRuns(t, engines, "v2"))
}

// Guards against a bad version that keeps receiving traffic after its failures
// were detected, also when the controller's instance is killed during the move.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("kill=%v", kill), func(t *testing.T) {
			f, engines := startMoveFleet(t)
			for _, e := range engines {
				e.setFaults(t, `{"bad_versions": [{"version": "v2", "fail_rate": 1}]}`)
			}
			background := startTraffic(f, 6)
			require.Eventually(t, func() bool { return failedCount(background) > 0 }, time.Minute, 20*time.Millisecond, "no request failed on the canary")
			if kill {
				f.instances[2].signal(t, syscall.SIGKILL)
			}
			time.Sleep(2 * time.Second)
			before := failedCount(background)
			out, err := f.basilloom("move", "watch", "plans-v2", "--timeout=90s")
			require.Equal(t, 6, exitCode(err), "%s", out)
			after := failedCount(background)
			background.end()
			require.Equal(t, before, after, "requests failed on v2 more than 2 s after its first failure")
		})
	}
}

// failedCount returns the number of requests that have failed after dispatch.
func failedCount(t *traffic) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := 0
	for _, r := range t.responses {
		if r.outcome() == "failed" {
			failed++
		}
	}
	return failed
}
