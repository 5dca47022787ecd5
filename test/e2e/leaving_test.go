package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leaveTime is the time after which a target that any instance can know as
// leaving gets no new work.
const leaveTime = 3 * time.Second

// steadyLoad keeps two callers busy at each running instance until stopped.
type steadyLoad struct {
	load
	stopped atomic.Bool
}

func startSteadyLoad(instances ...*instance) *steadyLoad {
	s := &steadyLoad{}
	for n := range 2 * len(instances) {
		i := instances[n%len(instances)]
		s.wg.Go(func() {
			for !s.stopped.Load() && i.running() {
				one := load{made: 1000 * n}
				one.add(i, "plans", 4, n%2 == 0)
				done := one.wait()
				s.mu.Lock()
				s.done = append(s.done, done...)
				s.made++
				s.mu.Unlock()
			}
		})
	}
	return s
}

func (s *steadyLoad) stop() []prompted {
	s.stopped.Store(true)
	return s.wait()
}

// requireNoNewWork waits until the target is due to get no more work since the
// given time and fails if it gets some in the second after that. It returns the
// time of the last new work.
func requireNoNewWork(t *testing.T, target *standin, since time.Time) time.Duration {
	t.Helper()
	last := since
	count := len(received(t, target))
	for time.Since(since) < leaveTime+time.Second {
		now := len(received(t, target))
		if now != count {
			require.Less(t, time.Since(since), leaveTime, "the leaving target got new work")
			count, last = now, time.Now()
		}
		time.Sleep(pollInterval)
	}
	return last.Sub(since)
}

func withLeaving(files map[string]string, target string) map[string]string {
	files["50-targets.yaml"] = strings.Replace(files["50-targets.yaml"], "name: "+target+",", "name: "+target+", leaving: true,", 1)
	return files
}

// Guards against a target that gets new work after an operator has set it to
// leaving.
func TestConfiguredLeavingTarget(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, fleetSize())
	f.apply(t, baseConfig(engines, nil))
	f.settle(t)
	s := startSteadyLoad(f.instances...)
	before := len(received(t, engines[0]))
	waitReceived(t, before+10, engines[0])
	f.apply(t, withLeaving(baseConfig(engines, nil), "engine-1"))
	last := requireNoNewWork(t, engines[0], time.Now())
	calls := s.stop()
	for _, p := range calls {
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d requests served, last new work %v after the apply", len(calls), last)
}

// Guards against an instance that learns of a leaving target from a peer only,
// the table being down, and grants it work all the same: the target tells the
// broker instance, takes it back, and the broker instance dies.
func TestLeavingTargetSpreadsWithoutTable(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, fleetSize())
	f.apply(t, baseConfig(engines, nil))
	owner, others := f.settle(t)
	f.table.fault(t, `{"outage": true}`)
	s := startSteadyLoad(others...)
	before := len(received(t, engines[0]))
	waitReceived(t, before+10, engines[0])

	setRole(t, engines[0], 1, "leaving")
	last := requireNoNewWork(t, engines[0], time.Now())
	setRole(t, engines[0], 2, "any")
	owner.signal(t, syscall.SIGKILL)
	count := len(received(t, engines[0]))
	ended := s.ended()
	require.Eventually(t, func() bool { return s.ended() >= ended+100 }, startTimeout, pollInterval)
	require.Len(t, received(t, engines[0]), count, "the successor granted work to the leaving target")
	calls := s.stop()
	for _, p := range calls {
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d requests served, last new work %v after the target's report", len(calls), last)
}

// setRole orders an engine to a role, as a platform that drains it does.
func setRole(t *testing.T, engine *standin, fence int, role string) {
	t.Helper()
	order, err := json.Marshal(map[string]any{"id": role, "fence": fence, "versions": []string{"v1"}, "role": role})
	require.NoError(t, err)
	send(t, http.MethodPost, engine.url("/v1/orders"), string(order))
}
