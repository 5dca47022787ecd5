package mirror_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"context"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
)

// applyTime is the time within which a change must take effect.
const applyTime = 2500 * time.Millisecond

// startTable starts a table that follows a stand-in of the store.
func startTable(t *testing.T) (*platformstore.Store, *httptest.Server, *mirror.Table) {
	t.Helper()
	store := platformstore.New()
	server := httptest.NewServer(store)
	table := mirror.NewTable("op", platform.NewStore(strings.TrimPrefix(server.URL, "http://")), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		table.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		server.CloseClientConnections()
		server.Close()
	})
	return store, server, table
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
	require.True(t, table.ApplyFromPeer([]mirror.Row{{Key: "config", Value: []byte("v9"), Version: version + 100}}, version+100, version+100))
	require.False(t, table.ApplyFromPeer([]mirror.Row{{Key: "config", Value: []byte("v0"), Version: version}}, version, version))
	store.Put("op", "other", []byte("x"))
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, "v9", value(table, "config"))
}
