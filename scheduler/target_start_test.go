package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against contents that are never refused because they crash the same few targets, which
// come back under their names, and excuse each other; and against sound requests beside them
// that are refused.
func TestContentsThatCrashTheSameTargetsAreRefused(t *testing.T) {
	const contact = 4 * time.Second
	for _, c := range []struct{ targets, contents int }{{2, 1}, {2, 2}, {2, 3}, {2, 8}, {3, 5}, {3, 20}, {6, 40}} {
		for seed := range uint64(4) {
			name := fmt.Sprintf("%+v seed %d", c, seed)
			f := newServiceFleet(seed, 4, c.targets)
			f.sameNames = true
			f.arrive(20, 0.3, 0)
			attempt := 0
			var poison func()
			poison = func() {
				content := uint64(firstDeadlyContent + attempt%c.contents)
				attempt++
				f.submit(&serviceRun{ticket: Ticket{Workspace: "w", Fingerprint: content}, group: f.groups[f.rng.IntN(len(f.groups))], sends: 1})
				f.after(time.Duration(f.rng.Int64N(int64(2*time.Second))), poison)
			}
			f.after(time.Second, poison)
			// A content crashes a target at most every serviceBack for each of them.
			f.run(time.Duration(c.contents)*12*time.Second + 30*time.Second)
			for k := range c.contents {
				content := uint64(firstDeadlyContent + k)
				require.Equal(t, len(f.groups), f.refusing(content), "%s: content %d after %d crashes", name, k, len(f.ends[content]))
				late := 0
				for _, at := range f.sends[content] {
					if len(f.ends[content]) >= 3 && at.After(f.ends[content][2].Add(contact)) {
						late++
					}
				}
				require.LessOrEqual(t, late, 3, "%s: content %d", name, k)
			}
			require.Zero(t, f.refusing(hotContent), name)
			hot, served := f.hot, f.hotServed
			f.run(20 * time.Second)
			require.Greater(t, float64(f.hotServed-served), 0.95*float64(f.hot-hot), name)
		}
	}
}

// Guards against a target that gets no requests because of what it did before its last start:
// an ejection, requests in flight, or a limit that was learned.
func TestNewStartOfATargetHasNoHistory(t *testing.T) {
	now := t0
	target := func(start int64) []Target { return []Target{{Name: "a", Start: start, Concurrency: 2}} }
	g := testGroup(GroupConfig{}, target(1)...)
	for n := range 2 {
		require.IsType(t, Grant{}, g.Submit(now, testTicket(n, nil))[0])
		g.Dispatched(now, testID(n))
	}
	require.Empty(t, g.Submit(now, testTicket(2, nil)))
	g.Complete(now, ended(0, ResultTargetCrashed))
	require.NotEqual(t, HealthHealthy, g.targets["a"].health.state)
	decisions := g.SetTargets(now.Add(time.Second), target(2))
	require.IsType(t, Grant{}, decisions[0], "the ejection was that of the earlier start")
	require.Equal(t, 1, g.targets["a"].running)
	// The end of a request on the earlier start says nothing about this one.
	g.Complete(now.Add(time.Second), ended(1, ResultTargetCrashed))
	require.Equal(t, 1, g.targets["a"].running)
	require.Equal(t, HealthHealthy, g.targets["a"].health.state)
	g.Complete(now.Add(2*time.Second), ended(2, ResultTargetCrashed))
	entries := g.Quarantined(now.Add(2 * time.Second))
	require.NotEmpty(t, entries)
	starts := make(map[string]bool)
	for _, e := range entries {
		for _, start := range e.CrashedTargets {
			starts[start] = true
		}
	}
	require.Equal(t, map[string]bool{"a@1": true, "a@2": true}, starts)
}

// Guards against a sound content that is refused although each of its crashes is due to
// another content, and against contents that explain each other's crashes for ever.
func TestCrashesAreExplainedOneByOne(t *testing.T) {
	const first, second, shared = 1, 2, 3
	q, now := NewQuarantine(), t0
	crash := func(target string, contents ...uint64) {
		for _, content := range contents {
			q.RecordCrash(now, content, target, false, now)
		}
		now = now.Add(time.Second)
	}
	verdict := func(content uint64) Verdict {
		v, _ := q.Verdict(now, content)
		return v
	}
	crash("a", first, shared)
	crash("b", second, shared)
	crash("c", first)
	crash("d", second)
	require.Equal(t, VerdictQuarantined, verdict(first))
	require.Equal(t, VerdictQuarantined, verdict(second))
	require.Equal(t, VerdictSuspect, verdict(shared), "one crash is due to each of the others")

	q = NewQuarantine()
	for k := range maxExplainedCrashes {
		crash(fmt.Sprint("x", k), first, second)
		crash(fmt.Sprint("y", k), second, shared)
		crash(fmt.Sprint("z", k), shared, first)
	}
	for _, content := range []uint64{first, second, shared} {
		require.Equal(t, VerdictQuarantined, verdict(content))
	}
}
