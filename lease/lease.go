// Package lease implements named leases with fencing tokens on the platform's table
// service. It does not need synchronized clocks: a holder measures the duration
// from before it sent its write, and an observer from when it saw the change.
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
	// Remaining is the time until the lease expires unless it is renewed.
	Remaining time.Duration
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("%v: %s, at most %v remaining", ErrHeld, e.Holder, e.Remaining)
}

// Is reports whether target is ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

const (
	partition = "lease"
	// DefaultDuration leads to 720 writes per hour by the holder.
	DefaultDuration = 15 * time.Second
	// renewalsPerDuration allows two more attempts after a failed renewal.
	renewalsPerDuration = 3
	// driftDivisor adds 1% to an observer's wait, far more than the rates of two
	// quartz clocks differ.
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

	mu           sync.Mutex
	observations map[string]observation
}

// observation records when this instance first read the current nonce of another
// holder's lease.
type observation struct {
	nonce string
	since time.Time
}

// NewManager returns a manager on the table, usually a storage.Retrying.
func NewManager(table storage.Table, settings Settings) *Manager {
	if settings.Duration == 0 {
		settings.Duration = DefaultDuration
	}
	return &Manager{table: table, settings: settings, observations: map[string]observation{}}
}

// Acquire acquires the lease if it is free or has expired by this instance's own
// clock. Otherwise it returns a HeldError. Expiry is detected only by repeated calls.
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
	m.clearObservation(name)
	return lease, nil
}

// remaining returns how much longer the lease may be valid for its holder.
func (m *Manager) remaining(name string, row *pb.LeaseRow) time.Duration {
	if row.Holder == "" {
		return 0
	}
	// now is taken after the row was read, so it is later than the start of the holder's
	// duration.
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	last, known := m.observations[name]
	if !known || last.nonce != row.Nonce {
		last = observation{nonce: row.Nonce, since: now}
		m.observations[name] = last
	}
	duration := time.Duration(row.DurationMs) * time.Millisecond
	return last.since.Add(duration + duration/driftDivisor).Sub(now)
}

func (m *Manager) clearObservation(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.observations, name)
}

// Lease is a held lease. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	fence   int64

	writing sync.Mutex // held during a write to prevent conflicts between own writes

	mu      sync.Mutex
	version int64
	sent    time.Time
	lost    bool
}

// Fence returns the fencing token. It is higher than that of every earlier holder.
func (l *Lease) Fence() int64 { return l.fence }

// Valid reports whether the lease is held at now and for margin longer. now must
// come from time.Now of this process.
func (l *Lease) Valid(now time.Time, margin time.Duration) bool {
	return l.remaining(now) > margin
}

// remaining returns the time until the lease expires, 0 or less if it is not held.
// It uses the larger of the elapsed monotonic and wall-clock time, because the
// monotonic clock stops while the machine is suspended.
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
		return wrapError("renew lease", l.name, err)
	}
	// An earlier renewal whose response was lost may have taken effect.
	if err := l.refreshVersion(ctx); err != nil {
		return wrapError("renew lease", l.name, err)
	}
	return wrapError("renew lease", l.name, l.write(ctx))
}

// Release releases the lease. The lease is not valid afterwards, even if an error is
// returned. If the write fails, other instances wait until the lease expires.
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
	// The row is kept, because the next holder increments its fencing token.
	value, err := proto.Marshal(&pb.LeaseRow{Fence: l.fence, Nonce: rand.Text()})
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", l.name, err)
	}
	_, err = l.manager.table.Put(ctx, rowKey(l.name), value, version)
	return wrapError("release lease", l.name, err)
}

// write stores the lease with a new nonce. The duration starts before the write is
// sent. If the response is lost, the write counts only if the nonce is read back.
func (l *Lease) write(ctx context.Context) error {
	nonce := rand.Text()
	settings := l.manager.settings
	value, err := proto.Marshal(&pb.LeaseRow{
		Holder:      settings.Holder,
		Incarnation: settings.Incarnation,
		Fence:       l.fence,
		// The duration is rounded up, because observers must not wait for less than the
		// holder's duration.
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

// refreshVersion reads the row's version if the row belongs to this lease, and marks
// the lease lost otherwise. The fencing token alone identifies the holder.
func (l *Lease) refreshVersion(ctx context.Context) error {
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

func wrapError(op, name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s %s: %w", op, name, err)
}
