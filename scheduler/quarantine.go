package scheduler

import (
	"cmp"
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

// QuarantineEntry is the record of one fingerprint that instances exchange.
// ValidFor is relative because the clocks of instances may differ.
type QuarantineEntry struct {
	Fingerprint uint64
	ValidFor    time.Duration
	// CrashedTargets lists the last targets that crashed while they ran the request, since
	// it was last served.
	CrashedTargets []string
	// Crashes counts those of which each was known before the request was granted again; 0
	// stands for all of them.
	Crashes int
	// Begun is set if the request had begun to receive its response on each of them.
	Begun bool
	// Served states that the request was served after these crashes, so that they are no
	// evidence against it.
	Served bool
	// Part is set if Fingerprint identifies a shared part of prompts. Crashes then counts
	// the crashes since a request with the part last began, and Companions are other parts
	// of the prompt of the last one.
	Part       bool
	Companions []uint64
}

// Quarantine records the fingerprints of requests that ran on targets that
// crashed. It is not safe for concurrent use.
type Quarantine struct {
	records map[uint64]*quarantineRecord
	// parts holds the records of shared parts of prompts.
	parts map[uint64]*partRecord
}

type quarantineRecord struct {
	// known lists the last targets that crashed under the request, including those before
	// the last success, so that a late entry from a peer does not count again.
	known []string
	// crashed lists those since the request was last served. Sound requests with the same
	// content are served in between, a request that crashes targets is not.
	crashed []string
	// crashes counts the crashes of crashed of which each was known before the request was
	// granted again.
	crashes int
	// counted is when a crash was last counted.
	counted, until time.Time
	// begun is set if the request had begun to receive its response before each of these
	// crashes. A request that crashes targets mostly does so before, so one such crash
	// makes no suspect.
	begun bool
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{records: make(map[uint64]*quarantineRecord), parts: make(map[uint64]*partRecord)}
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
	return q.add(now, QuarantineEntry{
		Fingerprint: fingerprint, ValidFor: SuspectDuration, CrashedTargets: []string{target}, Crashes: crashes, Begun: begun,
	})
}

// RecordSuccess clears a suspect that a target served. A quarantined fingerprint
// stays quarantined. RecordSuccess returns the entry for the peers if crashes were counted.
func (q *Quarantine) RecordSuccess(now time.Time, fingerprint uint64) (QuarantineEntry, bool) {
	r, ok := q.records[fingerprint]
	if !ok || r.crashes == 0 || q.verdict(now, r) == VerdictQuarantined {
		return QuarantineEntry{}, false
	}
	r.crashes, r.crashed = 0, nil
	return QuarantineEntry{Fingerprint: fingerprint, ValidFor: r.until.Sub(now), CrashedTargets: slices.Clone(r.known), Served: true}, true
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
func (q *Quarantine) Merge(now time.Time, entries []QuarantineEntry) bool {
	changed := false
	for _, e := range entries {
		e.ValidFor = min(e.ValidFor, QuarantineDuration)
		if q.add(now, e) {
			changed = true
		}
	}
	return changed
}

// Entries returns the records in force, sorted by fingerprint.
func (q *Quarantine) Entries(now time.Time) []QuarantineEntry {
	entries := q.partEntries(now)
	for fingerprint, r := range q.records {
		if r.crashes == 0 || !now.Before(r.until) {
			continue
		}
		entries = append(entries, QuarantineEntry{
			Fingerprint: fingerprint, ValidFor: r.until.Sub(now), CrashedTargets: slices.Clone(r.crashed), Crashes: r.crashes, Begun: r.begun,
		})
	}
	slices.SortFunc(entries, func(a, b QuarantineEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Expire deletes the records whose validity has ended.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, r := range q.records {
		if !now.Before(r.until) {
			delete(q.records, fingerprint)
		}
	}
	for part, r := range q.parts {
		if !now.Before(r.until) {
			delete(q.parts, part)
		}
	}
}

func (q *Quarantine) add(now time.Time, e QuarantineEntry) bool {
	if e.Fingerprint == 0 || e.ValidFor <= 0 || len(e.CrashedTargets) == 0 {
		return false
	}
	if e.Part {
		return q.addPart(now, e)
	}
	r, ok := q.records[e.Fingerprint]
	if !ok || !now.Before(r.until) {
		q.evictIfFull(now)
		r = &quarantineRecord{}
		q.records[e.Fingerprint] = r
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
	if crashes > r.crashes {
		r.crashes, r.counted = crashes, now
	}
	r.known = lastTargets(append(r.known, unseen...))
	r.crashed = lastTargets(append(r.crashed, unseen...))
	r.until = later(r.until, now.Add(e.ValidFor))
	return true
}

// serve applies the entry of a peer whose target served the request after some crashes.
func (r *quarantineRecord) serve(e QuarantineEntry) bool {
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

func (q *Quarantine) evictIfFull(now time.Time) {
	if len(q.records) < maxQuarantineRecords {
		return
	}
	q.Expire(now)
	if len(q.records) < maxQuarantineRecords {
		return
	}
	var first uint64
	var until time.Time
	for fingerprint, r := range q.records {
		if until.IsZero() || r.until.Before(until) || (r.until.Equal(until) && fingerprint < first) {
			first, until = fingerprint, r.until
		}
	}
	delete(q.records, first)
}

func (q *Quarantine) verdict(now time.Time, r *quarantineRecord) Verdict {
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

// isExplained reports whether another request ran on all of the crashed targets and crashed
// more of them, so that a sound request whose content many callers send is not blamed for
// it. If both have crashed the same two targets, either may be the cause, and the next
// crash tells.
func (q *Quarantine) isExplained(now time.Time, r *quarantineRecord) bool {
	for _, other := range q.records {
		if other == r || !now.Before(other.until) || len(unseenTargets(other.crashed, r.crashed)) > 0 {
			continue
		}
		if len(other.crashed) > len(r.crashed) || len(r.crashed) == QuarantineCrashes {
			return true
		}
	}
	return false
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
