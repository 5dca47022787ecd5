package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startBrokerFleet starts a fleet with two engines of two slots each, so that a
// small load leaves tickets waiting.
func startBrokerFleet(t *testing.T) (f *fleet, engines []*standin, owner *instance, others []*instance) {
	t.Helper()
	engines = []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	f = startFleet(t, fleetSize())
	f.apply(t, withConcurrency(baseConfig(engines, nil), 2))
	owner, others = f.waitConverged(t)
	return f, engines, owner, others
}

// fillEngines starts 12 calls of about half a second at the instances, alternately
// two streamed and two not streamed, and waits until all four slots of the engines
// are in use. The remaining calls wait in the queue.
func fillEngines(t *testing.T, l *load, engines []*standin, instances ...*instance) {
	t.Helper()
	before := len(received(t, engines...))
	for n := range 12 {
		l.add(instances[n%len(instances)], "plans", 30, n%4 < 2)
	}
	waitReceived(t, before+4, engines...)
}

// longestStall waits until all calls of the load have ended or the limit has
// passed and returns the longest time in which no request reached the engines.
func longestStall(t *testing.T, l *load, engines []*standin, limit time.Duration) time.Duration {
	t.Helper()
	start, last, longest := time.Now(), time.Now(), time.Duration(0)
	count := len(received(t, engines...))
	for l.ended() < l.started && time.Since(start) < limit {
		if now := len(received(t, engines...)); now != count {
			count, last = now, time.Now()
		}
		longest = max(longest, time.Since(last))
		time.Sleep(pollInterval)
	}
	return longest
}

// Guards against a graceful shutdown that interrupts running requests, loses
// waiting ones or keeps the broker role.
func TestTerminatedInstanceLosesNoRequest(t *testing.T) {
	t.Parallel()
	f, engines, owner, others := startBrokerFleet(t)
	var l load
	l.add(owner, "plans", 150, true) // delays the shutdown by more than 2 s
	fillEngines(t, &l, engines, owner, others[0])
	start := time.Now()
	owner.signal(t, syscall.SIGTERM)
	require.Eventually(t, func() bool {
		brokers := f.brokers(modelsGroup)
		return len(brokers) == 1 && brokers[0] != owner
	}, 5*time.Second, pollInterval, "no successor took the broker role")
	successorAfter := time.Since(start)
	require.True(t, owner.running(), "the instance must hand over the broker role before it exits")
	require.Zero(t, owner.waitExit(t, 20*time.Second))
	exitedAfter := time.Since(start)

	refused := 0
	calls := l.wait()
	for _, c := range calls {
		if c.outcome() == "not-run" {
			refused++
			continue
		}
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d requests, %d refused as not run, new broker after %v, exit after %v", len(calls), refused, successorAfter, exitedAfter)
}

// Guards against waiting requests that are lost or refused because the broker's
// instance was killed.
func TestKilledBrokerLosesNoRequest(t *testing.T) {
	t.Parallel()
	_, engines, owner, others := startBrokerFleet(t)
	var l load
	fillEngines(t, &l, engines, others...)
	owner.signal(t, syscall.SIGKILL)
	longest := longestStall(t, &l, engines, callTimeout)
	calls := l.wait()
	for _, c := range calls {
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d requests served, waiting tickets stalled for at most %v", len(calls), longest)
}

// Guards against a killed entry that loses requests of other entries.
func TestKilledEntryLosesOnlyItsRequests(t *testing.T) {
	t.Parallel()
	_, engines, owner, others := startBrokerFleet(t)
	var l load
	fillEngines(t, &l, engines, others[0], owner, others[1])
	others[0].signal(t, syscall.SIGKILL)
	lost := 0
	calls := l.wait()
	for _, c := range calls {
		if c.entry == others[0] && c.Error != "" {
			lost++
			continue
		}
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d requests, %d lost with the killed entry", len(calls), lost)
}

// Guards against waiting requests that stall behind a paused broker, whose
// streams stay open, and against a second dispatch after it resumes.
func TestPausedBroker(t *testing.T) {
	t.Parallel()
	const pause = 5 * time.Second
	f, engines, owner, others := startBrokerFleet(t)
	var l load
	fillEngines(t, &l, engines, owner, others[0], others[1])
	owner.signal(t, syscall.SIGSTOP)
	resume := time.AfterFunc(pause, func() { _ = owner.cmd.Process.Signal(syscall.SIGCONT) })
	defer resume.Stop()

	// The engines can serve eight calls within their deadline, for any fleet size.
	var during load
	for _, i := range others[:2] {
		for range 4 {
			during.add(i, "plans", 30, true)
		}
	}
	longest := longestStall(t, &during, engines, pause)
	served := during.ended()
	calls := append(during.wait(), l.wait()...)
	for _, c := range calls {
		if c.entry == owner && c.outcome() == "not-run" {
			continue // its deadline passed during the pause
		}
		c.requireComplete(t)
	}
	var after load
	for range 4 {
		for _, i := range f.instances {
			after.add(i, "plans", 5, true)
		}
	}
	for _, c := range after.wait() {
		c.requireComplete(t)
		calls = append(calls, c)
	}
	requireDispatchedOnce(t, calls, engines...)
	t.Logf("%d of %d requests that arrived during the pause were served during it, waiting tickets stalled for at most %v",
		served, during.started, longest)
}
