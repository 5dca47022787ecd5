package crashrows

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/scheduler"
)

// rowStore is the store in memory. calls counts the calls, away makes them fail.
type rowStore struct {
	mu      sync.Mutex
	started time.Time
	rows    map[string][]byte
	calls   int
	away    bool
}

var errAway = errors.New("store is away")

func newRowStore() *rowStore { return &rowStore{started: time.Now(), rows: make(map[string][]byte)} }

func (s *rowStore) Now() time.Duration { return time.Hour + time.Since(s.started) }

func (s *rowStore) Load(context.Context, string) ([]mirror.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, errAway
	}
	var rows []mirror.Row
	for key, value := range s.rows {
		rows = append(rows, mirror.Row{Key: key, Value: value})
	}
	return rows, 1, nil
}

func (s *rowStore) Apply(_ context.Context, _ string, puts map[string][]byte, removals []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return errAway
	}
	maps.Copy(s.rows, puts)
	for _, key := range removals {
		delete(s.rows, key)
	}
	return nil
}

func (s *rowStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *rowStore) count() (rows, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), s.calls
}

// instance is a table with the evidence that its instance knows.
type instance struct {
	*Table
	mu    sync.Mutex // guards known
	known *scheduler.Quarantine
	end   context.CancelFunc
}

func (i *instance) entries() []scheduler.CrashEvidence {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known.Entries(time.Now())
}

func start(t *testing.T, store *rowStore) *instance {
	i := &instance{known: scheduler.NewQuarantine()}
	i.Table = New(Settings{
		Store: store, Instances: func() int { return 9 }, Log: zap.NewNop(),
		OnRead: func(entries []scheduler.CrashEvidence) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.known.Merge(time.Now(), entries)
		},
	})
	ctx, end := context.WithCancel(t.Context())
	i.end = end
	go i.Run(ctx)
	return i
}

// crash records a crash under a content and stores it.
func (i *instance) crash(fingerprint uint64, target string) {
	i.record(func(known *scheduler.Quarantine, now time.Time) {
		known.RecordCrash(now, fingerprint, target, false, now)
	})
}

// record changes the evidence and stores what is known then.
func (i *instance) record(change func(known *scheduler.Quarantine, now time.Time)) {
	i.mu.Lock()
	change(i.known, time.Now())
	i.mu.Unlock()
	for _, e := range i.entries() {
		i.Add(e)
	}
}

func (i *instance) verdict(fingerprint uint64) scheduler.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, _ := i.known.Verdict(time.Now(), fingerprint)
	return v
}

// Guards against crashes that are forgotten when all instances end a second after any one of
// them, and against crashes at the same time that count twice after a start.
func TestEachCrashOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const content, part, together = 7, 8, 9
		store := newRowStore()
		for n, want := range []scheduler.Verdict{scheduler.VerdictSuspect, scheduler.VerdictQuarantined} {
			i := start(t, store)
			<-i.Ready()
			target := fmt.Sprint("t", n)
			i.crash(content, target)
			i.record(func(known *scheduler.Quarantine, now time.Time) {
				known.RecordPartCrash(now, part, target, []uint64{1}, now)
				known.RecordCrash(now, together, "a", false, now.Add(-time.Second))
				known.RecordCrash(now, together, "b", false, now.Add(-time.Second))
			})
			time.Sleep(time.Second)
			i.end()
			again := start(t, store)
			<-again.Ready()
			require.Equal(t, want, again.verdict(content))
			require.Equal(t, scheduler.VerdictSuspect, again.verdict(together))
			entries := again.entries()
			require.True(t, slices.ContainsFunc(entries, func(e scheduler.CrashEvidence) bool {
				return e.Part && e.Fingerprint == part && e.Crashes == n+1 && len(e.Companions) == 1 && e.Age >= time.Second
			}), "%+v", entries)
			again.end()
		}
		time.Sleep(scheduler.SuspectDuration)
		last := start(t, store)
		<-last.Ready()
		require.Empty(t, last.entries(), "expired")
		require.NoError(t, last.Reconcile(t.Context(), nil))
		time.Sleep(time.Second)
		rows, _ := store.count()
		require.Zero(t, rows)
	})
}

// Guards against a content that counts as crashing targets after a start although it was
// served since.
func TestServedContentIsSoundAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRowStore()
		i := start(t, store)
		<-i.Ready()
		i.crash(7, "a")
		time.Sleep(time.Second)
		i.mu.Lock()
		served, ok := i.known.RecordSuccess(time.Now(), 7)
		i.mu.Unlock()
		require.True(t, ok)
		i.Remove(served.Part, served.Fingerprint, served.CrashedTargets)
		time.Sleep(time.Second)
		again := start(t, store)
		<-again.Ready()
		require.Equal(t, scheduler.VerdictClean, again.verdict(7))
	})
}

// Guards against a store that is away and keeps a start from serving, or loses the crashes
// of that time, and against one that is back from an older copy and clears evidence.
func TestStoreAwayNeitherBlocksNorClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRowStore()
		first := start(t, store)
		<-first.Ready()
		first.crash(7, "a")
		time.Sleep(time.Second)
		store.setAway(true)
		first.crash(7, "b")
		startedAt := time.Now()
		second := start(t, store)
		<-second.Ready()
		require.LessOrEqual(t, time.Since(startedAt), 3*time.Second)
		require.False(t, second.HasRead(), "peers must not take it for the evidence")
		fromPeer := start(t, store)
		fromPeer.ReadFromPeer()
		<-fromPeer.Ready()
		time.Sleep(time.Minute)
		_, before := store.count()
		time.Sleep(time.Minute)
		_, calls := store.count()
		require.LessOrEqual(t, calls-before, 3*61, "calls of three instances in a minute")
		store.setAway(false)
		time.Sleep(2 * time.Second)
		rows, _ := store.count()
		require.Equal(t, 2, rows, "written when the store is back")
		require.NotEqual(t, scheduler.VerdictClean, second.verdict(7), "read when the store is back")
		// The second crash may have been written after that; its reports are not played here.
		require.NoError(t, second.Reconcile(t.Context(), nil))
		require.Equal(t, scheduler.VerdictQuarantined, second.verdict(7))

		store.mu.Lock()
		clear(store.rows) // an older copy
		store.mu.Unlock()
		require.NoError(t, second.Reconcile(t.Context(), second.entries()))
		time.Sleep(time.Second)
		require.Equal(t, scheduler.VerdictQuarantined, second.verdict(7))
		last := start(t, store)
		<-last.Ready()
		require.Equal(t, scheduler.VerdictQuarantined, last.verdict(7))
	})
}

// Guards against rows and calls without bound when a crowd of contents crashes targets, and
// against a second crash that waits behind first ones. A calm instance makes one call.
func TestRowsAndCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRowStore()
		i := start(t, store)
		<-i.Ready()
		time.Sleep(time.Hour)
		_, calls := store.count()
		require.Equal(t, 1, calls)
		evidence := func(n uint64, targets ...string) scheduler.CrashEvidence {
			return scheduler.CrashEvidence{
				Fingerprint: n, ValidFor: scheduler.SuspectDuration, CrashedTargets: targets, Crashes: len(targets),
			}
		}
		for n := range uint64(5000) {
			i.Add(evidence(n+1, "a"))
		}
		i.Add(evidence(100, "a", "b"))
		time.Sleep(time.Second)
		_, after := store.count()
		require.LessOrEqual(t, after-calls, 1+int(time.Second/minInterval))
		store.mu.Lock()
		second := 0
		for key := range store.rows {
			if strings.HasSuffix(key, "/b") {
				second++
			}
		}
		store.mu.Unlock()
		require.Equal(t, 1, second)
		time.Sleep(time.Minute)
		rows, _ := store.count()
		require.LessOrEqual(t, rows, 2*maxWritten)
		for k := range 20 { // those of other instances
			for n := range uint64(maxWritten) {
				key := rowKey(false, n, fmt.Sprint("x", k))
				store.mu.Lock()
				store.rows[key] = store.rows[rowKey(false, 100, "b")]
				store.mu.Unlock()
			}
		}
		for range 15 {
			require.NoError(t, i.Reconcile(t.Context(), nil))
			time.Sleep(time.Minute)
		}
		rows, _ = store.count()
		require.LessOrEqual(t, rows, maxRows)
	})
}
