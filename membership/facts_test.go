package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawFacts(t *rapid.T, label string) []func(*Facts) {
	base := time.Unix(1000, 0)
	names := []string{"a", "b", "c", "d", "e"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) func(*Facts) {
		name := rapid.SampledFrom(names).Draw(t, "name")
		other := rapid.SampledFrom(names).Draw(t, "other")
		number := rapid.Int64Range(0, 4).Draw(t, "number")
		counts := rapid.SliceOfN(rapid.Int64Range(0, 9), 5, 5).Draw(t, "counts")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			return func(f *Facts) { f.MergeLeaving(Leaving{name, number}) }
		case 1:
			return func(f *Facts) { f.MergeStop(Stop{StopKey{name, number}, other}) }
		case 2:
			crashed := rapid.SliceOfN(rapid.SampledFrom(append(names, "f", "g")), 0, 6).Draw(t, "crashed")
			expires := base.Add(time.Duration(counts[0]) * time.Second)
			return func(f *Facts) { f.MergeQuarantine(Quarantine{uint64(number), expires, crashed}) }
		default:
			key := EvidenceKey{Move: name, Version: "v", Instance: other, Incarnation: 1, Window: number}
			return func(f *Facts) {
				f.MergeEvidence(Evidence{key, counts[0], counts[1], TimeSums{counts[2], counts[3], counts[4]}, TimeSums{counts[4], counts[2], counts[3]}})
			}
		}
	}), 0, 15).Draw(t, label)
}

func buildFacts(parts ...[]func(*Facts)) *Facts {
	f := newFacts(3, 3, 3, 3)
	for _, part := range parts {
		for _, add := range part {
			add(f)
		}
	}
	return f
}

func joinFacts(into, from *Facts) *Facts {
	s := from.Snapshot()
	for _, l := range s.Leaving {
		into.MergeLeaving(l)
	}
	for _, stop := range s.Stops {
		into.MergeStop(stop)
	}
	for _, q := range s.Quarantine {
		into.MergeQuarantine(q)
	}
	for _, ev := range s.Evidence {
		into.MergeEvidence(ev)
	}
	return into
}

func requireSameFacts(t require.TestingT, a, b *Facts) {
	require.Equal(t, a.leaving.items, b.leaving.items)
	require.Equal(t, a.stops.items, b.stops.items)
	require.Equal(t, a.quarantine.items, b.quarantine.items)
	require.Equal(t, a.evidence.items, b.evidence.items)
	require.Equal(t, a.Hash(), b.Hash())
}

// Guards against facts that never converge because messages arrive in a different
// order, twice, or after an entry was dropped because of the bound.
func TestFactsMergeIsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawFacts(t, "a"), drawFacts(t, "b"), drawFacts(t, "c")
		requireSameFacts(t, joinFacts(buildFacts(a), buildFacts(b)), joinFacts(buildFacts(b), buildFacts(a)))
		requireSameFacts(t, joinFacts(joinFacts(buildFacts(a), buildFacts(b)), buildFacts(c)), joinFacts(buildFacts(a), joinFacts(buildFacts(b), buildFacts(c))))
		requireSameFacts(t, joinFacts(buildFacts(a), buildFacts(a)), buildFacts(a))
		reversed := slices.Clone(a)
		slices.Reverse(reversed)
		requireSameFacts(t, buildFacts(a), buildFacts(reversed))
		require.LessOrEqual(t, len(buildFacts(a, b, c).evidence.items), 3)
	})
}

// Guards against evidence and quarantine entries that are never removed.
func TestFactsPrune(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFacts()
	f.MergeQuarantine(Quarantine{Fingerprint: 1, Expires: now})
	f.MergeQuarantine(Quarantine{Fingerprint: 2, Expires: now.Add(1)})
	f.MergeEvidence(Evidence{EvidenceKey: EvidenceKey{Window: 4}})
	f.MergeEvidence(Evidence{EvidenceKey: EvidenceKey{Window: 5}})
	hash := f.Hash()
	f.Prune(now, 5)
	require.Len(t, f.Snapshot().Quarantine, 1)
	require.Len(t, f.Snapshot().Evidence, 1)
	require.NotEqual(t, hash, f.Hash())
}
