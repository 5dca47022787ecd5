package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/worker"
	"github.com/basilloom/basilloom/platform"
)

// oddEntries are registry entries of another writer.
func oddEntries(address string) map[string][]byte {
	entry := func(address, slots string) []byte {
		return fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"z1","version":"v1","slots":%s,"state":"ready","born":1}`, address, slots)
	}
	return map[string][]byte{
		"deeply nested":     []byte(strings.Repeat("[", 60_000)),
		"too many slots":    entry(address, "1000000000000000000"),
		"number too large":  entry(address, "1e400"),
		"port out of range": entry("127.0.0.1:65536", "4"),
		"port zero":         entry("127.0.0.1:0", "4"),
		"not JSON":          []byte("\x00\xff"),
	}
}

// Guards against an entry of another writer that ends an instance, stops it following the
// registry, or removes the known target whose entry it overwrites.
func TestOddRegistryEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 0)
	known := env.worker("known", worker.Always(worker.Serve))
	n := env.start("i1")
	serve := func() {
		for k := range 8 {
			response := n.call(t, http.MethodPost, fmt.Sprintf("/unsafe/%d", k), "{}", nil)
			require.Equal(t, http.StatusOK, response.status, response.body)
		}
	}
	for name, value := range oddEntries(known.Address()) {
		env.store.Put(platform.TableTargets, "odd", value)
		env.store.Put(platform.TableTargets, known.ID, value)
		time.Sleep(3 * loadPeriod)
		serve()
		require.Equal(t, []string{known.ID}, targetIDs(n), name)
	}
	env.register(known, "ready")
	other := env.worker("other", worker.Always(worker.Serve))
	require.Eventually(t, func() bool { return len(targetIDs(n)) == 2 }, applyTime, 10*time.Millisecond)
	require.Equal(t, []string{known.ID, other.ID}, targetIDs(n))
	serve()
}

// targetIDs returns those of the test's targets that the instance knows.
func targetIDs(n *node) []string {
	var ids []string
	for _, id := range []string{"known", "odd", "other"} {
		if _, ok := n.groups.Target(id); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against an instance that follows nothing until the store's versions have passed those
// from before its return from an older copy, and against one that keeps a row whose version
// was given out again.
func TestStoreBackFromAnOlderCopyIsFollowed(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	served := env.worker("w-1", worker.Always(worker.Serve))
	env.configure(testRoutes(), []string{testKey}, 0)
	nodes := []*node{env.start("i1"), env.start("i2"), env.start("i3"), env.start("i4")}
	waitForFleet(t, nodes)
	older := env.store.Copy()
	env.store.Put("other", "key", nil)
	env.store.Delete(platform.TableTargets, served.ID)
	for range 50 {
		env.store.Put("other", "key", nil)
	}
	has := func(id string) func() bool {
		return func() bool {
			for _, n := range nodes {
				if _, ok := n.registry.Current().Rows[id]; !ok {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if _, ok := n.registry.Current().Rows[served.ID]; ok {
				return false
			}
		}
		return true
	}, contactTime, 20*time.Millisecond)
	recent := env.worker("w-0", worker.Always(worker.Serve))
	require.Eventually(t, has(recent.ID), contactTime, 20*time.Millisecond)
	env.store.Restore(older)
	require.Eventually(t, has(served.ID), contactTime, 20*time.Millisecond)
	for _, n := range nodes {
		_, ok := n.groups.Target(recent.ID)
		require.True(t, ok, "its entry is missing until it is written again")
	}
	env.worker("w-2", worker.Always(worker.Serve))
	require.Eventually(t, has("w-2"), contactTime, 20*time.Millisecond)
}
