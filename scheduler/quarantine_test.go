package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a poison request that keeps killing targets, and against the
// blame of requests that only ran beside it.
func TestQuarantineVerdicts(t *testing.T) {
	type step struct {
		after  time.Duration
		died   string
		served bool
		merge  []QuarantineEntry
		want   Verdict
	}
	const fp = 7
	peer := func(valid time.Duration, died ...string) []QuarantineEntry {
		return []QuarantineEntry{{Fingerprint: fp, ValidFor: valid, Died: died}}
	}
	for name, steps := range map[string][]step{
		"second different target": {{died: "a", want: VerdictSuspect}, {died: "b", want: VerdictQuarantined}},
		"one death, many reports": {{died: "a", want: VerdictSuspect}, {after: time.Second, died: "a", want: VerdictSuspect}},
		"served clears":           {{died: "a", want: VerdictSuspect}, {served: true, want: VerdictClean}},
		"late gossip after clear": {{died: "a"}, {served: true}, {merge: peer(time.Minute, "a"), want: VerdictClean}},
		"new death after clear":   {{died: "a"}, {served: true}, {died: "b", want: VerdictQuarantined}},
		"served does not release": {{died: "a"}, {died: "b"}, {served: true, want: VerdictQuarantined}},
		"deaths at two instances": {{died: "a"}, {merge: peer(time.Minute, "b"), want: VerdictQuarantined}},
		"quarantine ends":         {{died: "a"}, {died: "b"}, {after: QuarantineTime, want: VerdictClean}},
		"suspicion ends":          {{died: "a"}, {after: SuspectTime, died: "b", want: VerdictSuspect}},
		"peer cannot extend for ever": {
			{merge: peer(100*time.Hour, "a", "b"), want: VerdictQuarantined},
			{after: QuarantineTime, want: VerdictClean},
		},
	} {
		t.Run(name, func(t *testing.T) {
			q, now := NewQuarantine(), t0
			for i, s := range steps {
				now = now.Add(s.after)
				if s.died != "" {
					q.Died(now, fp, s.died)
				}
				if s.served {
					q.Served(now, fp)
				}
				q.Merge(now, s.merge)
				got, _ := q.Verdict(now, fp)
				if s.want != VerdictClean || i == len(steps)-1 {
					require.Equal(t, s.want, got, "step %d", i)
				}
			}
		})
	}
}

// Guards against unbounded memory and against a peer's own entries counting as news.
func TestQuarantineBoundsAndMerge(t *testing.T) {
	q := NewQuarantine()
	for i := range uint64(maxQuarantineRecords + 10) {
		q.Died(t0.Add(time.Duration(i)), i+1, "a")
	}
	require.Len(t, q.records, maxQuarantineRecords)
	other := NewQuarantine()
	require.True(t, other.Merge(t0, q.Entries(t0)))
	require.False(t, other.Merge(t0, q.Entries(t0)))
	require.False(t, q.Died(t0, 0, "a"))
}
