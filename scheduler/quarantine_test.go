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
				q.Merge(now, []QuarantineEntry{{Fingerprint: 7, ValidFor: 100 * time.Hour, CrashedTargets: []string{peer}}})
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
