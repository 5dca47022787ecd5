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

// RetrySettings limits the calls of a Retrying table. Fields that are 0 take the value
// of DefaultRetrySettings.
type RetrySettings struct {
	// Deadline bounds a call including all its attempts and read backs.
	Deadline time.Duration
	// AttemptTimeout bounds one attempt. It must be well below Deadline to leave time
	// for reading back.
	AttemptTimeout time.Duration
	// The wait before a retry is random below a limit that starts at BackoffMin and
	// doubles with each retry up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// RetriesPerSecond and RetryBurst set the retry budget of all calls together.
	RetriesPerSecond float64
	RetryBurst       int
	// WritesPerSecond and WriteBurst limit this instance's writes.
	WritesPerSecond float64
	WriteBurst      int
}

// DefaultRetrySettings returns settings for a fleet of about ten instances that share
// several hundred writes per second. Larger fleets need a lower WritesPerSecond.
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

// Stats holds counters since the start.
type Stats struct {
	// Reads and Writes count attempts sent to the table, retries included.
	Reads  int64
	Writes int64
	// Retries counts repeated attempts.
	Retries int64
	// ReadBacks counts lost responses resolved by reading the row back.
	ReadBacks int64
	// Unknown counts writes whose outcome stayed unknown.
	Unknown int64
}

// Retrying wraps a Table. It adds a deadline, retries with jitter under a budget and a
// write-rate limit, and resolves ErrUnknown by reading the row back. Values must
// contain a nonce of their writer. Only the last writer of a row may delete it, because
// a recreated row starts again at version 1.
type Retrying struct {
	table       Table
	settings    RetrySettings
	retryBudget *rate.Limiter
	writeLimit  *rate.Limiter

	reads, writes, retries, readBacks, unknown atomic.Int64
}

// NewRetrying wraps the table.
func NewRetrying(table Table, settings RetrySettings) *Retrying {
	settings = settings.withDefaults()
	return &Retrying{
		table:       table,
		settings:    settings,
		retryBudget: rate.NewLimiter(rate.Limit(settings.RetriesPerSecond), settings.RetryBurst),
		writeLimit:  rate.NewLimiter(rate.Limit(settings.WritesPerSecond), settings.WriteBurst),
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

// Put writes the row. A repeated attempt is safe, because its condition fails once an
// earlier attempt has taken effect. ErrUnknown means that the write took effect,
// may still take effect, or was overwritten by another writer.
func (s *Retrying) Put(ctx context.Context, key Key, value []byte, expect int64) (Row, error) {
	want := Row{Key: key, Version: expect + 1, Value: value}
	send := func(ctx context.Context) error {
		_, err := s.table.Put(ctx, key, value, expect)
		return err
	}
	classify := func(row Row, found bool) writeOutcome { return classifyPut(row, found, want) }
	if err := s.resolveWrite(ctx, key, send, classify); err != nil {
		return Row{}, err
	}
	return want, nil
}

// Delete removes the row. It is not sent again after a lost response: another writer
// may have recreated the row at the same version, and a second delete would remove
// that writer's row.
func (s *Retrying) Delete(ctx context.Context, key Key, expect int64) error {
	send := func(ctx context.Context) error { return s.table.Delete(ctx, key, expect) }
	return s.resolveWrite(ctx, key, send, classifyDelete)
}

// writeOutcome is the outcome of a write with a lost response, derived from the row
// that was read back.
type writeOutcome int

const (
	// writePending: no effect yet. The attempt may still take effect; sending again is safe.
	writePending writeOutcome = iota
	writeApplied
	// writeSuperseded: another write used the expected version. This write can no longer
	// take effect.
	writeSuperseded
	// writeAmbiguous: the row does not show whether the write took effect.
	writeAmbiguous
)

func classifyPut(row Row, found bool, want Row) writeOutcome {
	switch {
	case !found && want.Version == 1:
		return writePending
	case !found:
		return writeAmbiguous
	case row.Version == want.Version-1:
		return writePending
	case row.Version != want.Version:
		return writeAmbiguous
	case bytes.Equal(row.Value, want.Value):
		return writeApplied
	}
	return writeSuperseded
}

func classifyDelete(_ Row, found bool) writeOutcome {
	if found {
		return writeAmbiguous
	}
	return writeApplied
}

func (s *Retrying) resolveWrite(ctx context.Context, key Key, send func(context.Context) error, classify func(Row, bool) writeOutcome) error {
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
			switch s.readBack(ctx, key, classify) {
			case writeApplied:
				s.readBacks.Add(1)
				return nil
			case writeSuperseded:
				s.readBacks.Add(1)
				return fmt.Errorf("%w: read back after a lost answer", ErrConflict)
			case writeAmbiguous:
				return s.unknownOutcome(err)
			case writePending:
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
	if err := s.writeLimit.Wait(ctx); err != nil {
		return fmt.Errorf("%w: write-rate limit: %w", ErrUnavailable, err)
	}
	s.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout)
	defer cancel()
	err := send(ctx)
	classified := err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	if !classified {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

// readBack reads the row until a read succeeds or the retry budget or the deadline is
// exhausted. If no read succeeds, the outcome is ambiguous.
func (s *Retrying) readBack(ctx context.Context, key Key, classify func(Row, bool) writeOutcome) writeOutcome {
	for attempt := 0; ; attempt++ {
		row, err := readOnce(ctx, s, func(ctx context.Context) (Row, error) { return s.table.Get(ctx, key) })
		if err == nil {
			return classify(row, true)
		}
		if errors.Is(err, ErrNotFound) {
			return classify(Row{}, false)
		}
		if !s.backoff(ctx, attempt) {
			return writeAmbiguous
		}
	}
}

func (s *Retrying) unknownOutcome(err error) error {
	s.unknown.Add(1)
	if errors.Is(err, ErrUnknown) {
		return err
	}
	// Not wrapped, because the last error may be ErrConflict or ErrUnavailable, which
	// mean that nothing was written.
	return fmt.Errorf("%w: last attempt: %s", ErrUnknown, err.Error())
}

// backoff waits before the next attempt. It returns false if the retry budget is
// exhausted or the context ends.
func (s *Retrying) backoff(ctx context.Context, attempt int) bool {
	if ctx.Err() != nil || !s.retryBudget.Allow() {
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
