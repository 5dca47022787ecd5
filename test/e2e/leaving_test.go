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

// leaveTimeout is the time after which a leaving target must get no new work,
// counted from when the first instance can see that it is leaving.
const leaveTimeout = 3 * time.Second

// steadyLoad runs two callers at each running instance until it is stopped.
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
				one := load{started: 1000 * n}
				one.add(i, "plans", 4, n%2 == 0)
				done := one.wait()
				s.mu.Lock()
				s.done = append(s.done, done...)
				s.started++
				s.mu.Unlock()
			}
		})
	}
	return s
}

func (s *steadyLoad) stop() []chatCall {
	s.stopped.Store(true)
	return s.wait()
}

// requireNoNewWork fails if the target gets new work later than leaveTimeout
// after the given time. It watches for one more second and returns the time from
// since to the last new work.
func requireNoNewWork(t *testing.T, target *standin, since time.Time) time.Duration {
	t.Helper()
	last := since
	count := len(received(t, target))
	for time.Since(since) < leaveTimeout+time.Second {
		now := len(received(t, target))
		if now != count {
			require.Less(t, time.Since(since), leaveTimeout, "the leaving target got new work")
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

// Guards against a target that gets new work after an operator has marked it as
// leaving.
func TestConfiguredLeavingTarget(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, fleetSize())
	f.apply(t, baseConfig(engines, nil))
	f.waitConverged(t)
	s := startSteadyLoad(f.instances...)
	before := len(received(t, engines[0]))
	waitReceived(t, before+10, engines[0])
	f.apply(t, withLeaving(baseConfig(engines, nil), "engine-1"))
	lastAfter := requireNoNewWork(t, engines[0], time.Now())
	calls := s.stop()
	for _, c := range calls {
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d requests served, last new work %v after the apply", len(calls), lastAfter)
}

// Guards against an instance that grants work to a leaving target although a peer
// has reported it. The table is unavailable, so only the broker's instance sees
// the target's report; the target then withdraws it and that instance is killed.
func TestLeavingTargetPropagatesWithoutTable(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f := startFleet(t, fleetSize())
	f.apply(t, baseConfig(engines, nil))
	owner, others := f.waitConverged(t)
	f.table.setFaults(t, `{"outage": true}`)
	s := startSteadyLoad(others...)
	before := len(received(t, engines[0]))
	waitReceived(t, before+10, engines[0])

	setRole(t, engines[0], 1, "leaving")
	lastAfter := requireNoNewWork(t, engines[0], time.Now())
	setRole(t, engines[0], 2, "any")
	owner.signal(t, syscall.SIGKILL)
	count := len(received(t, engines[0]))
	ended := s.ended()
	require.Eventually(t, func() bool { return s.ended() >= ended+100 }, startTimeout, pollInterval)
	require.Len(t, received(t, engines[0]), count, "the new broker granted work to the leaving target")
	calls := s.stop()
	for _, c := range calls {
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d requests served, last new work %v after the target's report", len(calls), lastAfter)
}

// setRole sends an engine an order for a role, like a platform that drains it.
func setRole(t *testing.T, engine *standin, fence int, role string) {
	t.Helper()
	order, err := json.Marshal(map[string]any{"id": role, "fence": fence, "versions": []string{"v1"}, "role": role})
	require.NoError(t, err)
	send(t, http.MethodPost, engine.url("/v1/orders"), string(order))
}
