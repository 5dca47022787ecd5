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

// fleetIsUp waits until all instances hear each other.
func fleetIsUp(t *testing.T, nodes []*node) {
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

// kill ends an instance's work at once, as a dead process does for its peers.
func (n *node) kill() {
	n.Instance.stop()
	_ = n.peering.Close() // the listener is gone either way
}

// Guards against requests that the loss of the shared broker costs: none is
// refused or late by more than its objective, and a successor takes over.
func TestLossOfTheSharedBroker(t *testing.T) {
	t.Parallel()
	const objective = 500 * time.Millisecond // of testRoutes
	w := newWorld(t)
	w.engine = true
	w.worker("w-a", worker.Always(worker.Stream))
	w.worker("w-b", worker.Always(worker.Stream))
	w.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{w.start("i1"), w.start("i2"), w.start("i3")}
	fleetIsUp(t, nodes)
	key := broker.GroupKey{Pool: "app"}
	owner, _ := sharedOwner{nodes[0].Instance}.Owner(key)
	var survivors []*node
	var lost *node
	for _, n := range nodes {
		if n.settings.Load().Instance == owner.Name {
			lost = n
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
					began := time.Now()
					a, err := n.try(context.Background(), http.MethodPost, "/stream/1", "x", map[string]string{"Token-Counts": "10,10"})
					if err != nil || a.status != http.StatusOK || a.err != nil || time.Since(began) > objective {
						t.Errorf("after %v: status %d, %v, %v", time.Since(began), a.status, err, a.err)
					}
					served.Add(1)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	lost.kill()
	require.Eventually(t, func() bool {
		next, _ := sharedOwner{survivors[0].Instance}.Owner(key)
		other, _ := sharedOwner{survivors[1].Instance}.Owner(key)
		return next.Name != owner.Name && next == other
	}, 2*time.Second, 10*time.Millisecond)
	before := served.Load()
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	require.Greater(t, served.Load(), before)
}

// Guards against a request that crashes every worker that runs it and goes on
// doing so through other instances, also through one whose groups start later, and
// against others that are refused for it.
func TestPoisonRequestIsStopped(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	var crashed atomic.Int64
	for i := range 6 {
		var self *worker.Worker
		var made sync.WaitGroup
		made.Add(1)
		self = w.worker(fmt.Sprintf("w-%d", i), func(_ int, r *http.Request) worker.Behaviour {
			made.Wait()
			if strings.HasSuffix(r.URL.Path, "/poison") {
				crashed.Add(1)
				go self.Close()
				return worker.Hang
			}
			return worker.Serve
		})
		made.Done()
	}
	w.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{w.start("i1"), w.start("i2")}
	fleetIsUp(t, nodes)
	for n := range 12 {
		got := nodes[n%2].call(t, http.MethodPost, "/safe/poison", "same body", nil)
		require.NotEqual(t, http.StatusOK, got.status)
		time.Sleep(250 * time.Millisecond) // longer than a report takes
	}
	require.LessOrEqual(t, crashed.Load(), int64(3), "the users' bound")
	for _, n := range nodes {
		require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/safe/1", "other body", nil).status)
	}
}

// Guards against instances that do not come back after all ended at once, or come
// back with a configuration from before a change.
func TestAllInstancesComeBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.worker("w-a", worker.Always(worker.Serve))
	w.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{w.start("i1"), w.start("i2"), w.start("i3")}
	fleetIsUp(t, nodes)
	w.configure(testRoutes(), []string{"key-2"}, 0)
	for _, n := range nodes {
		n.kill()
	}
	back := []*node{w.start("j1"), w.start("j2"), w.start("j3")}
	for _, n := range back {
		require.Equal(t, http.StatusUnauthorized, n.call(t, http.MethodPost, "/safe/1", "x", nil).status)
		require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/safe/1", "x", map[string]string{"Authorization": "Token key-2"}).status)
	}
}

// Guards against a workspace that is starved by another of the same tier which
// sends far more than the workers can take.
func TestFloodDoesNotStarveAnotherWorkspace(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.engine = true
	w.worker("w-a", worker.Always(worker.Stream))
	routes := testRoutes()
	for i := range routes {
		routes[i].TargetLatencyMs = 60 // four streams of 10 ms and more take 5 slots
	}
	w.configureTenants(routes, []map[string]any{
		{"name": "flood", "api_keys": []string{"key-f"}}, {"name": "modest", "api_keys": []string{"key-m"}},
	})
	n := w.start("i1")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	type count struct{ asked, served atomic.Int64 }
	var flood, modest count
	var callers sync.WaitGroup
	send := func(c *count, key string, pause time.Duration) {
		callers.Go(func() {
			for ctx.Err() == nil {
				a, err := n.try(context.Background(), http.MethodPost, "/stream/1", "x",
					map[string]string{"Authorization": "Token " + key, "Token-Counts": "10,10"})
				c.asked.Add(1)
				if err == nil && a.status == http.StatusOK && a.err == nil {
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
	callers.Wait()
	all := float64(flood.served.Load()+modest.served.Load()) / float64(flood.asked.Load()+modest.asked.Load())
	share := float64(modest.served.Load()) / float64(modest.asked.Load())
	require.Less(t, all, 0.9, "the workers must be overloaded")
	require.GreaterOrEqual(t, share, all/4, "the users' bound")
	t.Logf("flood %d of %d, modest %d of %d", flood.served.Load(), flood.asked.Load(), modest.served.Load(), modest.asked.Load())
}
