package claims_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/internal/standin/table"
	"github.com/basilloom/basilloom/storage"
)

const timeout = 10 * time.Second

func request(key string) claims.Request {
	return claims.Request{
		Key:         claims.Key{Workspace: "w", Route: "/bookings", Caller: key},
		Fingerprint: 7,
		Timeout:     timeout,
	}
}

func newStore(faults fault.Settings) (*memtable.Table, *storage.Retrying, *claims.Store) {
	table := memtable.New(faults)
	retrying := storage.NewRetrying(table, storage.RetrySettings{})
	return table, retrying, claims.NewStore(retrying, "i-1")
}

func requireOutcome(t *testing.T, store *claims.Store, r claims.Request, want claims.Outcome) claims.BeginResult {
	t.Helper()
	begun, _ := store.Begin(t.Context(), r)
	require.Equal(t, want.String(), begun.Outcome.String())
	return begun
}

// Guards against a call that runs twice or gets the response of another call. Each
// state of a claim has exactly one outcome. Logs reads and writes.
func TestBeginOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, retrying, store := newStore(fault.Settings{})
		begun := requireOutcome(t, store, request("k"), claims.Acquired)
		requireOutcome(t, store, request("k"), claims.InProgress)
		time.Sleep(timeout)
		requireOutcome(t, store, request("k"), claims.Unknown)
		result := claims.Result{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
		require.NoError(t, store.Finish(t.Context(), begun.Claim, result))
		require.Equal(t, result, requireOutcome(t, store, request("k"), claims.Stored).Result)
		other := request("k")
		other.Fingerprint = 8
		requireOutcome(t, store, other, claims.KeyReused)
		t.Logf("one claim and 4 repeats: %+v", retrying.Stats())

		begun = requireOutcome(t, store, request("marked"), claims.Acquired)
		require.NoError(t, store.MarkUnknown(t.Context(), begun.Claim))
		requireOutcome(t, store, request("marked"), claims.Unknown)

		begun = requireOutcome(t, store, request("abandoned"), claims.Acquired)
		require.NoError(t, store.Abandon(t.Context(), begun.Claim))
		requireOutcome(t, store, request("abandoned"), claims.Acquired)
	})
}

// Guards against a large response that is replayed without its body.
func TestLargeResultIsUnknown(t *testing.T) {
	_, _, store := newStore(fault.Settings{})
	begun := requireOutcome(t, store, request("k"), claims.Acquired)
	result := claims.Result{Status: 200, Body: bytes.Repeat([]byte("x"), claims.MaxBodyBytes+1)}
	require.ErrorIs(t, store.Finish(t.Context(), begun.Claim, result), claims.ErrResultTooLarge)
	requireOutcome(t, store, request("k"), claims.Unknown)
}

// Guards against keys that the service refuses, and against a workspace and route
// that form the key of another workspace.
func TestKeys(t *testing.T) {
	_, _, store := newStore(fault.Settings{})
	for _, key := range []string{"", string(make([]byte, claims.MaxKeyBytes+1))} {
		_, err := store.Begin(t.Context(), request(key))
		require.ErrorIs(t, err, claims.ErrInvalidKey)
	}
	first, second := request("k"), request("k")
	first.Key.Workspace, first.Key.Route = "a/b", "c"
	second.Key.Workspace, second.Key.Route = "a", "b/c"
	requireOutcome(t, store, first, claims.Acquired)
	requireOutcome(t, store, second, claims.Acquired)
}

// Guards against lost responses and outages during Begin, Finish and Abandon that
// make a call run twice or refuse a claim to its holder.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _, store := newStore(fault.Settings{LoseNext: 1})
		begun := requireOutcome(t, store, request("k"), claims.Acquired)
		table.Faults.Set(fault.Settings{Outage: true})
		requireOutcome(t, store, request("other"), claims.Refused)
		result := claims.Result{Status: 200, Body: []byte("ok")}
		require.ErrorIs(t, store.Finish(t.Context(), begun.Claim, result), storage.ErrUnavailable)
		require.Error(t, store.Abandon(t.Context(), begun.Claim))
		table.Faults.Set(fault.Settings{LoseNext: 1})
		requireOutcome(t, store, request("k"), claims.InProgress)
		require.NoError(t, store.Finish(t.Context(), begun.Claim, result))
		requireOutcome(t, store, request("k"), claims.Stored)
	})
}

// Guards against a Finish that fails permanently after a lost response and a failed
// read back, and against the outcome Refused although another call holds the claim.
func TestUnresolvedWrites(t *testing.T) {
	table := memtable.New(fault.Settings{})
	store := claims.NewStore(table, "i-1")
	begun := requireOutcome(t, store, request("k"), claims.Acquired)
	table.Faults.Set(fault.Settings{LoseNext: 1, ReadsPerSecond: 1e-9})
	_, _ = table.Get(t.Context(), storage.Key{}) // uses the only read of the limit
	require.ErrorIs(t, store.Finish(t.Context(), begun.Claim, claims.Result{Status: 200}), storage.ErrUnknown)
	table.Faults.Set(fault.Settings{})
	require.NoError(t, store.Finish(t.Context(), begun.Claim, claims.Result{Status: 200}))

	other := claims.NewStore(lostResponseTable{table}, "i-2")
	requireOutcome(t, other, request("k"), claims.Stored)
}

// lostResponseTable forwards writes and always returns ErrUnknown.
type lostResponseTable struct{ storage.Table }

func (l lostResponseTable) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	_, _ = l.Table.Put(ctx, key, value, expect)
	return storage.Row{}, storage.ErrUnknown
}

// Guards against two entries that both dispatch a call with the same key, under races,
// outages, slow calls, lost responses and abandoned claims.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(0, 300), 2, 12).Draw(rt, "pauses")
		abandon := rapid.SliceOfN(rapid.Bool(), len(pauses), len(pauses)).Draw(rt, "abandon")
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault.Settings {
			return fault.Settings{
				Outage:          rapid.IntRange(0, 5).Draw(t, "outage") == 5,
				LatencyMillis:   rapid.SampledFrom([]int64{0, 10, 300, 900}).Draw(t, "latency"),
				LoseProbability: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
			}
		}), 0, 10).Draw(rt, "faults")
		var dispatched atomic.Int32
		synctest.Test(t, func(t *testing.T) {
			table := memtable.New(fault.Settings{})
			var entries sync.WaitGroup
			for i, pause := range pauses {
				entries.Go(func() {
					time.Sleep(time.Duration(pause) * time.Millisecond)
					retrying := storage.NewRetrying(table, storage.RetrySettings{})
					store := claims.NewStore(retrying, fmt.Sprint(i))
					begun, _ := store.Begin(t.Context(), request("k"))
					if begun.Outcome != claims.Acquired {
						return
					}
					if abandon[i] {
						_ = store.Abandon(t.Context(), begun.Claim)
						return
					}
					dispatched.Add(1)
					_ = store.Finish(t.Context(), begun.Claim, claims.Result{Status: 200})
				})
			}
			for _, f := range faults {
				table.Faults.Set(f)
				time.Sleep(100 * time.Millisecond)
			}
			table.Faults.Set(fault.Settings{})
			entries.Wait()
		})
		if n := dispatched.Load(); n > 1 {
			rt.Fatalf("dispatched %d times", n)
		}
	})
}

// Guards against a lost HTTP response that makes the DynamoDB adapter and the store
// refuse or repeat a claim.
func TestLostResponsesOverHTTP(t *testing.T) {
	service := table.New("rows", fault.Settings{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	settings := storage.ServiceSettings{Endpoint: server.URL, Region: "local", AccessKey: "a", SecretKey: "s"}
	store := claims.NewStore(storage.NewRetrying(storage.NewDynamoDB(settings, "rows"), storage.RetrySettings{}), "i-1")
	service.Table.Faults.Set(fault.Settings{LoseNext: 1})
	begun := requireOutcome(t, store, request("k"), claims.Acquired)
	service.Table.Faults.Set(fault.Settings{LoseNext: 1})
	result := claims.Result{Status: 200, ContentType: "text/plain", Body: bytes.Repeat([]byte("x"), claims.MaxBodyBytes)}
	require.NoError(t, store.Finish(t.Context(), begun.Claim, result))
	require.Equal(t, result, requireOutcome(t, store, request("k"), claims.Stored).Result)
}

// Measures one claim (Begin and Finish) on the in-memory table.
func BenchmarkClaim(b *testing.B) {
	table := memtable.New(fault.Settings{Unlimited: true})
	retrying := storage.NewRetrying(table, storage.RetrySettings{WritesPerSecond: 1e9, WriteBurst: 1 << 30})
	store := claims.NewStore(retrying, "i-1")
	result := claims.Result{Status: 200, ContentType: "application/json", Body: bytes.Repeat([]byte("x"), 512)}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		begun, err := store.Begin(b.Context(), request(fmt.Sprint(n)))
		require.NoError(b, err)
		require.NoError(b, store.Finish(b.Context(), begun.Claim, result))
	}
	stats := retrying.Stats()
	b.ReportMetric(float64(stats.Writes)/float64(n), "writes/op")
	b.ReportMetric(float64(stats.Reads)/float64(n), "reads/op")
}
