package storage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/storage"
)

// hooked runs a function after each write and returns its error.
type hooked struct {
	storage.Table
	after func(err error) error
}

func (h hooked) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	row, err := h.Table.Put(ctx, key, value, expect)
	return row, h.after(err)
}

func (h hooked) Delete(ctx context.Context, key storage.Key, expect int64) error {
	return h.after(h.Table.Delete(ctx, key, expect))
}

// Guards against a lost answer that is reported as a failure or written twice.
func TestSettledResolvesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{LoseNext: 1})
		settled := storage.NewRetrying(inner, storage.RetrySettings{})
		row, err := settled.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.NoError(t, err)
		require.EqualValues(t, 1, row.Version)
		require.Equal(t, storage.Stats{Reads: 1, Writes: 1, ReadBacks: 1}, settled.Stats())
		inner.Faults.Set(fault.Settings{LoseNext: 1})
		require.NoError(t, settled.Delete(t.Context(), testKey, 1))
	})
}

// Guards against two operators who both believe that they won the same row,
// when the loser's answer was lost.
func TestSettledLosesRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		_, err := inner.Put(t.Context(), testKey, []byte("nonce-b"), 0)
		require.NoError(t, err)
		lossy := hooked{inner, func(error) error { return storage.ErrUnknown }}
		_, err = storage.NewRetrying(lossy, storage.RetrySettings{}).Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrConflict)
	})
}

// Guards against "not written" for a write that another writer has followed.
func TestSettledOverwrittenIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		lossy := hooked{inner, func(error) error {
			_, err := inner.Put(context.Background(), testKey, []byte("nonce-b"), 1)
			require.NoError(t, err)
			return storage.ErrUnknown
		}}
		_, err := storage.NewRetrying(lossy, storage.RetrySettings{}).Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrUnknown)
	})
}

// Guards against a repeated delete that removes the row of another writer, who
// recreated it at version 1. A claim removed in this way would run twice.
func TestSettledDeleteSparesRecreatedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		_, err := inner.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.NoError(t, err)
		deletes := 0
		lossy := hooked{inner, func(err error) error {
			require.NoError(t, err)
			if deletes++; deletes == 1 {
				_, err = inner.Put(context.Background(), testKey, []byte("nonce-b"), 0)
				require.NoError(t, err)
			}
			return storage.ErrUnknown
		}}
		err = storage.NewRetrying(lossy, storage.RetrySettings{}).Delete(t.Context(), testKey, 1)
		require.ErrorIs(t, err, storage.ErrUnknown)
		row, err := inner.Get(t.Context(), testKey)
		require.NoError(t, err)
		require.Equal(t, "nonce-b", string(row.Value))
	})
}

// Guards against calls without an end in an outage, and against a lost answer
// followed by an outage that is reported as not written.
func TestSettledOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{Outage: true})
		settled := storage.NewRetrying(inner, storage.RetrySettings{})
		start := time.Now()
		_, err := settled.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrUnavailable)
		require.NotErrorIs(t, err, storage.ErrUnknown)
		require.LessOrEqual(t, time.Since(start), 2*time.Second)

		inner.Faults.Set(fault.Settings{})
		broken := hooked{inner, func(error) error {
			inner.Faults.Set(fault.Settings{Outage: true})
			return storage.ErrUnknown
		}}
		settled = storage.NewRetrying(broken, storage.RetrySettings{})
		_, err = settled.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrUnknown)
		require.NotErrorIs(t, err, storage.ErrUnavailable)
		require.EqualValues(t, 1, settled.Stats().Unknown)
	})
}

// Guards against a retry storm: the calls of an outage share one retry budget.
func TestSettledRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settled := storage.NewRetrying(memtable.New(fault.Settings{Outage: true}), storage.RetrySettings{RetryBurst: 3, RetriesPerSecond: 0.001})
		for range 50 {
			_, err := settled.Get(t.Context(), testKey)
			require.ErrorIs(t, err, storage.ErrUnavailable)
		}
		require.Equal(t, storage.Stats{Reads: 53, Retries: 3}, settled.Stats())
	})
}

// Guards against an instance that takes more than its share of the writes.
func TestSettledWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		settled := storage.NewRetrying(inner, storage.RetrySettings{WritesPerSecond: 10, WriteBurst: 1})
		start := time.Now()
		for version := range int64(11) {
			_, err := settled.Put(t.Context(), testKey, []byte("v"), version)
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, time.Since(start), 990*time.Millisecond)
	})
}
