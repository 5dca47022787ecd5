package instance

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/internal/standin/worker"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/rollout"
	"github.com/basilloom/basilloom/storage"
)

// traffic sends requests through all instances until it is stopped.
func traffic(t *testing.T, nodes []*node) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() {
			for ctx.Err() == nil {
				if a, err := n.try(ctx, http.MethodGet, "/safe/1", "", nil); err == nil && a.status >= 500 && a.status != 500 {
					t.Errorf("status %d: %s", a.status, a.body)
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

// Guards against a good version that is not done by its time, a bad one that is
// not taken back, and requests on a bad version beyond its share. The store is
// away for a while, and the instance that owns the order ends.
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
			w := newWorld(t)
			old := w.worker("w-old", worker.Always(worker.Serve))
			w.configure(testRoutes(), []string{testKey}, 0)
			nodes := []*node{w.start("i1"), w.start("i2")}
			fresh, err := worker.Start("w-new", worker.Always(c.behaviour))
			require.NoError(t, err)
			t.Cleanup(fresh.Close)
			w.registerVersion(fresh, "ready", "v2")
			w.store.Put(platform.TableOperator, "rollout/app", w.encode(map[string]any{"service": "app", "to": "v2", "duration_s": duration.Seconds()}))
			began := time.Now()
			stop := traffic(t, nodes)
			defer stop()
			time.Sleep(duration / 3)
			w.store.SetFaults(platformstore.Faults{Refuse: http.StatusServiceUnavailable})
			time.Sleep(duration / 6)
			w.store.SetFaults(platformstore.Faults{})
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
			require.LessOrEqual(t, time.Since(began), duration)
			if c.want == rollout.RolledBack {
				bad := len(fresh.Runs())
				require.LessOrEqual(t, bad, 50)
				time.Sleep(time.Second)
				require.Equal(t, bad, len(fresh.Runs()), "no request after the version was taken back")
				return
			}
			before := len(old.Runs())
			time.Sleep(500 * time.Millisecond)
			require.Greater(t, len(fresh.Runs()), before/20)
		})
	}
}
