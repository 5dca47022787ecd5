package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the quarantine.
const (
	// SuspectDuration is how long a fingerprint stays a suspect after a crash.
	SuspectDuration = 10 * time.Minute
	// QuarantineDuration is how long a quarantined fingerprint is refused.
	QuarantineDuration = 10 * time.Minute
	// QuarantineCrashes is the number of different crashed targets, without a success in
	// between, that quarantines a suspect.
	QuarantineCrashes = 2
	// maxExplainedCrashes is the number of crashes without a success in between from which on
	// no other request explains them. A sound request is mostly served before.
	maxExplainedCrashes = 3 * QuarantineCrashes
	// maxRecordTargets bounds a record, and so its size in reports.
	maxRecordTargets = 6
	// maxQuarantineRecords bounds the memory. A new record replaces the one that
	// expires first.
	maxQuarantineRecords = 4096
)

// Verdict is the treatment of a fingerprint.
type Verdict int

// Verdicts of a Quarantine.
const (
	VerdictClean Verdict = iota
	// VerdictTrial requests wait while another request with the same part of a prompt is
	// about to begin.
	VerdictTrial
	// VerdictSuspect requests run as the only request on their target.
	VerdictSuspect
	// VerdictQuarantined requests are refused.
	VerdictQuarantined
)

// CrashEvidence is what speaks against one content of requests, or against one part that
// prompts share, in the form in which groups and instances exchange it. ValidFor is relative
// because the clocks of instances may differ.
//
// Evidence is a set of facts: each says that one start of a target crashed while it ran a
// request with the content or part. Copies are joined, in any order and any number of times, and a join never
// loses or repeats a fact. Only a success takes facts out of account: those that were known
// when the request was served or, for a part, began to receive its response. They stay in
// memory as known, so that late copies do not bring them back. Verdicts are computed from the
// facts in account and are neither stored nor sent.
type CrashEvidence struct {
	// Fingerprint identifies the content, or the part if Part is set.
	Fingerprint uint64
	Part        bool
	ValidFor    time.Duration
	// Age is the time since the last crash.
	Age time.Duration
	// CrashedTargets lists the last starts of targets that crashed, those in account.
	CrashedTargets []string
	// Crashes counts those of which each was known before a request was granted again; 0
	// stands for all of them.
	Crashes int
	// Begun is set if the request had begun to receive its response on each of them.
	Begun bool
	// Served states that the request was served after these crashes, so that they are not in
	// account.
	Served bool
	// Companions are other parts of the prompt of the last request, for a part.
	Companions []uint64
}

// Quarantine holds the crash evidence that a group or an instance knows. It is not safe for
// concurrent use.
type Quarantine struct {
	records map[uint64]*record
	// parts holds the records of shared parts of prompts.
	parts map[uint64]*record
}

// record is the evidence against one content or part.
type record struct {
	// known lists the last targets that crashed, crashed those in account.
	known, crashed []string
	// crashes is CrashEvidence.Crashes, begun is CrashEvidence.Begun. A request that crashes
	// targets mostly does so before it begins to receive its response, so one crash after that
	// makes no suspect.
	crashes int
	begun   bool
	// companions is CrashEvidence.Companions. Until one of them has been cleared, any of them
	// may be the cause.
	companions []uint64
	// counted is when crashes last grew, last when a fact was last added.
	counted, last, until time.Time
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{records: make(map[uint64]*record), parts: make(map[uint64]*record)}
}

// RecordCrash records that the target crashed while it ran the request; begun states
// that the request had begun to receive its response. A request that was granted before
// the last crash was known is no further evidence: a failure of many targets at once would
// otherwise count for each of them. A further report for the same target changes nothing.
// RecordCrash reports whether the record changed, so that the change can be sent to peers.
// Fingerprint 0 is ignored.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint uint64, target string, begun bool, granted time.Time) bool {
	crashes := 1
	if r, ok := q.records[fingerprint]; ok && now.Before(r.until) && r.crashes > 0 {
		crashes = r.crashes
		if !granted.Before(r.counted) {
			crashes++
		}
	}
	return q.add(now, CrashEvidence{
		Fingerprint: fingerprint, ValidFor: SuspectDuration, CrashedTargets: []string{target}, Crashes: crashes, Begun: begun,
	})
}

// RecordSuccess clears a suspect that a target served. A quarantined fingerprint
// stays quarantined. RecordSuccess returns the entry for the peers if crashes were counted.
func (q *Quarantine) RecordSuccess(now time.Time, fingerprint uint64) (CrashEvidence, bool) {
	r, ok := q.records[fingerprint]
	if !ok || r.crashes == 0 || q.verdict(now, r) == VerdictQuarantined {
		return CrashEvidence{}, false
	}
	r.clear()
	return CrashEvidence{Fingerprint: fingerprint, ValidFor: r.until.Sub(now), CrashedTargets: slices.Clone(r.known), Served: true}, true
}

// Verdict returns the treatment of a fingerprint and the time for which it holds.
func (q *Quarantine) Verdict(now time.Time, fingerprint uint64) (Verdict, time.Duration) {
	r, ok := q.records[fingerprint]
	if !ok {
		return VerdictClean, 0
	}
	v := q.verdict(now, r)
	if v == VerdictClean {
		return v, 0
	}
	return v, r.until.Sub(now)
}

// Merge adds the entries of other instances and reports whether a record changed.
func (q *Quarantine) Merge(now time.Time, entries []CrashEvidence) bool {
	changed := false
	for _, e := range entries {
		e.ValidFor = min(e.ValidFor, QuarantineDuration)
		if q.add(now, e) {
			changed = true
		}
	}
	return changed
}

// Known returns the last targets that crashed under a content or part, in account or not.
func (q *Quarantine) Known(fingerprint uint64, isPart bool) []string {
	if r, ok := q.recordsOf(isPart)[fingerprint]; ok {
		return slices.Clone(r.known)
	}
	return nil
}

// Entries returns the evidence in account, sorted by fingerprint.
func (q *Quarantine) Entries(now time.Time) []CrashEvidence {
	var entries []CrashEvidence
	for _, isPart := range []bool{false, true} {
		for fingerprint, r := range q.recordsOf(isPart) {
			if r.crashes == 0 || !now.Before(r.until) {
				continue
			}
			entries = append(entries, CrashEvidence{
				Fingerprint: fingerprint, Part: isPart, ValidFor: r.until.Sub(now), Age: max(0, now.Sub(r.last)), CrashedTargets: slices.Clone(r.crashed),
				Crashes: r.crashes, Begun: r.begun, Companions: r.companions,
			})
		}
	}
	slices.SortFunc(entries, func(a, b CrashEvidence) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

func (q *Quarantine) recordsOf(isPart bool) map[uint64]*record {
	if isPart {
		return q.parts
	}
	return q.records
}

// Expire deletes the records whose validity has ended.
func (q *Quarantine) Expire(now time.Time) {
	expired := func(_ uint64, r *record) bool { return !now.Before(r.until) }
	maps.DeleteFunc(q.records, expired)
	maps.DeleteFunc(q.parts, expired)
}

// add joins evidence and reports whether that changed a record.
func (q *Quarantine) add(now time.Time, e CrashEvidence) bool {
	if e.Fingerprint == 0 && !e.Part || e.ValidFor <= 0 || len(e.CrashedTargets) == 0 {
		return false
	}
	records := q.recordsOf(e.Part)
	r, ok := records[e.Fingerprint]
	if !ok || !now.Before(r.until) {
		evictIfFull(records, now)
		r = &record{}
		records[e.Fingerprint] = r
	}
	if e.Served {
		r.until = later(r.until, now.Add(e.ValidFor))
		return r.serve(e)
	}
	unseen := unseenTargets(r.known, e.CrashedTargets)
	crashes := r.crashes + len(unseen)
	if e.Crashes > 0 {
		crashes = max(r.crashes, min(crashes, e.Crashes))
	}
	if len(unseen) == 0 || crashes == r.crashes && len(r.known) == maxRecordTargets {
		return false
	}
	r.begun = e.Begun && (r.begun || r.crashes == 0)
	at := now.Add(-e.Age)
	if crashes > r.crashes {
		r.crashes, r.counted = crashes, later(r.counted, at)
	}
	r.known = lastTargets(append(r.known, unseen...))
	r.crashed = lastTargets(append(r.crashed, unseen...))
	r.companions = slices.Clone(e.Companions[:min(len(e.Companions), maxPartCompanions)])
	r.last, r.until = later(r.last, at), later(r.until, now.Add(e.ValidFor))
	return true
}

// clear takes all facts out of account.
func (r *record) clear() { r.crashes, r.crashed = 0, nil }

// serve applies the entry of a peer whose target served the request after some crashes.
func (r *record) serve(e CrashEvidence) bool {
	r.known = lastTargets(append(r.known, unseenTargets(r.known, e.CrashedTargets)...))
	left := unseenTargets(e.CrashedTargets, r.crashed)
	if len(left) == len(r.crashed) {
		return false
	}
	r.crashed, r.crashes = left, min(r.crashes, len(left))
	return true
}

// unseenTargets returns the targets that known does not contain.
func unseenTargets(known, targets []string) []string {
	var unseen []string
	for _, target := range targets {
		if !slices.Contains(known, target) && !slices.Contains(unseen, target) {
			unseen = append(unseen, target)
		}
	}
	return unseen
}

// lastTargets returns the targets that a record keeps.
func lastTargets(targets []string) []string { return targets[max(0, len(targets)-maxRecordTargets):] }

// evictIfFull makes room for a record: it deletes the expired ones or the one that expires
// first.
func evictIfFull(records map[uint64]*record, now time.Time) {
	if len(records) < maxQuarantineRecords {
		return
	}
	maps.DeleteFunc(records, func(_ uint64, r *record) bool { return !now.Before(r.until) })
	if len(records) < maxQuarantineRecords {
		return
	}
	var first uint64
	var until time.Time
	for fingerprint, r := range records {
		if until.IsZero() || r.until.Before(until) || (r.until.Equal(until) && fingerprint < first) {
			first, until = fingerprint, r.until
		}
	}
	delete(records, first)
}

func (q *Quarantine) verdict(now time.Time, r *record) Verdict {
	switch {
	case !now.Before(r.until), r.crashes == 0:
		return VerdictClean
	case r.crashes >= QuarantineCrashes && !q.isExplained(now, r):
		return VerdictQuarantined
	case r.begun && r.crashes < QuarantineCrashes:
		return VerdictClean
	}
	return VerdictSuspect
}

// isExplained reports whether each of the crashes may be due to another request, so that a
// sound request whose content many callers send is not blamed for what others do. Another
// request explains a crash of r if it was on the target, too, and on a crashed one where r was
// not. If two requests have crashed the same two targets, either may be the cause; a suspect
// runs as the only request on its target, so the next crash tells. Requests that keep crashing
// the same targets are not explained for ever.
func (q *Quarantine) isExplained(now time.Time, r *record) bool {
	if r.crashes >= maxExplainedCrashes {
		return false
	}
	explained := make(map[string]bool, len(r.crashed))
	for _, other := range q.records {
		if other == r || !now.Before(other.until) {
			continue
		}
		elsewhere := len(unseenTargets(r.crashed, other.crashed)) > 0
		same := len(r.crashed) == QuarantineCrashes && len(unseenTargets(other.crashed, r.crashed)) == 0
		if !elsewhere && !same {
			continue
		}
		for _, target := range other.crashed {
			explained[target] = true
		}
	}
	return !slices.ContainsFunc(r.crashed, func(target string) bool { return !explained[target] })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
