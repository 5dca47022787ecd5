package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a poison request that keeps crashing targets, and against the
// quarantine of requests that merely ran on the same target when it crashed, also of those
// with the same content as others that are served. In
// the scripts, a and b are crashes of targets, begun:x is one after the response has
// begun, and peer:x is a crash reported by another instance.
func TestQuarantineVerdicts(t *testing.T) {
	for script, want := range map[string]Verdict{
		"a":                 VerdictSuspect,
		"a b":               VerdictQuarantined,
		"a 1s a":            VerdictSuspect,
		"a served":          VerdictClean,
		"a served peer:a":   VerdictClean,
		"a served b":        VerdictSuspect,
		"a served b c":      VerdictQuarantined,
		"a served b peer:c": VerdictQuarantined,
		"a served peer:b":   VerdictSuspect,
		"a b served":        VerdictQuarantined,
		"a peer:b":          VerdictQuarantined,
		"a b 9m59s":         VerdictQuarantined,
		"a b 10m":           VerdictClean,
		"a 10m b":           VerdictSuspect,
		"peer:a peer:b 10m": VerdictClean,
		"begun:a":           VerdictClean,
		"begun:a begun:b":   VerdictQuarantined,
		"begun:a b":         VerdictQuarantined,
		"a begun:b":         VerdictQuarantined,
		"begun:a peer:b":    VerdictQuarantined,
	} {
		q, now := NewQuarantine(), t0
		for _, word := range strings.Fields(script) {
			pause, err := time.ParseDuration(word)
			begun, isBegun := strings.CutPrefix(word, "begun:")
			switch peer, isPeer := strings.CutPrefix(word, "peer:"); {
			case isBegun:
				q.RecordCrash(now, 7, begun, true, now)
			case err == nil:
				now = now.Add(pause)
			case word == "served":
				q.RecordSuccess(now, 7)
			case isPeer:
				q.Merge(now, []CrashEvidence{{Fingerprint: 7, ValidFor: 100 * time.Hour, CrashedTargets: []string{peer}}})
			default:
				q.RecordCrash(now, 7, word, false, now)
			}
		}
		got, _ := q.Verdict(now, 7)
		require.Equal(t, want, got, script)
	}
}

// Guards against an instance that refuses requests because it has heard of each crash, and
// not of a success in between.
func TestQuarantineHearsOfSuccess(t *testing.T) {
	sender, peer := NewQuarantine(), NewQuarantine()
	crash := func(target string) Verdict {
		sender.RecordCrash(t0, 7, target, false, t0)
		peer.Merge(t0, sender.Entries(t0))
		verdict, _ := peer.Verdict(t0, 7)
		return verdict
	}
	require.Equal(t, VerdictSuspect, crash("a"))
	sender.RecordSuccess(t0, 7)
	require.Equal(t, VerdictSuspect, crash("b"))
	require.Equal(t, VerdictQuarantined, crash("c"))
}

// Guards against the refusal of sound requests with equal content because several targets
// that ran them crash at the same time, also at other instances.
func TestTargetsThatCrashTogetherAreOneCrash(t *testing.T) {
	const report = 200 * time.Millisecond
	first, second := NewQuarantine(), NewQuarantine()
	for k, target := range []string{"a", "b", "c"} {
		first.RecordCrash(t0.Add(time.Duration(k)*time.Millisecond), 7, target, false, t0.Add(-time.Second))
	}
	second.RecordCrash(t0, 7, "d", false, t0.Add(-time.Second))
	heard := t0.Add(report)
	first.Merge(heard, second.Entries(heard))
	second.Merge(heard, first.Entries(heard))
	for _, q := range []*Quarantine{first, second} {
		verdict, _ := q.Verdict(heard, 7)
		require.Equal(t, VerdictSuspect, verdict)
	}
	second.RecordCrash(heard.Add(report), 7, "e", false, heard.Add(time.Millisecond))
	verdict, _ := second.Verdict(heard.Add(report), 7)
	require.Equal(t, VerdictQuarantined, verdict, "a crash of a request that was granted after the others")
}

// Guards against the refusal of a sound request that ran on targets that another one
// crashed, and against a request that is not refused because a sound one ran beside it.
func TestRequestIsNotRefusedForTheCrashesOfAnother(t *testing.T) {
	const deadly, shared = 7, 8
	q, now := NewQuarantine(), t0
	verdicts := func(crashed string, fingerprints ...uint64) [2]Verdict {
		for _, fingerprint := range fingerprints {
			q.RecordCrash(now, fingerprint, crashed, false, now)
		}
		now = now.Add(time.Second)
		first, _ := q.Verdict(now, deadly)
		second, _ := q.Verdict(now, shared)
		return [2]Verdict{first, second}
	}
	require.Equal(t, [2]Verdict{VerdictSuspect, VerdictSuspect}, verdicts("a", deadly, shared))
	require.Equal(t, [2]Verdict{VerdictSuspect, VerdictSuspect}, verdicts("b", deadly, shared), "either may be the cause")
	require.Equal(t, [2]Verdict{VerdictQuarantined, VerdictSuspect}, verdicts("c", deadly))
	q.RecordSuccess(now, shared)
	require.Equal(t, [2]Verdict{VerdictQuarantined, VerdictClean}, verdicts("c", deadly))

	q = NewQuarantine()
	for _, target := range []string{"a", "b", "c"} {
		verdicts(target, deadly, shared)
	}
	require.Equal(t, [2]Verdict{VerdictQuarantined, VerdictQuarantined}, verdicts("c"), "three times together and never served")
}

// Guards against an instance that does not hear that a request was served after crashes at
// its targets, and against one that forgets later crashes with them.
func TestServedEntriesClearEarlierCrashes(t *testing.T) {
	served := func(targets ...string) []CrashEvidence {
		return []CrashEvidence{{Fingerprint: 7, ValidFor: time.Minute, CrashedTargets: targets, Served: true}}
	}
	q := NewQuarantine()
	require.False(t, q.Merge(t0, served("z")))
	q.RecordCrash(t0, 7, "a", false, t0)
	q.RecordCrash(t0, 7, "b", false, t0)
	verdict, _ := q.Verdict(t0, 7)
	require.Equal(t, VerdictQuarantined, verdict)
	require.True(t, q.Merge(t0, served("a")))
	require.False(t, q.Merge(t0, served("a")))
	verdict, _ = q.Verdict(t0, 7)
	require.Equal(t, VerdictSuspect, verdict, "crash b remains")
	require.True(t, q.Merge(t0, served("a", "b")))
	require.Empty(t, q.Entries(t0))
	require.False(t, q.Merge(t0, []CrashEvidence{{Fingerprint: 7, ValidFor: time.Minute, CrashedTargets: []string{"a", "b", "z"}}}), "late entry")
}

// Guards against a request that crashes targets unseen because its callers leave before the
// crash, and against blame for requests that were cancelled long before it or had begun.
func TestCrashAfterCancellationIsRecorded(t *testing.T) {
	const cancelled, other = 7, 8
	content := func(fingerprint uint64) func(*Ticket) { return func(t *Ticket) { t.Fingerprint = fingerprint } }
	ownCrash := func(g *Group, now time.Time) {
		g.Adopt(t0, testTicket(other, nil), "a", 0)
		g.Complete(now, ended(other, ResultTargetCrashed))
	}
	heard := func(g *Group, now time.Time) {
		g.SetQuarantined(now, []CrashEvidence{{Fingerprint: other, ValidFor: time.Minute, CrashedTargets: []string{"a"}, Crashes: 1}})
	}
	for name, c := range map[string]struct {
		crash func(*Group, time.Time)
		first time.Duration // to the first token
		after time.Duration // from the cancellation to the crash
		want  Verdict
	}{
		"crash of another request": {ownCrash, 0, 50 * time.Millisecond, VerdictSuspect},
		"crash heard of":           {heard, 0, 400 * time.Millisecond, VerdictSuspect},
		"long before the crash":    {heard, 0, 2 * time.Second, VerdictClean},
		"had begun":                {ownCrash, time.Millisecond, 50 * time.Millisecond, VerdictClean},
	} {
		g := testGroup(GroupConfig{}, Target{Name: "a", Concurrency: 4}, Target{Name: "b", Concurrency: 4})
		g.Adopt(t0, testTicket(1, content(cancelled)), "a", 0)
		g.Adopt(t0, testTicket(2, content(3)), "b", 0)
		g.Complete(t0, Completion{ID: testID(1), Result: ResultCancelled, FirstToken: c.first})
		g.Complete(t0, ended(2, ResultCancelled))
		c.crash(g, t0.Add(c.after))
		verdict, _ := g.quarantine.Verdict(t0.Add(c.after), cancelled)
		require.Equal(t, c.want, verdict, name)
		verdict, _ = g.quarantine.Verdict(t0.Add(c.after), 3)
		require.Equal(t, VerdictClean, verdict, "on another target")
	}
}

// Guards against unbounded memory and against repeated entries that count as changes.
func TestQuarantineBoundsAndMerge(t *testing.T) {
	q := NewQuarantine()
	for i := range uint64(maxQuarantineRecords + 10) {
		q.RecordCrash(t0.Add(time.Duration(i)), i+1, "a", false, t0)
	}
	require.Len(t, q.records, maxQuarantineRecords)
	other := NewQuarantine()
	require.True(t, other.Merge(t0, q.Entries(t0)))
	require.False(t, other.Merge(t0, q.Entries(t0)))
	require.False(t, q.RecordCrash(t0, 0, "a", false, t0))
}

// Guards against records that grow with each crash, and against instances that send each
// other changes of a full record for ever.
func TestRecordsOfManyCrashesSettle(t *testing.T) {
	const instances = 3
	for _, part := range []bool{false, true} {
		var all []*Quarantine
		for range instances {
			all = append(all, NewQuarantine())
		}
		for k := range 4 * maxRecordTargets {
			q, now := all[k%instances], t0.Add(time.Duration(k)*time.Second)
			if part {
				q.RecordPartCrash(now, 7, fmt.Sprint("t", k), nil, now)
			} else {
				q.RecordCrash(now, 7, fmt.Sprint("t", k), false, now)
			}
		}
		now := t0.Add(time.Minute)
		exchange := func() bool {
			changed := false
			for k, q := range all {
				changed = q.Merge(now, all[(k+1)%instances].Entries(now)) || changed
			}
			return changed
		}
		for range 10 {
			exchange()
		}
		require.False(t, exchange(), "part %v", part)
		require.LessOrEqual(t, len(all[0].Entries(now)[0].CrashedTargets), maxRecordTargets)
	}
}
