// Package mirror keeps a copy of a table of the platform's store. It follows the
// store's change feed or, while other instances of its availability zone do that, the
// copies of its peers. A change reaches every instance that can reach either.
package mirror

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
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

// Change is the new value of a row, or its removal.
type Change struct {
	Row
	Removed bool
}

// Changes holds the changes since a version in the order in which the store made them. A
// row may have changed more than once.
type Changes struct {
	Rows []Change
	// Version is the store's version after the changes.
	Version int64
	// ReadAt is the store's clock when it made the response.
	ReadAt time.Duration
}

// ErrCompacted reports that the store no longer has the change history since the version.
var ErrCompacted = errors.New("change history is no longer available")

// eraBits is the number of low bits of a table's version that hold the store's version. The
// store may come back from an older copy and give out versions again, which starts an era.
const eraBits = 40

// VersionIn returns the version of a table at a version of the store in an era. Versions of
// later eras are higher. The versions of rows have no era.
func VersionIn(era, version int64) int64 { return era<<eraBits | version }

// Era returns the era and the store's version of a table's version.
func Era(version int64) (era, storeVersion int64) {
	return version >> eraBits, version & (1<<eraBits - 1)
}

// Source reads tables from the store. The versions of tables are those of VersionIn.
type Source interface {
	// Load returns all rows and their store version.
	Load(ctx context.Context, table string) ([]Row, int64, error)
	// Watch waits up to the given time for changes after a version, and returns
	// empty Changes if there are none. After ErrCompacted the caller must use Load.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Times of a table's loop.
const (
	// watchWait is how long one call of the feed waits. Each call is charged, but a silent
	// connection is only detected when the call fails: the wait, the timeout of the call
	// and a retry must end within the 4 s after which changes must be in time again.
	watchWait = 2 * time.Second
	// minRetry and maxRetry bound the wait after a failed call. The upper bound leaves
	// one second of the 2.5 s within which a change must take effect.
	minRetry = 50 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// readsCheckInterval is how often an instance that relies on its peers checks whether
	// it has to read the store.
	readsCheckInterval = 100 * time.Millisecond
	// minWatchInterval batches the changes of a burst into one call. Each call is charged.
	minWatchInterval = 250 * time.Millisecond
	// reloadInterval is how long a table that reads the store relies on the feed alone. A
	// full read repairs a copy that differs from the store, whatever the cause.
	reloadInterval = time.Minute
)

// Snapshot is the state of a table. It is immutable.
type Snapshot struct {
	// Version is the store's version up to which all changes are included.
	Version int64
	// Changed is the version at which a row last changed. After a load of different rows
	// it is the version of the load, which may be higher.
	Changed int64
	// Digest is equal for copies with the same rows.
	Digest uint64
	Rows   map[string]Row
}

// digest sums the hashes of the rows, so the result does not depend on their order. The same
// version of a row may stand for another value in another era.
func digest(rows map[string]Row, version int64) uint64 {
	era, _ := Era(version)
	sum := uint64(era)
	for _, row := range rows {
		d := xxhash.New()
		_, _ = d.WriteString(row.Key) // xxhash never fails
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(row.Version)))
		sum += d.Sum64()
	}
	return sum
}

// Table is a local copy of one table.
type Table struct {
	name    string
	source  Source
	log     *zap.Logger
	changed chan struct{}
	// reads reports whether this instance reads the store or relies on peers that do.
	reads func() bool
	// needsReadAt is set if ReadAt is to be known soon after the first read.
	needsReadAt bool
	// onStoreChange is called after a change that the store's feed delivered; may be nil.
	onStoreChange func()

	mu      sync.Mutex
	current *Snapshot
	// outageSince is when the store stopped responding, zero while it responds.
	// recoveredAt is when it last recovered.
	outageSince, recoveredAt time.Time
	// respondedAt is when the store last responded.
	respondedAt time.Time
	// readAt is the store's clock at the newest reading that the copy includes.
	readAt time.Duration
}

// NewTable returns an empty copy of the named table, which reads the store.
func NewTable(name string, source Source, log *zap.Logger) *Table {
	return &Table{
		name: name, source: source, log: log.With(zap.String(field.Table, name)), changed: make(chan struct{}, 1),
		reads: func() bool { return true },
	}
}

// SetReads sets the function that decides whether the table reads the store. It must be
// called before Run.
func (t *Table) SetReads(reads func() bool) { t.reads = reads }

// SetNeedsReadAt makes the table ask for its first ReadAt at once, which takes a call. It must
// be called before Run.
func (t *Table) SetNeedsReadAt() { t.needsReadAt = true }

// SetOnStoreChange sets a function that is called after a change that this instance read
// from the store. It must be called before Run.
func (t *Table) SetOnStoreChange(f func()) { t.onStoreChange = f }

// Changed returns a channel that receives a value after a change. Changes that have
// not been received yet share one value.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Current returns the newest snapshot, or nil before the first.
func (t *Table) Current() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Version returns the version of the newest snapshot, 0 before the first.
func (t *Table) Version() int64 {
	if current := t.Current(); current != nil {
		return current.Version
	}
	return 0
}

// LastRecovery returns when the store last recovered from an outage or came back from an
// older copy.
func (t *Table) LastRecovery() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recoveredAt
}

// LastResponse returns when the store last responded, zero before its first response.
func (t *Table) LastResponse() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.respondedAt
}

// StoreUnavailable reports whether the store does not respond to this instance's calls.
func (t *Table) StoreUnavailable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.outageSince.IsZero()
}

// ReadAt returns the store's clock at the newest reading that the copy includes, 0 before
// the first. A snapshot that is taken afterwards includes that reading, too.
func (t *Table) ReadAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt
}

// ConfirmFromPeer records that a peer's copy with the digest included a reading at the
// store's time readAt.
func (t *Table) ConfirmFromPeer(digest uint64, readAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.Digest == digest {
		t.readAt = max(t.readAt, readAt)
	}
}

// PeerCopy is a peer's copy of a table, or its difference from an earlier version.
type PeerCopy struct {
	Version, Changed int64
	Digest           uint64
	// Rows are all rows, or those that changed after the version After.
	Rows  []Row
	After int64
	// Keys are the hashes of the keys of all rows if After is set.
	Keys []uint64
	// RecoveredAt is when the store last recovered from an outage, zero if unknown.
	RecoveredAt time.Time
}

// KeyHash returns the hash of a key in PeerCopy.Keys.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// CopyAfter returns the table's copy for a peer that has the given version, or the whole
// copy if the version is 0. Without a local copy, the returned version is 0.
func (t *Table) CopyAfter(version int64) PeerCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return PeerCopy{}
	}
	c := PeerCopy{
		Version: t.current.Version, Changed: t.current.Changed, Digest: t.current.Digest, After: version, RecoveredAt: t.recoveredAt,
	}
	era, after := Era(version)
	currentEra, _ := Era(t.current.Version)
	whole := version == 0 || era != currentEra
	for key, row := range t.current.Rows {
		if whole || row.Version > after {
			c.Rows = append(c.Rows, row)
		}
		if !whole {
			c.Keys = append(c.Keys, KeyHash(key))
		}
	}
	return c
}

// ErrIncompleteCopy reports that a difference does not lead to the peer's copy; the whole
// copy is needed.
var ErrIncompleteCopy = errors.New("difference does not lead to the peer's copy of the table")

// ApplyFromPeer adopts a peer's copy if it is newer, and reports whether it was.
func (t *Table) ApplyFromPeer(c PeerCopy) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && c.Version <= t.current.Version {
		return false, nil
	}
	rows := c.Rows
	if c.After > 0 {
		rows = t.patchedLocked(c)
	}
	snapshot := newSnapshot(rows, c.Version, c.Changed)
	if snapshot.Digest != c.Digest {
		return false, ErrIncompleteCopy
	}
	if c.RecoveredAt.After(t.recoveredAt) {
		t.recoveredAt = c.RecoveredAt
	}
	t.current = snapshot
	t.signal()
	t.log.Info("table copied from a peer", zap.Int64(field.Version, c.Version), zap.Int(field.Rows, len(c.Rows)))
	return true, nil
}

// patchedLocked applies a difference to the current rows.
func (t *Table) patchedLocked(c PeerCopy) []Row {
	kept := make(map[uint64]bool, len(c.Keys))
	for _, key := range c.Keys {
		kept[key] = true
	}
	rows := slices.Clone(c.Rows)
	changed := make(map[string]bool, len(rows))
	for _, row := range rows {
		changed[row.Key] = true
	}
	if t.current == nil {
		return rows
	}
	for key, row := range t.current.Rows {
		if kept[KeyHash(key)] && !changed[key] {
			rows = append(rows, row)
		}
	}
	return rows
}

// Run follows the store until ctx ends.
func (t *Table) Run(ctx context.Context) {
	retry := minRetry
	reload := true
	var loadedAt time.Time
	for ctx.Err() == nil {
		if t.Current() != nil && !t.reads() {
			sleep(ctx, readsCheckInterval)
			continue
		}
		startedAt, unavailable := time.Now(), t.StoreUnavailable()
		reload = reload || startedAt.Sub(loadedAt) >= reloadInterval && !unavailable
		err := t.update(ctx, reload)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			t.log.Info("change history is no longer available; reloading the table")
			reload = true
		case err != nil:
			t.recordResult(err)
			sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
		default:
			if reload {
				loadedAt = startedAt
			}
			// After an outage the feed's response holds many changes of the same rows.
			retry, reload = minRetry, unavailable && !reload
			sleep(ctx, minWatchInterval-time.Since(startedAt))
		}
	}
}

// update reads the table or its changes. The end of an outage is recorded before a change
// is published, because removals during the outage are to be judged by it.
func (t *Table) update(ctx context.Context, reload bool) error {
	if reload || t.Current() == nil {
		rows, version, err := t.source.Load(ctx, t.name)
		if err != nil {
			return err
		}
		t.recordResult(nil)
		if t.replace(rows, version) {
			t.notifyStoreChange()
		}
		return nil
	}
	after, wait := t.Version(), watchWait
	if t.StoreUnavailable() || t.needsReadAt && t.ReadAt() == 0 || time.Since(t.LastResponse()) > 2*watchWait {
		wait = 0 // a call that waits tells late that the store responds, or that nothing changed
	}
	changes, err := t.source.Watch(ctx, t.name, after, wait)
	if err == nil || errors.Is(err, ErrCompacted) {
		t.recordResult(nil)
	}
	if err != nil {
		return err
	}
	if t.apply(after, changes) {
		t.notifyStoreChange()
	}
	return nil
}

func (t *Table) notifyStoreChange() {
	if t.onStoreChange != nil {
		t.onStoreChange()
	}
}

// replace adopts a full read of the table and reports whether it changed the copy. The
// first read does not: all instances of a fleet that starts read the same.
func (t *Table) replace(rows []Row, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && version < t.current.Version {
		return false // a peer's newer copy is in use
	}
	if t.current != nil && sameEra(t.current.Version, version) && sameRows(t.current.Rows, rows) {
		t.current = &Snapshot{Version: version, Changed: t.current.Changed, Digest: t.current.Digest, Rows: t.current.Rows}
		return false
	}
	first := t.current == nil
	if !first && !sameEra(t.current.Version, version) {
		t.recoveredAt = time.Now() // rows may be missing until they are written again
	}
	t.current = newSnapshot(rows, version, version)
	t.signal()
	return !first
}

func sameEra(a, b int64) bool { return a>>eraBits == b>>eraBits }

func sameRows(current map[string]Row, rows []Row) bool {
	if len(current) != len(rows) {
		return false
	}
	for _, row := range rows {
		if c, ok := current[row.Key]; !ok || c.Version != row.Version {
			return false
		}
	}
	return true
}

// apply applies the changes after a version, unless the copy has been replaced by a
// peer's newer one in the meantime. It reports whether rows changed.
func (t *Table) apply(after int64, changes Changes) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer func() {
		if t.current.Version >= changes.Version {
			t.readAt = max(t.readAt, changes.ReadAt)
		}
	}()
	if t.current.Version != after || changes.Version <= after {
		return false
	}
	if len(changes.Rows) == 0 {
		t.current = &Snapshot{Version: changes.Version, Changed: t.current.Changed, Digest: t.current.Digest, Rows: t.current.Rows}
		return false
	}
	rows := maps.Clone(t.current.Rows)
	for _, change := range changes.Rows {
		if change.Removed {
			delete(rows, change.Key)
		} else {
			rows[change.Key] = change.Row
		}
	}
	t.current = &Snapshot{Version: changes.Version, Changed: changes.Version, Digest: digest(rows, changes.Version), Rows: rows}
	t.signal()
	return true
}

func newSnapshot(rows []Row, version, changed int64) *Snapshot {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return &Snapshot{Version: version, Changed: changed, Digest: digest(byKey, version), Rows: byKey}
}

func (t *Table) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// recordResult records whether the store responded and logs the start and end of an
// outage.
func (t *Table) recordResult(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if err == nil {
		t.respondedAt = now
	}
	switch {
	case err == nil && !t.outageSince.IsZero():
		t.log.Info("store responds again", zap.Duration(field.StoreOutage, now.Sub(t.outageSince)))
		t.outageSince, t.recoveredAt = time.Time{}, now
	case err != nil && t.outageSince.IsZero():
		t.log.Warn("store does not respond", zap.Duration(field.SinceLastResponse, t.sinceResponseLocked(now)), zap.Error(err))
		t.outageSince = now
	}
}

// sinceResponseLocked returns the time since the store's last response, 0 before the first.
func (t *Table) sinceResponseLocked(now time.Time) time.Duration {
	if t.respondedAt.IsZero() {
		return 0
	}
	return now.Sub(t.respondedAt)
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
