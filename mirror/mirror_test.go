package mirror_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/internal/standin/link"
	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
)

// applyTime is the time within which a change must take effect.
const applyTime = 2500 * time.Millisecond

// follow runs a table until the end of the test.
func follow(t *testing.T, table *mirror.Table) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		table.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// startTable starts a table that follows a stand-in of the store.
func startTable(t *testing.T) (*platformstore.Store, *httptest.Server, *mirror.Table) {
	t.Helper()
	store := platformstore.New()
	server := httptest.NewServer(store)
	table := mirror.NewTable("op", platform.NewStore(strings.TrimPrefix(server.URL, "http://")), zap.NewNop())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	follow(t, table)
	return store, server, table
}

// contactTime is the time after a fault of its connections within which an instance must
// apply changes in time again.
const contactTime = 4 * time.Second

// Guards against a table that is not updated while it waits on connections to the store
// that went silent, those that lie idle in the client's pool included.
func TestSilentConnectionsToTheStoreAreReplaced(t *testing.T) {
	t.Parallel()
	store := platformstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	network := link.New(link.Settings{})
	t.Cleanup(network.Close)
	address, err := network.Forward(link.AToB, "127.0.0.1:0", server.Listener.Addr().String())
	require.NoError(t, err)
	client := platform.NewStore(address)
	table := mirror.NewTable("op", client, zap.NewNop())
	store.Put("op", "config", []byte("first"))
	// Three calls at once leave three idle connections.
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() { _, err := client.Watch(t.Context(), "op", 1, 200*time.Millisecond); assert.NoError(t, err) })
	}
	calls.Wait()
	follow(t, table)
	require.Eventually(t, func() bool { return value(table, "config") == "first" }, applyTime, 5*time.Millisecond)
	store.Put("op", "config", []byte("second"))
	require.Eventually(t, func() bool { return value(table, "config") == "second" }, applyTime, 5*time.Millisecond)
	time.Sleep(300 * time.Millisecond) // the next call of the feed begins
	network.Silence()
	store.Put("op", "config", []byte("third"))
	require.Eventually(t, func() bool { return value(table, "config") == "third" }, contactTime, 5*time.Millisecond)
}

func value(table *mirror.Table, key string) string {
	current := table.Current()
	if current == nil {
		return ""
	}
	return string(current.Rows[key].Value)
}

// Guards against missed changes, including after a compaction of the history and an
// outage of the store.
func TestTableFollowsTheStore(t *testing.T) {
	store, server, table := startTable(t)
	steps := []struct {
		name   string
		before func()
	}{
		{"first", func() {}},
		{"change", func() {}},
		{"compacted", func() {
			store.SetFaults(platformstore.Faults{Refuse: 503})
			server.CloseClientConnections()
			store.Put("op", "other", []byte("missed"))
			store.Compact()
		}},
		{"refused", func() {
			store.SetFaults(platformstore.Faults{Refuse: 503})
			time.Sleep(200 * time.Millisecond)
		}},
	}
	for _, step := range steps {
		step.before()
		store.Put("op", "config", []byte(step.name))
		store.SetFaults(platformstore.Faults{})
		require.Eventually(t, func() bool { return value(table, "config") == step.name }, applyTime, 5*time.Millisecond, step.name)
	}
	store.Delete("op", "config")
	require.Eventually(t, func() bool { return value(table, "config") == "" }, applyTime, 5*time.Millisecond)
}

// Guards against replacing the state by an older one, from a peer or from the store
// after a peer has sent a newer one.
func TestTableNeverRevertsToAnOlderState(t *testing.T) {
	store, _, table := startTable(t)
	store.Put("op", "config", []byte("v1"))
	require.Eventually(t, func() bool { return value(table, "config") == "v1" }, applyTime, 5*time.Millisecond)
	version := table.Version()
	require.True(t, applyFromPeer(t, table, mirror.Row{Key: "config", Value: []byte("v9"), Version: version + 100}))
	require.False(t, applyFromPeer(t, table, mirror.Row{Key: "config", Value: []byte("v0"), Version: version}))
	store.Put("op", "other", []byte("x"))
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, "v9", value(table, "config"))
}

// applyFromPeer applies a peer's copy that consists of one row.
func applyFromPeer(t *testing.T, table *mirror.Table, row mirror.Row) bool {
	t.Helper()
	peer := mirror.NewTable("op", staticSource{row}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go peer.Run(ctx)
	require.Eventually(t, func() bool { return peer.Current() != nil }, applyTime, time.Millisecond)
	applied, err := table.ApplyFromPeer(peer.CopyAfter(0))
	require.NoError(t, err)
	return applied
}

// staticSource is a Source with fixed rows, whose newest version is that of the last row.
type staticSource []mirror.Row

func (s staticSource) Load(context.Context, string) ([]mirror.Row, int64, error) {
	return s, s[len(s)-1].Version, nil
}

func (s staticSource) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (mirror.Changes, error) {
	<-ctx.Done()
	return mirror.Changes{}, ctx.Err()
}

// Guards against a difference from a peer that leaves out a removed or a changed row, or
// is applied to another copy than the one that it was made for.
func TestDifferenceFromPeer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	before := staticSource{{Key: "a", Version: 1}, {Key: "b", Version: 2}, {Key: "c", Version: 3}}
	after := staticSource{{Key: "a", Version: 1}, {Key: "c", Version: 5, Value: []byte("new")}, {Key: "d", Version: 6}}
	start := func(source staticSource) *mirror.Table {
		table := mirror.NewTable("op", source, zap.NewNop())
		go table.Run(ctx)
		require.Eventually(t, func() bool { return table.Current() != nil }, applyTime, time.Millisecond)
		return table
	}
	table, peer, other := start(before), start(after), start(staticSource{{Key: "x", Version: 2}, {Key: "y", Version: 3}})
	difference := peer.CopyAfter(table.Version())
	require.Len(t, difference.Rows, 2, "only the rows that changed")
	applied, err := table.ApplyFromPeer(difference)
	require.NoError(t, err)
	require.True(t, applied)
	require.Equal(t, peer.Current().Rows, table.Current().Rows)
	_, err = other.ApplyFromPeer(difference)
	require.ErrorIs(t, err, mirror.ErrIncompleteCopy)
}

// Guards against a live row that is lost because the feed delivers its removal and its new
// value in one response, as after an outage of the store in which entries lapse.
func TestRowWrittenAgainAfterItsRemovalIsKept(t *testing.T) {
	store, server, table := startTable(t)
	put := func(key, value string) func() { return func() { store.Put("op", key, []byte(value)) } }
	remove := func(key string) func() { return func() { store.Delete("op", key) } }
	for _, step := range []struct {
		name    string
		changes []func()
		want    string
	}{
		{"written again", []func(){put("worker", "first"), remove("worker"), put("worker", "again")}, "again"},
		{"removed and written again twice", []func(){remove("worker"), put("worker", "1"), remove("worker"), put("worker", "2")}, "2"},
		{"changed", []func(){put("worker", "3"), put("worker", "4")}, "4"},
		{"removed last", []func(){put("worker", "5"), remove("worker"), put("worker", "6"), remove("worker")}, ""},
		{"new and removed", []func(){put("worker", "7"), remove("worker")}, ""},
	} {
		store.SetFaults(platformstore.Faults{Refuse: 503})
		server.CloseClientConnections()
		for _, change := range step.changes {
			change()
		}
		store.Put("op", "last", []byte(step.name))
		store.SetFaults(platformstore.Faults{})
		require.Eventually(t, func() bool { return value(table, "last") == step.name }, applyTime, 5*time.Millisecond, step.name)
		require.Equal(t, step.want, value(table, "worker"), step.name)
	}
}
