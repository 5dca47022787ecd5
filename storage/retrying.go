package storage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// RetrySettings bound the calls of a Retrying table. Zero fields take the
// value of DefaultSettledSettings.
type RetrySettings struct {
	// Deadline bounds a call with all its attempts and reads back.
	Deadline time.Duration
	// AttemptTimeout bounds one attempt. It is well below Deadline, so that time
	// is left to read back.
	AttemptTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait before a retry, drawn at random
	// below a limit that doubles with each retry.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// RetriesPerSecond and RetryBurst form the retry budget of all calls together.
	RetriesPerSecond float64
	RetryBurst       int
	// WritesPerSecond and WriteBurst limit this instance's writes.
	WritesPerSecond float64
	WriteBurst      int
}

// DefaultRetrySettings suit a fleet of about ten instances that shares
// several hundred writes a second. Larger fleets lower WritesPerSecond.
func DefaultRetrySettings() RetrySettings {
	return RetrySettings{
		Deadline:         2 * time.Second,
		AttemptTimeout:   400 * time.Millisecond,
		BackoffMin:       20 * time.Millisecond,
		BackoffMax:       500 * time.Millisecond,
		RetriesPerSecond: 5,
		RetryBurst:       20,
		WritesPerSecond:  40,
		WriteBurst:       40,
	}
}

func (s RetrySettings) withDefaults() RetrySettings {
	defaults := DefaultRetrySettings()
	setDefault(&s.Deadline, defaults.Deadline)
	setDefault(&s.AttemptTimeout, defaults.AttemptTimeout)
	setDefault(&s.BackoffMin, defaults.BackoffMin)
	setDefault(&s.BackoffMax, defaults.BackoffMax)
	setDefault(&s.RetriesPerSecond, defaults.RetriesPerSecond)
	setDefault(&s.RetryBurst, defaults.RetryBurst)
	setDefault(&s.WritesPerSecond, defaults.WritesPerSecond)
	setDefault(&s.WriteBurst, defaults.WriteBurst)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats are counts since the start.
type Stats struct {
	// Reads and Writes count attempts sent to the table, retries included.
	Reads  int64
	Writes int64
	// Retries counts repeated attempts.
	Retries int64
	// ReadBacks counts lost answers resolved by reading back.
	ReadBacks int64
	// Unknown counts writes whose outcome stayed unknown.
	Unknown int64
}

// Retrying wraps a Table. It adds a deadline, retries with jitter under a
// budget, a write-rate limit, and resolves ErrUnknown by reading the row back.
// Values must carry a nonce of their writer. Only the last writer of a row may
// delete it, because a recreated row starts again at version 1.
type Retrying struct {
	table    Table
	settings RetrySettings
	retry    *rate.Limiter
	write    *rate.Limiter

	reads, writes, retries, readBacks, unknown atomic.Int64
}

// NewRetrying wraps the table.
func NewRetrying(table Table, settings RetrySettings) *Retrying {
	settings = settings.withDefaults()
	return &Retrying{
		table:    table,
		settings: settings,
		retry:    rate.NewLimiter(rate.Limit(settings.RetriesPerSecond), settings.RetryBurst),
		write:    rate.NewLimiter(rate.Limit(settings.WritesPerSecond), settings.WriteBurst),
	}
}

// Stats returns the counters.
func (s *Retrying) Stats() Stats {
	return Stats{
		Reads:     s.reads.Load(),
		Writes:    s.writes.Load(),
		Retries:   s.retries.Load(),
		ReadBacks: s.readBacks.Load(),
		Unknown:   s.unknown.Load(),
	}
}

// Get returns the row, ErrNotFound or ErrUnavailable.
func (s *Retrying) Get(ctx context.Context, key Key) (Row, error) {
	return readRetrying(ctx, s, func(ctx context.Context) (Row, error) { return s.table.Get(ctx, key) })
}

// List returns the rows of the partition or ErrUnavailable.
func (s *Retrying) List(ctx context.Context, partition string) ([]Row, error) {
	return readRetrying(ctx, s, func(ctx context.Context) ([]Row, error) { return s.table.List(ctx, partition) })
}

func readRetrying[T any](ctx context.Context, s *Retrying, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Deadline)
	defer cancel()
	for attempt := 0; ; attempt++ {
		result, err := readOnce(ctx, s, read)
		if err == nil || errors.Is(err, ErrNotFound) {
			return result, err
		}
		if !s.backoff(ctx, attempt) {
			if !errors.Is(err, ErrUnavailable) {
				err = fmt.Errorf("%w: %w", ErrUnavailable, err)
			}
			return result, err
		}
	}
}

func readOnce[T any](ctx context.Context, s *Retrying, read func(context.Context) (T, error)) (T, error) {
	s.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout)
	defer cancel()
	return read(ctx)
}

// Put writes the row. A repeated attempt is safe, because its condition fails
// once an earlier attempt took effect. ErrUnknown: the write took effect, may
// still take effect, or was followed by another writer's.
func (s *Retrying) Put(ctx context.Context, key Key, value []byte, expect int64) (Row, error) {
	want := Row{Key: key, Version: expect + 1, Value: value}
	send := func(ctx context.Context) error {
		_, err := s.table.Put(ctx, key, value, expect)
		return err
	}
	judge := func(row Row, found bool) verdict { return judgePut(row, found, want) }
	if err := s.resolveWrite(ctx, key, send, judge); err != nil {
		return Row{}, err
	}
	return want, nil
}

// Delete removes the row. It is not sent again after a lost answer: another
// writer may have recreated the row at the same version, and a second delete
// would remove that writer's row.
func (s *Retrying) Delete(ctx context.Context, key Key, expect int64) error {
	send := func(ctx context.Context) error { return s.table.Delete(ctx, key, expect) }
	return s.resolveWrite(ctx, key, send, judgeDelete)
}

// verdict is what a row read back says about a write whose answer was lost.
type verdict int

const (
	// verdictPending: no effect yet; the attempt may still arrive, and sending again is safe.
	verdictPending verdict = iota
	verdictApplied
	// verdictSuperseded: another write used the expected version, so ours never takes effect.
	verdictSuperseded
	// verdictAmbiguous: the row does not tell.
	verdictAmbiguous
)

func judgePut(row Row, found bool, want Row) verdict {
	switch {
	case !found && want.Version == 1:
		return verdictPending
	case !found:
		return verdictAmbiguous
	case row.Version == want.Version-1:
		return verdictPending
	case row.Version != want.Version:
		return verdictAmbiguous
	case bytes.Equal(row.Value, want.Value):
		return verdictApplied
	}
	return verdictSuperseded
}

func judgeDelete(_ Row, found bool) verdict {
	if found {
		return verdictAmbiguous
	}
	return verdictApplied
}

func (s *Retrying) resolveWrite(ctx context.Context, key Key, send func(context.Context) error, judge func(Row, bool) verdict) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Deadline)
	defer cancel()
	lost := false
	for attempt := 0; ; attempt++ {
		err := s.sendOnce(ctx, send)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrConflict) && !lost {
			return err
		}
		lost = lost || errors.Is(err, ErrUnknown)
		if lost {
			switch s.readBack(ctx, key, judge) {
			case verdictApplied:
				s.readBacks.Add(1)
				return nil
			case verdictSuperseded:
				s.readBacks.Add(1)
				return fmt.Errorf("%w: read back after a lost answer", ErrConflict)
			case verdictAmbiguous:
				return s.unknownOutcome(err)
			case verdictPending:
			}
		}
		if !s.backoff(ctx, attempt) {
			if lost {
				return s.unknownOutcome(err)
			}
			return err
		}
	}
}

// sendOnce makes one attempt and returns nil, ErrConflict, ErrUnavailable or ErrUnknown.
func (s *Retrying) sendOnce(ctx context.Context, send func(context.Context) error) error {
	if err := s.write.Wait(ctx); err != nil {
		return fmt.Errorf("%w: write-rate limit: %w", ErrUnavailable, err)
	}
	s.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout)
	defer cancel()
	err := send(ctx)
	known := err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	if !known {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

// readBack reads until the row answers or the retry budget or deadline ends.
// An unreadable row is ambiguous.
func (s *Retrying) readBack(ctx context.Context, key Key, judge func(Row, bool) verdict) verdict {
	for attempt := 0; ; attempt++ {
		row, err := readOnce(ctx, s, func(ctx context.Context) (Row, error) { return s.table.Get(ctx, key) })
		if err == nil {
			return judge(row, true)
		}
		if errors.Is(err, ErrNotFound) {
			return judge(Row{}, false)
		}
		if !s.backoff(ctx, attempt) {
			return verdictAmbiguous
		}
	}
}

func (s *Retrying) unknownOutcome(err error) error {
	s.unknown.Add(1)
	if errors.Is(err, ErrUnknown) {
		return err
	}
	// The last error may be ErrConflict or ErrUnavailable, which would claim
	// that nothing was written, so it is not wrapped.
	return fmt.Errorf("%w: last attempt: %s", ErrUnknown, err.Error())
}

// backoff waits before the next attempt. It returns false when the budget is
// used up or the context ends.
func (s *Retrying) backoff(ctx context.Context, attempt int) bool {
	if ctx.Err() != nil || !s.retry.Allow() {
		return false
	}
	limit := s.settings.BackoffMax
	if attempt < 16 {
		limit = min(limit, s.settings.BackoffMin<<attempt)
	}
	timer := time.NewTimer(rand.N(limit) + 1)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		s.retries.Add(1)
		return true
	}
}
