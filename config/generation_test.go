package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

func testStore(fake *fakeStore) *Store {
	return NewStore(fake, fakeObjects{fake}, func() time.Time { return testNow })
}

func competingRow(generation int64) []byte {
	value, _ := proto.Marshal(&basilloomv1.GenerationRow{Generation: generation, Hash: "h", ApplyId: "other",
		Operator: "bea", Accepted: timestamppb.New(testNow)})
	return value
}

// Guards against a lost response or a lost race whose reported outcome contradicts
// the row, and against a second generation for one apply.
func TestApplyResolvesLostResponses(t *testing.T) {
	competing := &ConflictError{Expected: 0, Generation: 1, Operator: "bea", Accepted: testNow}
	laterApply := &ConflictError{Expected: 0, Generation: 2, Operator: "bea", Accepted: testNow, MayHaveApplied: true}
	cases := []struct {
		name       string
		puts, gets []callOutcome
		competing  int64
		err        error
		version    int64
	}{
		{name: "responded", version: 1},
		{name: "response lost after the write", puts: []callOutcome{responseLostAfterWrite}, version: 1},
		{name: "response lost before the write", puts: []callOutcome{responseLostBeforeWrite}, version: 1},
		{name: "response lost twice", puts: []callOutcome{responseLostBeforeWrite, responseLostAfterWrite}, version: 1},
		{name: "response always lost", puts: []callOutcome{responseLostBeforeWrite, responseLostBeforeWrite, responseLostBeforeWrite, responseLostBeforeWrite}, err: storage.ErrUnknown},
		{name: "read back fails", puts: []callOutcome{responseLostAfterWrite}, gets: []callOutcome{responded, unavailable}, err: storage.ErrUnknown, version: 1},
		{name: "raced", puts: []callOutcome{raced}, competing: 1, err: competing, version: 1},
		{name: "response lost, then raced", puts: []callOutcome{responseLostBeforeWrite, raced}, competing: 1, err: competing, version: 1},
		{name: "replaced after the write", puts: []callOutcome{replaced}, competing: 2, err: laterApply, version: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := newFakeStore()
			fake.putOutcomes, fake.getOutcomes = c.puts, c.gets
			fake.competingValue = func() []byte { return competingRow(c.competing) }
			config := testConfig(t, "limits: {max_body_bytes: 1}")
			row, err := testStore(fake).Apply(t.Context(), config, "id-1", "ann", 0)
			require.Equal(t, c.version, fake.row.Version)
			if want, ok := c.err.(*ConflictError); ok {
				require.Equal(t, want, err)
				return
			}
			require.ErrorIs(t, err, c.err)
			if c.err != nil {
				return
			}
			require.EqualValues(t, 1, row.Generation)
			loaded, err := testStore(fake).Load(t.Context())
			require.NoError(t, err)
			require.True(t, proto.Equal(config, loaded.Config))
		})
	}
}

// Guards against a repetition of an apply that creates a second generation, and
// against a repetition with different content that is accepted.
func TestApplyIsIdempotent(t *testing.T) {
	fake := newFakeStore()
	store := testStore(fake)
	first, second := testConfig(t, "limits: {max_body_bytes: 1}"), testConfig(t, "limits: {max_body_bytes: 2}")
	for range 2 {
		row, err := store.Apply(t.Context(), first, "id-1", "ann", 0)
		require.NoError(t, err)
		require.EqualValues(t, 1, row.Generation)
	}
	require.EqualValues(t, 1, fake.row.Version)
	_, err := store.Apply(t.Context(), second, "id-1", "ann", 1)
	require.ErrorIs(t, err, ErrApplyIDReused)
	_, err = store.Apply(t.Context(), second, "id-2", "bea", 0)
	require.EqualError(t, err, `expected generation 0, but operator "ann" applied generation 1 at 2026-01-01T00:00:00Z`)
	_, err = store.Apply(t.Context(), second, "", "bea", 1)
	require.ErrorIs(t, err, ErrNoApplyID)
	require.EqualValues(t, 1, fake.row.Version)
}

// Guards against content that is put in force although it was changed in the store,
// and against invalid content that a direct caller of Apply writes.
func TestStoreRejectsInvalidContent(t *testing.T) {
	fake := newFakeStore()
	store := testStore(fake)
	_, err := store.Load(t.Context())
	require.ErrorIs(t, err, ErrNoConfig)
	_, err = store.Apply(t.Context(), &basilloomv1.Config{Routes: []*basilloomv1.Route{{Name: "x"}}}, "id", "ann", 0)
	require.ErrorAs(t, err, &Errors{})
	require.Empty(t, fake.objects)
	row, err := store.Apply(t.Context(), testConfig(t, "limits: {max_body_bytes: 1}"), "id", "ann", 0)
	require.NoError(t, err)
	fake.objects[row.Hash][0]++
	_, err = store.Load(t.Context())
	require.ErrorIs(t, err, ErrCorrupt)
}
