// Package mirror keeps a copy of a table of the platform's store. It follows the
// store's change feed and takes newer copies from peers while the store cannot
// be reached, so that a change is in force on every instance that reaches either.
package mirror

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/telemetry/field"
)

// Row is a versioned row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Changes are the rows that changed since a version.
type Changes struct {
	Rows    []Row
	Removed []string
	// Version is the version of the store that the changes lead to.
	Version int64
}

// ErrCompacted tells that the store no longer has the history since the version.
var ErrCompacted = errors.New("change history is no longer available")

// Source is the store's side of a table.
type Source interface {
	// Load returns all rows and the version of which they are.
	Load(ctx context.Context, table string) ([]Row, int64, error)
	// Watch waits for changes after a version, up to the given time. Without
	// changes it returns none. ErrCompacted asks for a Load.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Times of a table's loop.
const (
	// watchWait is how long one call of the feed waits. Each call is priced; a
	// connection that went silent is noticed after it, or earlier by a peer's
	// newer version.
	watchWait = 5 * time.Second
	// minRetry and maxRetry bound the wait after a failed call. The upper bound
	// leaves a second of the 2.5 s within which a change must be in force.
	minRetry = 50 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// minWatchInterval joins the changes of a burst into one call.
	minWatchInterval = 100 * time.Millisecond
)

// Snapshot is the state of a table. It is immutable.
type Snapshot struct {
	// Version is the store's version up to which all changes are known.
	Version int64
	// Changed is the version at which a row last changed, as far as it is known.
	Changed int64
	// Digest is the same for copies with the same rows.
	Digest uint64
	Rows   map[string]Row
}

// digest sums up hashes of the rows, so that their order does not matter.
func digest(rows map[string]Row) uint64 {
	var sum uint64
	for _, row := range rows {
		d := xxhash.New()
		_, _ = d.WriteString(row.Key) // xxhash never fails
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(row.Version)))
		sum += d.Sum64()
	}
	return sum
}

// Table is the copy of one table.
type Table struct {
	name    string
	source  Source
	log     *zap.Logger
	changed chan struct{}

	mu      sync.Mutex
	current *Snapshot
	// lost is when the store stopped answering, zero while it answers; restored
	// is when it last answered again.
	lost, restored time.Time
	// answered is when the store last answered.
	answered time.Time
}

// NewTable returns an empty copy of the named table.
func NewTable(name string, source Source, log *zap.Logger) *Table {
	return &Table{name: name, source: source, log: log.With(zap.String(field.Table, name)), changed: make(chan struct{}, 1)}
}

// Changed gets a value after each change.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Current returns the newest state, or nil before the first.
func (t *Table) Current() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Version returns the version of the newest state, 0 before the first.
func (t *Table) Version() int64 {
	if current := t.Current(); current != nil {
		return current.Version
	}
	return 0
}

// LastRecovery returns when the store last answered again after a loss.
func (t *Table) LastRecovery() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restored
}

// LastResponse returns when the store last answered, zero before its first answer.
func (t *Table) LastResponse() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered
}

// ApplyFromPeer takes over a state that a peer holds, if it is newer. It reports whether it was.
func (t *Table) ApplyFromPeer(rows []Row, version, changed int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && version <= t.current.Version {
		return false
	}
	t.setLocked(rows, version, changed)
	t.log.Info("table taken from a peer", zap.Int64(field.Version, version), zap.Int(field.Rows, len(rows)))
	return true
}

// Run follows the store until ctx ends.
func (t *Table) Run(ctx context.Context) {
	retry := minRetry
	reload := true
	for ctx.Err() == nil {
		began := time.Now()
		err := t.step(ctx, reload)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			t.log.Info("change history lost, reading the table again")
			reload = true
			t.noteContact(nil)
		case err != nil:
			t.noteContact(err)
			sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
		default:
			t.noteContact(nil)
			retry, reload = minRetry, false
			sleep(ctx, minWatchInterval-time.Since(began))
		}
	}
}

func (t *Table) step(ctx context.Context, reload bool) error {
	if reload || t.Current() == nil {
		rows, version, err := t.source.Load(ctx, t.name)
		if err != nil {
			return err
		}
		t.replace(rows, version)
		return nil
	}
	after := t.Version()
	changes, err := t.source.Watch(ctx, t.name, after, watchWait)
	if err != nil {
		return err
	}
	t.apply(after, changes)
	return nil
}

func (t *Table) replace(rows []Row, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && version < t.current.Version {
		return // a peer was newer
	}
	changed := version
	if t.current != nil && sameRows(t.current.Rows, rows) {
		changed = t.current.Changed
	}
	t.setLocked(rows, version, changed)
}

func sameRows(known map[string]Row, rows []Row) bool {
	if len(known) != len(rows) {
		return false
	}
	for _, row := range rows {
		if k, ok := known[row.Key]; !ok || k.Version != row.Version {
			return false
		}
	}
	return true
}

// apply adds changes since a version, unless a peer's newer copy came meanwhile.
func (t *Table) apply(after int64, changes Changes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.Version != after || changes.Version <= after {
		return
	}
	if len(changes.Rows) == 0 && len(changes.Removed) == 0 {
		t.current = &Snapshot{Version: changes.Version, Changed: t.current.Changed, Digest: t.current.Digest, Rows: t.current.Rows}
		return
	}
	rows := maps.Clone(t.current.Rows)
	for _, row := range changes.Rows {
		rows[row.Key] = row
	}
	for _, key := range changes.Removed {
		delete(rows, key)
	}
	t.current = &Snapshot{Version: changes.Version, Changed: changes.Version, Digest: digest(rows), Rows: rows}
	t.signal()
}

func (t *Table) setLocked(rows []Row, version, changed int64) {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	t.current = &Snapshot{Version: version, Changed: changed, Digest: digest(byKey), Rows: byKey}
	t.signal()
}

func (t *Table) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// noteContact records whether the store answered and logs each change.
func (t *Table) noteContact(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if err == nil {
		t.answered = now
	}
	switch {
	case err == nil && !t.lost.IsZero():
		t.log.Info("store answers again", zap.Duration(field.StoreOutage, now.Sub(t.lost)))
		t.lost, t.restored = time.Time{}, now
	case err != nil && t.lost.IsZero():
		t.log.Warn("store does not answer", zap.Error(err))
		t.lost = now
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
