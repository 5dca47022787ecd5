package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/basilloom/basilloom/storage"
)

func testInstance(name string, incarnation uint64) Instance {
	return Instance{Name: name, Incarnation: incarnation, Address: name, Region: "a"}
}

func record(name string, incarnation uint64, state State, refutation uint32) Record {
	return Record{Instance: testInstance(name, incarnation), State: state, Refutation: refutation}
}

// Guards against records of an old incarnation that arrive after a restart and mark
// the new incarnation dead or restore the old address.
func TestViewIgnoresOldIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(testInstance("self", 1), now)
	require.True(t, v.Merge(record("x", 1, StateLive, 7), now))
	require.True(t, v.Merge(record("x", 2, StateLive, 0), now))
	for _, state := range []State{StateLive, StateSuspect, StateDead, StateLeaving} {
		require.False(t, v.Merge(record("x", 1, state, 9), now))
	}
	require.False(t, v.Suspect("x", 1, now), "a failed probe of the old incarnation")
	x, _ := v.Get("x")
	require.Equal(t, record("x", 2, StateLive, 0), x)
}

// Guards against a paused instance that remains dead after it resumes, a refutation
// of a record of an earlier incarnation, and an instance that loses its keys because
// of a peer's stale dead record before it can refute.
func TestViewRefutes(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(testInstance("self", 2), now)
	require.False(t, v.Merge(record("self", 1, StateDead, 5), now))
	require.True(t, v.Merge(record("self", 2, StateDead, 5), now))
	require.Equal(t, uint32(6), v.Self().Refutation)

	other := NewView(testInstance("other", 1), now)
	other.Merge(record("self", 2, StateLive, 5), now)
	other.Suspect("self", 2, now)
	require.Len(t, other.Live(), 2, "a suspect keeps its keys until the timeout")
	require.Equal(t, []string{"self"}, other.Tick(now.Add(MinSuspectTimeout)))
	require.Len(t, other.Live(), 1)
	require.True(t, other.Merge(v.Self(), now))
	require.Len(t, other.Live(), 2)
	require.True(t, other.Merge(record("self", 2, StateDead, 6), now))
	require.Len(t, other.Live(), 2)
	self, _ := other.Get("self")
	require.Equal(t, StateSuspect, self.State)
}

// Guards against a lagging platform list that makes dead instances live again,
// removes unlisted ones, or changes a state without other evidence.
func TestViewListDoesNotOverrideEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(testInstance("self", 1), now)
	v.Merge(record("dead", 1, StateLive, 0), now)
	v.Merge(record("unlisted", 1, StateLive, 0), now)
	v.Suspect("dead", 1, now)
	v.Tick(now.Add(time.Minute))
	list := []storage.InstanceRecord{{Name: "dead", Address: "dead"}, {Name: "unseen", Address: "u"}}
	v.MergeList(list, now.Add(time.Minute))
	require.Equal(t, []Instance{testInstance("self", 1), testInstance("unlisted", 1)}, v.Live())
	require.Equal(t, []string{"dead", "unseen"}, names(v.Unreachable()))

	late := now.Add(DeadRetention + time.Hour)
	v.Tick(late)
	require.False(t, v.Merge(record("dead", 1, StateLive, 0), late), "stale record from a peer while the list still contains the instance")
	v.MergeList(nil, late)
	v.Tick(late)
	_, known := v.Get("dead")
	require.False(t, known, "entry must be dropped after DeadRetention")
	require.False(t, v.Merge(record("dead", 1, StateDead, 0), late), "a dropped entry must not circulate")

	v.Suspect("unlisted", 1, late)
	v.MergeList([]storage.InstanceRecord{{Name: "unlisted", Leaving: true}}, late)
	require.Len(t, v.Live(), 1, "a suspect that the list shows as leaving becomes dead")
}

func names(instances []Instance) []string {
	var all []string
	for _, instance := range instances {
		all = append(all, instance.Name)
	}
	return all
}

// Guards against a failure that moves keys of healthy owners, a leaving instance
// that owns keys, and a preferred region that is ignored or leaves keys without an
// owner.
func TestOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(testInstance("self", 1), now)
	for i := range 20 {
		r := record(fmt.Sprintf("i%d", i), 1, StateLive, 0)
		r.Region = [2]string{"a", "b"}[i%2]
		v.Merge(r, now)
	}
	const keys = 2000
	before := make([]Instance, keys)
	count := map[string]int{}
	for k := range keys {
		before[k], _ = v.Owner(fmt.Sprint("pool/", k), "")
		count[before[k].Name]++
		preferred, _ := v.Owner(fmt.Sprint("pool/", k), "b")
		require.Equal(t, "b", preferred.Region)
	}
	for name, owned := range count {
		require.InDelta(t, keys/21, owned, 50, name)
	}
	leaving := record("i3", 1, StateLeaving, 0)
	require.True(t, v.Merge(leaving, now))
	for k := range keys {
		after, _ := v.Owner(fmt.Sprint("pool/", k), "")
		require.NotEqual(t, "i3", after.Name)
		if before[k].Name != "i3" {
			require.Equal(t, before[k], after)
		}
	}
	elsewhere := record("elsewhere", 1, StateLive, 0)
	elsewhere.Region = "c"
	v.Merge(elsewhere, now)
	for i := range 20 {
		if i%2 == 1 {
			v.Merge(record(fmt.Sprintf("i%d", i), 1, StateLeaving, 0), now)
		}
	}
	for k := range keys {
		fallback, ok := v.Owner(fmt.Sprint("pool/", k), "b")
		require.True(t, ok)
		require.Equal(t, "a", fallback.Region, "own region if no instance of the preferred region is live")
	}
}

// Guards against keys that wait for the suspect timeout, and against keys without
// an owner when all other instances are suspects.
func TestOwnerIsNoSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(testInstance("self", 1), now)
	v.Merge(record("i1", 1, StateLive, 0), now)
	v.Merge(record("i2", 1, StateLive, 0), now)
	v.Suspect("i1", 1, now)
	owned := map[string]int{}
	for k := range 200 {
		owner, ok := v.Owner(fmt.Sprint("pool/", k), "")
		require.True(t, ok)
		owned[owner.Name]++
	}
	require.Zero(t, owned["i1"])
	v.Suspect("i2", 1, now)
	v.Leave(now)
	owner, ok := v.Owner("pool/0", "")
	require.True(t, ok, "a suspect owns the key if there is no other live instance")
	require.NotEqual(t, "self", owner.Name)
}

// Guards against views that depend on the order of arrival: two instances would
// permanently select different brokers.
func TestViewMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			state := State(rapid.IntRange(1, 4).Draw(t, "state"))
			return record(name, incarnation, state, rapid.Uint32Range(0, 3).Draw(t, "refutation"))
		}), 1, 12).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		v, w := NewView(testInstance("v", 1), now), NewView(testInstance("w", 1), now)
		for i := range records {
			v.Merge(records[i], now)
			w.Merge(shuffled[i], now)
		}
		// Each view merges the other's records twice, as when both send the full
		// view, and then suspects time out.
		for range 2 {
			for _, r := range v.Records() {
				w.Merge(r, now)
			}
			for _, r := range w.Records() {
				v.Merge(r, now)
			}
		}
		v.Tick(now.Add(time.Minute))
		w.Tick(now.Add(time.Minute))
		require.Equal(t, v.Live(), w.Live())
		require.Equal(t, v.Hash(), w.Hash())
	})
}
