package instance

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/internal/standin/worker"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/rollout"
	"github.com/basilloom/basilloom/storage"
)

// startTraffic sends requests through all instances until stop is called.
func startTraffic(t *testing.T, nodes []*node) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() {
			for ctx.Err() == nil {
				if got, err := n.try(ctx, http.MethodGet, "/safe/1", "", nil); err == nil && got.status >= 500 && got.status != 500 {
					t.Errorf("status %d: %s", got.status, got.body)
				}
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// Guards against a good version that is not done within its duration, a bad one that is
// not rolled back, and too many requests on a bad version. The store is unavailable for
// part of the time.
func TestVersionOrders(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		behaviour worker.Behaviour
		want      rollout.Phase
	}{
		{"good", worker.Serve, rollout.Done},
		{"bad", worker.Fail, rollout.RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const duration = 6 * time.Second
			env := newTestEnv(t)
			oldWorker := env.worker("w-old", worker.Always(worker.Serve))
			env.configure(testRoutes(), []string{testKey}, 0)
			nodes := []*node{env.start("i1"), env.start("i2")}
			newWorker, err := worker.Start("w-new", worker.Always(c.behaviour))
			require.NoError(t, err)
			t.Cleanup(newWorker.Close)
			env.registerVersion(newWorker, "ready", "v2")
			env.store.Put(platform.TableOperator, "rollout/app", env.encode(map[string]any{"service": "app", "to": "v2", "duration_s": duration.Seconds()}))
			startedAt := time.Now()
			stop := startTraffic(t, nodes)
			defer stop()
			time.Sleep(duration / 3)
			env.store.SetFaults(platformstore.Faults{Refuse: http.StatusServiceUnavailable})
			time.Sleep(duration / 6)
			env.store.SetFaults(platformstore.Faults{})
			status := func() platform.Status {
				row, err := nodes[0].status.Get(context.Background(), storage.Key{Sort: platform.StatusKey("app")})
				if err != nil {
					return platform.Status{}
				}
				decoded, err := platform.DecodeStatus(row.Value)
				require.NoError(t, err)
				return decoded
			}
			require.Eventually(t, func() bool { return status().Phase.Ended() }, duration, 50*time.Millisecond)
			require.Equal(t, c.want, status().Phase)
			require.LessOrEqual(t, time.Since(startedAt), duration)
			if c.want == rollout.RolledBack {
				bad := len(newWorker.Runs())
				require.LessOrEqual(t, bad, 50)
				time.Sleep(time.Second)
				require.Equal(t, bad, len(newWorker.Runs()), "no request after the version was rolled back")
				return
			}
			before := len(oldWorker.Runs())
			time.Sleep(500 * time.Millisecond)
			require.Greater(t, len(newWorker.Runs()), before/20)
		})
	}
}

// Guards against reads of an order's status that grow with the number of instances.
func TestOneInstanceReadsTheStatusOfAnOrder(t *testing.T) {
	t.Parallel()
	const instances, measured = 4, 3 * time.Second
	env := newTestEnv(t)
	env.worker("w-old", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	var nodes []*node
	for k := range instances {
		nodes = append(nodes, env.start(fmt.Sprint("i", k)))
	}
	env.store.Put(platform.TableOperator, "rollout/app", env.encode(map[string]any{"service": "app", "to": "v2", "duration_s": 3600}))
	reads := func() int64 {
		sum := int64(0)
		for _, n := range nodes {
			sum += n.store.Calls()[platform.CallRead].Answered.Load()
		}
		return sum
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return len(n.tracker.Active()) == 0 })
	}, applyTime, 5*time.Millisecond)
	time.Sleep(2 * statusTimeout)
	before := reads()
	time.Sleep(measured)
	owner := int64(measured / statusPeriod)
	require.LessOrEqual(t, reads()-before, owner+owner/2)
}

// Guards against an order that nobody decides on while its owner is reported by its peers
// but does not reach the store.
func TestOrderOfAnOwnerWithoutStoreIsDecided(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.worker("w-old", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	nodes, refused := make(map[string]*node), make(map[string]*atomic.Bool)
	for _, name := range []string{"i1", "i2"} {
		store, flag := env.refusingStore()
		nodes[name], refused[name] = env.startAt(name, store.URL), flag
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.fleet.LiveReports(time.Now())) == 1 }, applyTime, 10*time.Millisecond)
	}
	const key = "rollout/app"
	owner, _ := nodes["i1"].fleet.Owner(key, func(*pb.FleetReport) bool { return true }, time.Now())
	refused[owner].Store(true)
	env.store.Put(platform.TableOperator, key, env.encode(map[string]any{"service": "app", "to": "v2", "duration_s": 3600}))
	require.Eventually(t, func() bool {
		for name, n := range nodes {
			if _, err := n.status.Get(context.Background(), storage.Key{Sort: key}); name != owner && err == nil {
				return true
			}
		}
		return false
	}, contactTime, 20*time.Millisecond)
}

// Guards against a good version that misses its deadline because the first decision was
// delayed by the store and the order's duration began with it.
func TestOrderBeginsWhenItIsSeen(t *testing.T) {
	t.Parallel()
	const outage = 2 * time.Second
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	env.store.SetFaults(platformstore.Faults{Refuse: http.StatusServiceUnavailable})
	seen := n.store.Now()
	n.tracker.SetOrders([]rollout.Order{{Service: "app", To: "v2", Duration: time.Hour, ID: 7}})
	time.Sleep(outage)
	env.store.SetFaults(platformstore.Faults{})
	require.Eventually(t, func() bool {
		row, err := n.status.Get(context.Background(), storage.Key{Sort: platform.StatusKey("app")})
		if err != nil {
			return false
		}
		status, err := platform.DecodeStatus(row.Value)
		require.NoError(t, err)
		require.Less(t, status.StartedAt-seen, outage/2)
		return true
	}, contactTime, 20*time.Millisecond)
}

// Guards against an instance that keeps sending requests to both versions because it hears
// of a phase that another instance has decided too late or not at all.
func TestPhaseReachesInstancesThatDoNotReadTheStatus(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.worker("w-old", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{env.start("i1"), env.start("i2"), env.start("i3")}
	const order = "rollout/app"
	env.store.Put(platform.TableOperator, order, env.encode(map[string]any{"service": "app", "to": "v2", "duration_s": 3600}))
	require.Eventually(t, func() bool {
		_, err := nodes[0].status.Get(context.Background(), storage.Key{Sort: order})
		return err == nil
	}, applyTime, 5*time.Millisecond)
	time.Sleep(2 * statusTimeout)
	active := nodes[0].tracker.Active()[0]
	for _, phase := range []rollout.Phase{rollout.Shifted, rollout.Done} {
		now := nodes[0].store.Now()
		value, err := platform.EncodeStatus(platform.Status{Order: active, Phase: phase, StartedAt: now, PhaseStartedAt: now + time.Hour})
		require.NoError(t, err)
		env.store.Put(platform.TableStatus, order, value)
		for _, n := range nodes {
			require.Eventually(t, func() bool {
				got, _ := n.tracker.State(active)
				return got == phase
			}, rollout.PropagationTime, 5*time.Millisecond, "%s %s", n.path, phase)
		}
	}
}

// Guards against refusing requests while the targets of the old version still run, because
// those of the new version stopped after all requests were shifted to it.
func TestShiftedRequestsFallBackToTheOldVersion(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.worker("w-old", worker.Always(worker.Serve))
	stopped, err := worker.Start("w-new", worker.Always(worker.Serve))
	require.NoError(t, err)
	stopped.Close()
	env.registerVersion(stopped, "ready", "v2")
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	n.tracker.SetOrders([]rollout.Order{{Service: "app", To: "v2", Duration: time.Hour, ID: 7}})
	n.tracker.SetPhase("app", 7, rollout.Shifted)
	for startedAt := time.Now(); time.Since(startedAt) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, http.StatusOK, n.call(t, http.MethodGet, "/safe/1", "", nil).status)
	}
}

// Guards against a version that begins its streams as fast as the old one, generates
// several times slower and is not stopped within its first 50 responses.
func TestVersionWithSlowEventsIsStopped(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.worker("w-old", worker.Always(worker.Stream))
	slow, err := worker.Start("w-new", worker.Always(worker.SlowStream))
	require.NoError(t, err)
	t.Cleanup(slow.Close)
	env.registerVersion(slow, "ready", "v2")
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	n.tracker.SetOrders([]rollout.Order{{Service: "app", To: "v2", Duration: time.Hour, ID: 7}})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 150 {
				n.call(t, http.MethodPost, "/stream/1", "x", nil)
			}
		})
	}
	callers.Wait()
	require.False(t, n.tracker.Allowed("app", "v2"))
	require.Less(t, len(slow.Runs()), 50)
}

// Guards against an owner of an order that was paused after it read the status, and then
// writes the phase that it had decided over the one of its successor.
func TestPausedOwnerDoesNotOverwriteAPhase(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	n := env.assemble("i1")
	order := rollout.Order{Service: "app", To: "v2", Duration: time.Minute, ID: 7}
	n.tracker.SetOrders([]rollout.Order{order})
	key := storage.Key{Sort: platform.StatusKey("app")}
	write := func(phase rollout.Phase, version int64) int64 {
		value, err := platform.EncodeStatus(platform.Status{Order: order, Phase: phase})
		require.NoError(t, err)
		row, err := n.status.Put(t.Context(), key, value, version)
		require.NoError(t, err)
		return row.Version
	}
	// The paused owner has read the canary phase, which has lasted beyond the order's
	// duration since; its successor has completed the order.
	read := write(rollout.Canary, 0)
	write(rollout.Done, read)
	stale := platform.Status{Order: order, Phase: rollout.Canary, StartedAt: n.store.Now() - 2*order.Duration}
	n.decideOrder(t.Context(), order, stale, key, read)
	row, err := n.status.Get(t.Context(), key)
	require.NoError(t, err)
	status, err := platform.DecodeStatus(row.Value)
	require.NoError(t, err)
	require.Equal(t, rollout.Done, status.Phase)
	phase, _ := n.tracker.State(order)
	require.Equal(t, rollout.Canary, phase, "the paused owner does not act on its decision")
}

// Guards against an instance that was cut off, still has an older order and writes its status
// over that of a newer one.
func TestStatusOfANewerOrderIsKept(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	n := env.assemble("i1")
	older := rollout.Order{Service: "app", To: "v2", Duration: time.Minute, ID: 7}
	newer := rollout.Order{Service: "app", To: "v3", Duration: time.Minute, ID: 9}
	n.tracker.SetOrders([]rollout.Order{older})
	key := storage.Key{Sort: platform.StatusKey("app")}
	value, err := platform.EncodeStatus(platform.Status{Order: newer, Phase: rollout.Shifted})
	require.NoError(t, err)
	_, err = n.status.Put(t.Context(), key, value, 0)
	require.NoError(t, err)
	n.followOrder(t.Context(), older, time.Now())
	row, err := n.status.Get(t.Context(), key)
	require.NoError(t, err)
	status, err := platform.DecodeStatus(row.Value)
	require.NoError(t, err)
	require.Equal(t, newer.ID, status.Order.ID)
	require.Equal(t, rollout.Shifted, status.Phase)
}
