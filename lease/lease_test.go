package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/lease"
	"github.com/basilloom/basilloom/storage"
)

const (
	name     = "controller"
	duration = 9 * time.Second
)

func manager(table storage.Table, holder string) *lease.Manager {
	return lease.NewManager(table, lease.Settings{Holder: holder, Incarnation: 1, Duration: duration})
}

// acquireEventually polls until it acquires the lease and returns the time it took.
func acquireEventually(t *testing.T, m *lease.Manager) (*lease.Lease, time.Duration) {
	start := time.Now()
	for {
		l, err := m.Acquire(t.Context(), name)
		if err == nil {
			return l, time.Since(start)
		}
		require.ErrorIs(t, err, lease.ErrHeld)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against two holders with the same fencing token after a release, an expiry
// or a restart of the same instance.
func TestFenceIncreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		first, _ := acquireEventually(t, manager(table, "a"))
		require.EqualValues(t, 1, first.Fence())
		require.NoError(t, first.Release(t.Context()))
		require.False(t, first.Valid(time.Now(), 0))
		second, waited := acquireEventually(t, manager(table, "a"))
		require.Zero(t, waited, "a released lease is free immediately")
		require.EqualValues(t, 2, second.Fence())
		third, waited := acquireEventually(t, manager(table, "a"))
		require.GreaterOrEqual(t, waited, duration)
		require.EqualValues(t, 3, third.Fence())
	})
}

// Guards against acquiring a lease that is being renewed, and against an observer
// that measures from its first read instead of the last renewal.
func TestObserverWaitsFromLastChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		held, err := manager(table, "a").Acquire(t.Context(), name)
		require.NoError(t, err)
		observer := manager(table, "b")
		for range 5 {
			_, err := observer.Acquire(t.Context(), name)
			require.ErrorIs(t, err, lease.ErrHeld)
			time.Sleep(duration * 2 / 3)
			require.NoError(t, held.Renew(t.Context()))
		}
		_, waited := acquireEventually(t, observer)
		require.GreaterOrEqual(t, waited, duration)
		require.Less(t, waited, duration+duration/10)
	})
}

// Guards against a holder that acts after a pause longer than its lease, and against
// ignoring the margin.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		paused, _ := acquireEventually(t, manager(table, "a"))
		require.True(t, paused.Valid(time.Now(), duration-1))
		require.False(t, paused.Valid(time.Now(), duration))
		successor, _ := acquireEventually(t, manager(table, "b"))
		require.False(t, paused.Valid(time.Now(), 0))
		require.True(t, successor.Valid(time.Now(), 0))
		require.ErrorIs(t, paused.Release(t.Context()), storage.ErrConflict)
		require.NoError(t, successor.Renew(t.Context()), "a late release must not end the successor's lease")
		_, _ = acquireEventually(t, manager(table, "c"))
		require.ErrorIs(t, successor.Renew(t.Context()), lease.ErrLost)
		require.False(t, successor.Valid(time.Now(), 0))
	})
}

// Guards against measuring the duration from the response instead of the request.
func TestDurationCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{LatencyMillis: 4000})
		held, _ := acquireEventually(t, manager(table, "a"))
		require.True(t, held.Valid(time.Now(), duration-4*time.Second-1))
		require.False(t, held.Valid(time.Now(), duration-4*time.Second))
	})
}

// Guards against counting a renewal whose response was lost and that was not read
// back, and against a holder that cannot renew after such a renewal took effect.
func TestRenewalWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		held, _ := acquireEventually(t, manager(table, "a"))
		time.Sleep(duration / 2)
		table.Faults.Set(fault.Settings{LoseNext: 1})
		require.NoError(t, held.Renew(t.Context()), "read back")
		require.True(t, held.Valid(time.Now(), duration-1))

		time.Sleep(duration / 2)
		table.Faults.Set(fault.Settings{LoseNext: 1, ReadsPerSecond: 1e-9})
		_, _ = table.Get(t.Context(), storage.Key{}) // uses the only read of the limit
		require.ErrorIs(t, held.Renew(t.Context()), storage.ErrUnknown)
		require.False(t, held.Valid(time.Now(), duration/2))

		table.Faults.Set(fault.Settings{})
		require.NoError(t, held.Renew(t.Context()))
		require.True(t, held.Valid(time.Now(), duration-1))
	})
}

// Guards against a callback that keeps running after its lease ended in an outage,
// and against not acquiring the lease again after the outage.
func TestRunCancelsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		ctx, cancel := context.WithCancel(t.Context())
		var fences []int64
		var stopped time.Duration
		start := time.Now()
		go func() {
			time.Sleep(2 * duration)
			table.Faults.Set(fault.Settings{Outage: true})
			time.Sleep(2 * duration)
			table.Faults.Set(fault.Settings{})
		}()
		err := manager(table, "a").Run(ctx, name, func(ctx context.Context, l *lease.Lease) {
			fences = append(fences, l.Fence())
			if len(fences) == 2 {
				cancel()
			}
			<-ctx.Done()
			if stopped == 0 {
				stopped = time.Since(start)
				require.False(t, l.Valid(time.Now(), 0))
			}
		})
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, []int64{1, 2}, fences)
		require.Greater(t, stopped, 2*duration)
		require.LessOrEqual(t, stopped, 3*duration)
	})
}

// Guards against losing a lease in an outage that ends before the last renewal
// attempt.
func TestRunSurvivesShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		go func() {
			time.Sleep(duration / 4)
			table.Faults.Set(fault.Settings{Outage: true})
			// Ends at 7.65 s; the last attempt before the lease ends is at 8.25 s.
			time.Sleep(duration * 3 / 5)
			table.Faults.Set(fault.Settings{})
		}()
		require.NoError(t, manager(table, "a").Run(t.Context(), name, func(ctx context.Context, l *lease.Lease) {
			require.EqualValues(t, 1, l.Fence())
			_ = sleepFor(ctx, 3*duration)
			require.NoError(t, ctx.Err())
		}))
	})
}

func sleepFor(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Guards against more reads and writes than planned. Logs the number per hour for a
// holder and an observer.
func TestCostOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(fault.Settings{})
		holder := storage.NewRetrying(table, storage.RetrySettings{})
		observer := storage.NewRetrying(table, storage.RetrySettings{})
		// Ends between two renewals, so no write is aborted.
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour-time.Second)
		defer cancel()
		go func() {
			time.Sleep(time.Second)
			_ = lease.NewManager(observer, lease.Settings{Holder: "b"}).Run(ctx, name, func(ctx context.Context, _ *lease.Lease) { <-ctx.Done() })
		}()
		_ = lease.NewManager(holder, lease.Settings{Holder: "a"}).Run(ctx, name, func(ctx context.Context, _ *lease.Lease) { <-ctx.Done() })
		synctest.Wait()
		t.Logf("holder %+v, observer %+v", holder.Stats(), observer.Stats())
		require.Equal(t, storage.Stats{Reads: 1, Writes: 721}, holder.Stats())
		require.LessOrEqual(t, observer.Stats().Reads, int64(721))
	})
}
