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

// hookTable runs a function after each write and returns its error.
type hookTable struct {
	storage.Table
	after func(err error) error
}

func (h hookTable) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	row, err := h.Table.Put(ctx, key, value, expect)
	return row, h.after(err)
}

func (h hookTable) Delete(ctx context.Context, key storage.Key, expect int64) error {
	return h.after(h.Table.Delete(ctx, key, expect))
}

// Guards against a lost response that is reported as a failure or causes a second write.
func TestRetryingResolvesLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{LoseNext: 1})
		retrying := storage.NewRetrying(inner, storage.RetrySettings{})
		row, err := retrying.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.NoError(t, err)
		require.EqualValues(t, 1, row.Version)
		require.Equal(t, storage.Stats{Reads: 1, Writes: 1, ReadBacks: 1}, retrying.Stats())
		inner.Faults.Set(fault.Settings{LoseNext: 1})
		require.NoError(t, retrying.Delete(t.Context(), testKey, 1))
	})
}

// Guards against reporting success to two operators who write the same row, if the
// response to the second was lost.
func TestRetryingReportsConflictAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		_, err := inner.Put(t.Context(), testKey, []byte("nonce-b"), 0)
		require.NoError(t, err)
		lostResponses := hookTable{inner, func(error) error { return storage.ErrUnknown }}
		_, err = storage.NewRetrying(lostResponses, storage.RetrySettings{}).Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrConflict)
	})
}

// Guards against reporting a write as not written that another writer overwrote.
func TestRetryingOverwrittenIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		lostResponses := hookTable{inner, func(error) error {
			_, err := inner.Put(context.Background(), testKey, []byte("nonce-b"), 1)
			require.NoError(t, err)
			return storage.ErrUnknown
		}}
		_, err := storage.NewRetrying(lostResponses, storage.RetrySettings{}).Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrUnknown)
	})
}

// Guards against a repeated delete that removes the row of another writer who
// recreated it at version 1. The call of a claim removed in this way would run twice.
func TestRetryingDeleteKeepsRecreatedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		_, err := inner.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.NoError(t, err)
		deletes := 0
		lostResponses := hookTable{inner, func(err error) error {
			require.NoError(t, err)
			if deletes++; deletes == 1 {
				_, err = inner.Put(context.Background(), testKey, []byte("nonce-b"), 0)
				require.NoError(t, err)
			}
			return storage.ErrUnknown
		}}
		err = storage.NewRetrying(lostResponses, storage.RetrySettings{}).Delete(t.Context(), testKey, 1)
		require.ErrorIs(t, err, storage.ErrUnknown)
		row, err := inner.Get(t.Context(), testKey)
		require.NoError(t, err)
		require.Equal(t, "nonce-b", string(row.Value))
	})
}

// Guards against calls that do not return in an outage, and against reporting a write
// as not written if its response was lost before an outage.
func TestRetryingOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{Outage: true})
		retrying := storage.NewRetrying(inner, storage.RetrySettings{})
		start := time.Now()
		_, err := retrying.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrUnavailable)
		require.NotErrorIs(t, err, storage.ErrUnknown)
		require.LessOrEqual(t, time.Since(start), 2*time.Second)

		inner.Faults.Set(fault.Settings{})
		outageAfterWrite := hookTable{inner, func(error) error {
			inner.Faults.Set(fault.Settings{Outage: true})
			return storage.ErrUnknown
		}}
		retrying = storage.NewRetrying(outageAfterWrite, storage.RetrySettings{})
		_, err = retrying.Put(t.Context(), testKey, []byte("nonce-a"), 0)
		require.ErrorIs(t, err, storage.ErrUnknown)
		require.NotErrorIs(t, err, storage.ErrUnavailable)
		require.EqualValues(t, 1, retrying.Stats().Unknown)
	})
}

// Guards against a retry storm: the calls of an outage share one retry budget.
func TestRetryingBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		retrying := storage.NewRetrying(memtable.New(fault.Settings{Outage: true}), storage.RetrySettings{RetryBurst: 3, RetriesPerSecond: 0.001})
		for range 50 {
			_, err := retrying.Get(t.Context(), testKey)
			require.ErrorIs(t, err, storage.ErrUnavailable)
		}
		require.Equal(t, storage.Stats{Reads: 53, Retries: 3}, retrying.Stats())
	})
}

// Guards against an instance that exceeds its write-rate limit.
func TestRetryingWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memtable.New(fault.Settings{})
		retrying := storage.NewRetrying(inner, storage.RetrySettings{WritesPerSecond: 10, WriteBurst: 1})
		start := time.Now()
		for version := range int64(11) {
			_, err := retrying.Put(t.Context(), testKey, []byte("v"), version)
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, time.Since(start), 990*time.Millisecond)
	})
}
