package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brokerFleet is three instances before two engines of two slots each, so that
// a small load leaves tickets waiting.
func brokerFleet(t *testing.T) (f *fleet, engines []*standin, owner *instance, others []*instance) {
	t.Helper()
	engines = []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f = startFleet(t, fleetSize())
	f.apply(t, withConcurrency(baseConfig(engines, nil), 2))
	owner, others = f.settle(t)
	return f, engines, owner, others
}

// fill starts calls of about half a second at each instance, streamed and plain
// in turn, and waits until all slots of the engines are taken. More calls wait.
func fill(t *testing.T, l *load, engines []*standin, instances ...*instance) {
	t.Helper()
	before := len(received(t, engines...))
	for n := range 12 {
		l.add(instances[n%len(instances)], "plans", 30, n%4 < 2)
	}
	waitReceived(t, before+4, engines...)
}

// stall returns the longest time in which no request reached the engines while
// calls of the load had not ended, until all have.
func stall(t *testing.T, l *load, engines []*standin, limit time.Duration) time.Duration {
	t.Helper()
	start, last, longest := time.Now(), time.Now(), time.Duration(0)
	count := len(received(t, engines...))
	for l.ended() < l.made && time.Since(start) < limit {
		if now := len(received(t, engines...)); now != count {
			count, last = now, time.Now()
		}
		longest = max(longest, time.Since(last))
		time.Sleep(pollInterval)
	}
	return longest
}

// Guards against a graceful shutdown that cuts requests in flight, loses waiting
// ones or keeps the broker role.
func TestTerminatedInstanceCutsNothing(t *testing.T) {
	t.Parallel()
	f, engines, owner, others := brokerFleet(t)
	var l load
	l.add(owner, "plans", 150, true) // keeps the instance for more than 2 s
	fill(t, &l, engines, owner, others[0])
	begun := time.Now()
	owner.signal(t, syscall.SIGTERM)
	require.Eventually(t, func() bool {
		brokers := f.brokers(modelsGroup)
		return len(brokers) == 1 && brokers[0] != owner
	}, 5*time.Second, pollInterval, "no successor took the broker role")
	successor := time.Since(begun)
	require.True(t, owner.running(), "the role is handed over before the instance ends")
	require.Zero(t, owner.exited(t, 20*time.Second))
	exited := time.Since(begun)

	refused := 0
	calls := l.wait()
	for _, p := range calls {
		if p.outcome() == "not-run" {
			refused++
			continue
		}
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d requests, %d refused as not run, successor after %v, exit after %v", len(calls), refused, successor, exited)
}

// Guards against waiting requests that are lost or refused because the broker
// instance died.
func TestKilledBrokerCostsNoRequest(t *testing.T) {
	t.Parallel()
	_, engines, owner, others := brokerFleet(t)
	var l load
	fill(t, &l, engines, others...)
	owner.signal(t, syscall.SIGKILL)
	longest := stall(t, &l, engines, callTimeout)
	calls := l.wait()
	for _, p := range calls {
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d requests served, waiting tickets stalled for at most %v", len(calls), longest)
}

// Guards against the death of an entry that costs requests of other entries.
func TestKilledEntryCostsOnlyItsRequests(t *testing.T) {
	t.Parallel()
	_, engines, owner, others := brokerFleet(t)
	var l load
	fill(t, &l, engines, others[0], owner, others[1])
	others[0].signal(t, syscall.SIGKILL)
	lost := 0
	calls := l.wait()
	for _, p := range calls {
		if p.at == others[0] && p.Error != "" {
			lost++
			continue
		}
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d requests, %d lost with their entry", len(calls), lost)
}

// Guards against waiting requests that stall behind a paused broker, whose
// streams do not break, and against a second dispatch when it runs again.
func TestPausedBroker(t *testing.T) {
	t.Parallel()
	const pause = 5 * time.Second
	f, engines, owner, others := brokerFleet(t)
	var l load
	fill(t, &l, engines, owner, others[0], others[1])
	owner.signal(t, syscall.SIGSTOP)
	resume := time.AfterFunc(pause, func() { _ = owner.cmd.Process.Signal(syscall.SIGCONT) })
	defer resume.Stop()

	// Eight calls fit into the engines within their deadline, whatever the size of the fleet.
	var during load
	for _, i := range others[:2] {
		for range 4 {
			during.add(i, "plans", 30, true)
		}
	}
	longest := stall(t, &during, engines, pause)
	served := during.ended()
	calls := append(during.wait(), l.wait()...)
	for _, p := range calls {
		if p.at == owner && p.outcome() == "not-run" {
			continue // its deadline passed in the pause
		}
		p.requireWhole(t)
	}
	var after load
	for range 4 {
		for _, i := range f.instances {
			after.add(i, "plans", 5, true)
		}
	}
	for _, p := range after.wait() {
		p.requireWhole(t)
		calls = append(calls, p)
	}
	requireOnce(t, calls, engines...)
	t.Logf("%d of %d requests that came in the pause were served in it, waiting tickets stalled for at most %v",
		served, during.made, longest)
}
