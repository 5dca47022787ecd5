package mirror_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/mirror"
)

// faultySource is a Source whose feed delivers the given changes once, whatever its rows are,
// and can fail: calls then end without a response after silence.
type faultySource struct {
	mu      sync.Mutex
	version int64
	rows    []mirror.Row
	changes []mirror.Change
	fail    bool
	// loads counts the full reads.
	loads int
}

// silence is how long a call without a response takes beyond its wait.
const silence = 700 * time.Millisecond

var errSource = errors.New("no response")

func (s *faultySource) Load(context.Context, string) ([]mirror.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	if s.fail {
		return nil, 0, errSource
	}
	return s.rows, s.version, nil
}

func (s *faultySource) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (mirror.Changes, error) {
	select {
	case <-ctx.Done():
		return mirror.Changes{}, ctx.Err()
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		s.mu.Unlock()
		time.Sleep(silence)
		s.mu.Lock()
		return mirror.Changes{}, errSource
	}
	changes := mirror.Changes{Rows: s.changes, Version: s.version}
	s.changes = nil
	return changes, nil
}

// deliver makes the feed deliver changes.
func (s *faultySource) deliver(changes ...mirror.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes = changes
}

// setRows replaces the rows; the feed delivers the removal of the first.
func (s *faultySource) setRows(rows ...mirror.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes = []mirror.Change{{Row: mirror.Row{Key: s.rows[0].Key, Version: s.version}, Removed: true}}
	s.rows = rows
}

func (s *faultySource) setFailing(fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fail
}

// startFaulty starts a table that follows a faultySource, in a synctest bubble.
func startFaulty(t *testing.T) (*faultySource, *mirror.Table) {
	source := &faultySource{version: 1, rows: []mirror.Row{{Key: "worker", Value: []byte("live"), Version: 1}}}
	table := mirror.NewTable("servers", source, zap.NewNop())
	follow(t, table)
	return source, table
}

// Guards against a copy that differs from the store and stays so, because a row that does not
// change is never delivered again.
func TestWrongCopyIsRepaired(t *testing.T) {
	for name, outage := range map[string]bool{"by a full read from time to time": false, "after an outage of the store": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, table := startFaulty(t)
				time.Sleep(time.Second)
				source.deliver(mirror.Change{Row: mirror.Row{Key: "worker", Version: 2}, Removed: true})
				time.Sleep(5 * time.Second)
				require.Empty(t, table.Current().Rows, "the copy is wrong")
				repair := time.Minute
				if outage {
					source.setFailing(true)
					time.Sleep(4 * time.Second)
					source.setFailing(false)
					repair = contactTime
				}
				source.deliver()
				time.Sleep(repair)
				require.Equal(t, "live", value(table, "worker"))
			})
		})
	}
}

// Guards against removals that are published before the end of the outage in which the rows
// lapsed is: live targets would be taken for gone.
func TestEndOfAnOutageIsKnownWithItsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, table := startFaulty(t)
		time.Sleep(5 * time.Second)
		began := time.Now()
		changes, unrecorded := 0, 0
		table.SetOnStoreChange(func() {
			changes++
			if table.LastRecovery().Before(began) {
				unrecorded++
			}
		})
		source.setFailing(true)
		time.Sleep(4 * time.Second)
		source.setRows() // the entry lapsed
		source.setFailing(false)
		time.Sleep(contactTime)
		require.Empty(t, table.Current().Rows)
		require.Equal(t, 1, changes)
		require.Zero(t, unrecorded)
	})
}

// Guards against changes that come late after an outage, because a call of the feed that began
// in it waits on, and against full reads while the store responds to some calls only: a large
// table takes several calls.
func TestFeedIsAskedDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, table := startFaulty(t)
		time.Sleep(5 * time.Second)
		source.setFailing(true)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, source.loads)
		source.setFailing(false)
		changed := mirror.Row{Key: "worker", Value: []byte("changed"), Version: 2}
		source.setRows(changed)
		source.deliver(mirror.Change{Row: changed})
		// One call, and the longest wait between two calls.
		time.Sleep(silence + 900*time.Millisecond)
		require.Equal(t, "changed", value(table, "worker"))
		time.Sleep(time.Second)
		require.Equal(t, 2, source.loads, "one full read after the outage")
	})
}
