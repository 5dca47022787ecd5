package instance

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/internal/standin/worker"
)

// waitForFleet waits until every instance has reports of all others.
func waitForFleet(t *testing.T, nodes []*node) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.fleet.LiveReports(time.Now())) != len(nodes)-1 {
				return false
			}
		}
		return true
	}, applyTime, 10*time.Millisecond)
}

// kill stops an instance without a shutdown. To its peers this looks like a crash.
func (n *node) kill() {
	n.Instance.stop()
	_ = n.peerServer.Close() // the listener is closed also on an error
}

// Guards against requests that are refused or miss their objective because the shared
// broker's instance fails, and against a failure after which no successor takes over.
func TestSharedBrokerFailover(t *testing.T) {
	t.Parallel()
	const objective = 500 * time.Millisecond // of testRoutes
	env := newTestEnv(t)
	env.engine = true
	env.worker("w-a", worker.Always(worker.Stream))
	env.worker("w-b", worker.Always(worker.Stream))
	env.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{env.start("i1"), env.start("i2"), env.start("i3")}
	waitForFleet(t, nodes)
	key := broker.GroupKey{Pool: "app"}
	owner, _ := fleetResolver{nodes[0].Instance}.Owner(key)
	var survivors []*node
	var failed *node
	for _, n := range nodes {
		if n.settings.Load().Instance == owner.Name {
			failed = n
		} else {
			survivors = append(survivors, n)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var served atomic.Int64
	for _, n := range survivors {
		for range 3 {
			callers.Go(func() {
				for ctx.Err() == nil {
					startedAt := time.Now()
					got, err := n.try(context.Background(), http.MethodPost, "/stream/1", "x", map[string]string{"Token-Counts": "10,10"})
					if err != nil || got.status != http.StatusOK || got.err != nil || time.Since(startedAt) > objective {
						t.Errorf("after %v: status %d, %v, %v", time.Since(startedAt), got.status, err, got.err)
					}
					served.Add(1)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	failed.kill()
	require.Eventually(t, func() bool {
		next, _ := fleetResolver{survivors[0].Instance}.Owner(key)
		other, _ := fleetResolver{survivors[1].Instance}.Owner(key)
		return next.Name != owner.Name && next == other
	}, 2*time.Second, 10*time.Millisecond)
	before := served.Load()
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	require.Greater(t, served.Load(), before)
}

// Guards against a request that crashes each worker that runs it and is sent again
// through other instances, also through one whose groups start later, and against
// the refusal of other requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	requireQuarantined(t, http.MethodPost, "same body", "other body")
}

// Guards against crashes that are not recorded because the request has no body.
func TestCrashingRequestWithoutBodyIsQuarantined(t *testing.T) {
	t.Parallel()
	requireQuarantined(t, http.MethodGet, "", "")
}

// requireQuarantined sends requests that crash each worker that runs them and checks that
// they are refused and that other requests are served.
func requireQuarantined(t *testing.T, method, body, otherBody string) {
	t.Helper()
	env := newTestEnv(t)
	var crashed atomic.Int64
	for i := range 6 {
		env.crashingWorker(fmt.Sprintf("w-%d", i), &crashed)
	}
	env.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{env.start("i1"), env.start("i2")}
	waitForFleet(t, nodes)
	for n := range 12 {
		got := nodes[n%2].call(t, method, "/safe/poison", body, nil)
		require.NotEqual(t, http.StatusOK, got.status)
		time.Sleep(250 * time.Millisecond) // longer than the report interval
	}
	require.LessOrEqual(t, crashed.Load(), int64(3), "the required bound")
	for _, n := range nodes {
		require.Equal(t, http.StatusOK, n.call(t, method, "/safe/1", otherBody, nil).status)
	}
}

// Guards against the refusal of a sound request that is sent again, on a kept connection,
// to a worker that has crashed at the same time as the first one.
func TestSecondSendToACrashedWorkerIsNoCrash(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	var workers []*worker.Worker
	var started sync.WaitGroup
	started.Add(1)
	script := func(_ int, r *http.Request) worker.Behaviour {
		started.Wait()
		if !strings.HasSuffix(r.URL.Path, "/crash") {
			time.Sleep(50 * time.Millisecond) // so that concurrent requests use both workers
			return worker.Serve
		}
		for _, w := range workers {
			_ = w.Listener.Close() // the second request finds it closed
		}
		return worker.LoseResponse
	}
	workers = []*worker.Worker{env.worker("w-a", script), env.worker("w-b", script)}
	started.Done()
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() { n.call(t, http.MethodGet, "/safe/1", "", nil) })
	}
	callers.Wait()
	for _, w := range workers {
		require.Equal(t, 1, w.Opened(), "each worker has a kept connection")
	}
	n.call(t, http.MethodGet, "/safe/crash", "", nil)
	env.worker("w-c", worker.Always(worker.Serve))
	require.Eventually(t, func() bool { return n.call(t, http.MethodGet, "/safe/crash", "", nil).status == http.StatusOK },
		contactTime, 50*time.Millisecond)
}

// crashingWorker starts a worker that crashes when it runs a request whose path ends with
// /poison, and counts the crashes.
func (env *testEnv) crashingWorker(id string, crashed *atomic.Int64) *worker.Worker {
	var self *worker.Worker
	var assigned sync.WaitGroup
	assigned.Add(1)
	self = env.worker(id, func(_ int, r *http.Request) worker.Behaviour {
		assigned.Wait()
		if strings.HasSuffix(r.URL.Path, "/poison") {
			crashed.Add(1)
			go self.Close()
			return worker.Hang
		}
		return worker.Serve
	})
	assigned.Done()
	return self
}

// Guards against a fleet that does not start after all instances ended at once, or that
// starts with an outdated configuration.
func TestRestartOfAllInstances(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.worker("w-a", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{env.start("i1"), env.start("i2"), env.start("i3")}
	waitForFleet(t, nodes)
	env.configure(testRoutes(), []string{"key-2"}, 0)
	for _, n := range nodes {
		n.kill()
	}
	restarted := []*node{env.start("j1"), env.start("j2"), env.start("j3")}
	for _, n := range restarted {
		require.Equal(t, http.StatusUnauthorized, n.call(t, http.MethodPost, "/safe/1", "x", nil).status)
		require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/safe/1", "x", map[string]string{"Authorization": "Token key-2"}).status)
	}
}

// Guards against a workspace that is starved when another one of the same tier sends
// far more than the workers can serve.
func TestFloodDoesNotStarveAnotherWorkspace(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.engine = true
	env.worker("w-a", worker.Always(worker.Stream))
	routes := testRoutes()
	for i := range routes {
		routes[i].TargetLatencyMs = 60 // four streams of at least 10 ms take 5 slots
	}
	env.configureTenants(routes, []map[string]any{
		{"name": "flood", "api_keys": []string{"key-f"}}, {"name": "modest", "api_keys": []string{"key-m"}},
	})
	n := env.start("i1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type count struct{ sent, served atomic.Int64 }
	var flood, modest count
	share := func(counts ...*count) float64 {
		sent, served := int64(0), int64(0)
		for _, c := range counts {
			sent += c.sent.Load()
			served += c.served.Load()
		}
		return float64(served) / float64(max(1, sent))
	}
	var callers sync.WaitGroup
	send := func(c *count, key string, pause time.Duration) {
		callers.Go(func() {
			for ctx.Err() == nil {
				got, err := n.try(context.Background(), http.MethodPost, "/stream/1", "x",
					map[string]string{"Authorization": "Token " + key, "Token-Counts": "10,10"})
				c.sent.Add(1)
				if err == nil && got.status == http.StatusOK && got.err == nil {
					c.served.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	for range 60 {
		send(&flood, "key-f", 0)
	}
	send(&modest, "key-m", 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	// On a busy machine few requests are served; with fewer than some expected for the
	// modest workspace, its share says nothing.
	const expected, longest = 4, 30 * time.Second
	for began := time.Now(); time.Since(began) < longest; time.Sleep(100 * time.Millisecond) {
		if share(&flood, &modest)*float64(modest.sent.Load()) >= expected {
			break
		}
	}
	cancel()
	callers.Wait()
	all := share(&flood, &modest)
	require.Less(t, all, 0.9, "the workers must be overloaded")
	require.GreaterOrEqual(t, share(&modest), all/4, "the required bound")
	t.Logf("flood %d of %d, modest %d of %d", flood.served.Load(), flood.sent.Load(), modest.served.Load(), modest.sent.Load())
}

// Guards against a content that crashes workers again after each restart of all instances,
// which are killed a second after any one crash.
func TestCrashingRequestIsRefusedAfterARestartOfAllInstances(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	var crashed atomic.Int64
	for k := range 6 {
		env.crashingWorker(fmt.Sprintf("w-%d", k), &crashed)
	}
	env.configure(testRoutes(), []string{testKey}, 0)
	for range 4 {
		n := env.start("i1")
		// Not idempotent, so that one attempt crashes one worker.
		got := n.call(t, http.MethodPost, "/quick/poison", "same body", nil)
		require.NotEqual(t, http.StatusOK, got.status)
		time.Sleep(time.Second)
		n.kill()
	}
	require.Equal(t, int64(2), crashed.Load(), "refused after the second crash")
}
