// Package lease grants named leases with fencing numbers on the platform's
// table service. Clocks of instances need not agree: a holder counts from
// before its write was sent, and an observer from when it saw the change.
package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

// Errors of leases. Errors of the table are returned wrapped.
var (
	// ErrLost: another holder has the lease, or it was released.
	ErrLost = errors.New("lease lost")
	// ErrHeld matches every HeldError.
	ErrHeld = errors.New("lease held by another instance")
)

// HeldError is returned while another holder's lease may be valid.
type HeldError struct {
	Holder string
	// Remaining is the time after which the lease expires unless it is renewed.
	Remaining time.Duration
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("%v: %s, at most %v remaining", ErrHeld, e.Holder, e.Remaining)
}

// Is reports whether target is ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

const (
	partition = "lease"
	// DefaultDuration costs 720 writes an hour for the holder.
	DefaultDuration = 15 * time.Second
	// renewalsPerDuration leaves two more attempts after a failed renewal.
	renewalsPerDuration = 3
	// driftDivisor adds 1% to an observer's wait, far more than quartz clocks
	// of holder and observer differ in rate.
	driftDivisor = 100
)

// Settings identify the holder.
type Settings struct {
	// Holder is the instance name and must not be empty.
	Holder      string
	Incarnation uint64
	// Duration is the time for which a lease is valid after a renewal was sent;
	// 0 means DefaultDuration. It is stored in whole milliseconds.
	Duration time.Duration
}

// Manager acquires leases for one instance. It is safe for concurrent use.
type Manager struct {
	table    storage.Table
	settings Settings

	mu   sync.Mutex
	seen map[string]observation
}

// observation is another holder's lease as this instance saw it.
type observation struct {
	nonce string
	since time.Time
}

// NewManager returns a manager on the table, usually a storage.Retrying.
func NewManager(table storage.Table, settings Settings) *Manager {
	if settings.Duration == 0 {
		settings.Duration = DefaultDuration
	}
	return &Manager{table: table, settings: settings, seen: map[string]observation{}}
}

// Acquire takes the lease if it is free or has expired by this instance's own
// clock. It returns a HeldError otherwise, so callers repeat it to observe.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	row, err := m.table.Get(ctx, rowKey(name))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return nil, fmt.Errorf("read lease %s: %w", name, err)
	}
	current, err := decode(row.Value)
	if err != nil {
		return nil, fmt.Errorf("lease %s: %w", name, err)
	}
	if remaining := m.remaining(name, current); remaining > 0 {
		return nil, &HeldError{Holder: current.Holder, Remaining: remaining}
	}
	lease := &Lease{manager: m, name: name, fence: current.Fence + 1, version: row.Version}
	if err := lease.write(ctx); err != nil {
		return nil, fmt.Errorf("acquire lease %s: %w", name, err)
	}
	m.forget(name)
	return lease, nil
}

// remaining returns how long the lease may still be valid for its holder.
func (m *Manager) remaining(name string, row *pb.LeaseRow) time.Duration {
	if row.Holder == "" {
		return 0
	}
	// The reading is taken after the row was read, hence after the holder's.
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, known := m.seen[name]
	if !known || seen.nonce != row.Nonce {
		seen = observation{nonce: row.Nonce, since: now}
		m.seen[name] = seen
	}
	duration := time.Duration(row.DurationMs) * time.Millisecond
	return seen.since.Add(duration + duration/driftDivisor).Sub(now)
}

func (m *Manager) forget(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.seen, name)
}

// Lease is a held lease. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	fence   int64

	writing sync.Mutex // held during a write, so that writes do not conflict

	mu      sync.Mutex
	version int64
	sent    time.Time
	lost    bool
}

// Fence returns the fencing number. It is higher than that of every earlier holder.
func (l *Lease) Fence() int64 { return l.fence }

// Valid reports whether the lease is held at now and for margin longer. now is
// a reading of time.Now of this process.
func (l *Lease) Valid(now time.Time, margin time.Duration) bool {
	return l.remaining(now) > margin
}

// remaining returns the time until the lease expires, 0 or less if it is not
// held. It takes the greater of the monotonic and the wall clock's advance:
// the monotonic clock stops while the machine is suspended.
func (l *Lease) remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	elapsed := max(now.Sub(l.sent), now.Round(0).Sub(l.sent.Round(0)))
	return l.manager.settings.Duration - elapsed
}

// Renew extends the lease. After ErrLost the lease is never valid again. After
// any other error it stays valid until its earlier end and may be renewed again.
func (l *Lease) Renew(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	if l.isLost() {
		return fmt.Errorf("%w: %s", ErrLost, l.name)
	}
	err := l.write(ctx)
	if !errors.Is(err, storage.ErrConflict) {
		return wrap("renew lease", l.name, err)
	}
	// An earlier renewal with a lost answer may have taken effect since.
	if err := l.adopt(ctx); err != nil {
		return wrap("renew lease", l.name, err)
	}
	return wrap("renew lease", l.name, l.write(ctx))
}

// Release gives the lease up. It is not valid afterwards, whatever the error;
// if the write fails, other instances wait until it expires.
func (l *Lease) Release(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	if l.isLost() {
		return nil
	}
	l.mu.Lock()
	l.lost = true
	version := l.version
	l.mu.Unlock()
	// The row stays, so that the next holder's fencing number grows.
	value, err := proto.Marshal(&pb.LeaseRow{Fence: l.fence, Nonce: rand.Text()})
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", l.name, err)
	}
	_, err = l.manager.table.Put(ctx, rowKey(l.name), value, version)
	return wrap("release lease", l.name, err)
}

// write stores the lease with a new nonce and counts its duration from before
// the write was sent. A lost answer counts only if the nonce is read back.
func (l *Lease) write(ctx context.Context) error {
	nonce := rand.Text()
	settings := l.manager.settings
	value, err := proto.Marshal(&pb.LeaseRow{
		Holder:      settings.Holder,
		Incarnation: settings.Incarnation,
		Fence:       l.fence,
		// Rounded up: observers must not wait less than the holder counts.
		DurationMs: (settings.Duration + time.Millisecond - 1).Milliseconds(),
		Nonce:      nonce,
	})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	sent := time.Now()
	row, err := l.manager.table.Put(ctx, rowKey(l.name), value, l.currentVersion())
	if errors.Is(err, storage.ErrUnknown) {
		row, err = l.readBack(ctx, nonce, err)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = row.Version
	l.sent = sent
	return nil
}

func (l *Lease) readBack(ctx context.Context, nonce string, unknown error) (storage.Row, error) {
	row, err := l.manager.table.Get(ctx, rowKey(l.name))
	if err != nil {
		return row, unknown
	}
	stored, err := decode(row.Value)
	if err != nil || stored.Nonce != nonce {
		return row, unknown
	}
	return row, nil
}

// adopt takes over the row's version if the row is this lease's, and marks the
// lease lost otherwise. The fencing number alone identifies the holder.
func (l *Lease) adopt(ctx context.Context) error {
	row, err := l.manager.table.Get(ctx, rowKey(l.name))
	if err != nil {
		return err
	}
	stored, err := decode(row.Value)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if stored.Fence != l.fence {
		l.lost = true
		return ErrLost
	}
	l.version = row.Version
	return nil
}

func (l *Lease) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *Lease) currentVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

func rowKey(name string) storage.Key {
	return storage.Key{Partition: partition, Sort: name}
}

func decode(value []byte) (*pb.LeaseRow, error) {
	row := &pb.LeaseRow{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, fmt.Errorf("decode row: %w", err)
	}
	return row, nil
}

func wrap(op, name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s %s: %w", op, name, err)
}
