package scheduler

import (
	"slices"
	"time"
)

// Limits of the records of prompt parts.
const (
	// PartCrashes is the number of crashes without a response in between that
	// quarantines a part.
	PartCrashes = 2
	// trialTimeout is how long requests with a suspect part wait for one of them to
	// begin. A target that does not respond must not hold up the others.
	trialTimeout = 600 * time.Millisecond
	// partRetryBackoff is the time after the last crash after which one request with a
	// quarantined part may run again. Each further crash multiplies it by
	// partRetryFactor.
	partRetryBackoff = 10 * time.Second
	partRetryFactor  = 4
	// maxPartCompanions bounds a record, as maxRecordTargets does.
	maxPartCompanions = 4
)

// The record of a part counts the crashes under requests that had not begun to receive their
// response. A request that begins shows that none of its parts crashes targets.

// partQuarantined reports whether the record is that of a quarantined part.
func (r *record) partQuarantined() bool { return r.crashes >= PartCrashes }

// retryAt returns when one request with the quarantined part may run again.
func (r *record) retryAt() time.Time {
	backoff := partRetryBackoff
	for range r.crashes - PartCrashes {
		backoff = min(partRetryFactor*backoff, QuarantineDuration)
	}
	return r.last.Add(backoff)
}

// part returns the record of a part that crashes are counted for, or nil.
func (q *Quarantine) part(now time.Time, part uint64) *record {
	if r, ok := q.parts[part]; ok && r.crashes > 0 && now.Before(r.until) {
		return r
	}
	return nil
}

// RecordPartCrash records that the target crashed while it ran a request with the part
// that had not begun; companions are the other parts of its prompt. A request that was
// granted before the last crash was known is no further evidence: a failure of many
// targets at once would otherwise count for each of them.
func (q *Quarantine) RecordPartCrash(now time.Time, part uint64, target string, companions []uint64, granted time.Time) bool {
	if r := q.part(now, part); r != nil && !granted.After(r.last) {
		return false
	}
	crashes := 1
	if r := q.part(now, part); r != nil {
		crashes += r.crashes
	}
	return q.add(now, CrashEvidence{
		Fingerprint: part, Part: true, ValidFor: QuarantineDuration, CrashedTargets: []string{target},
		Crashes: crashes, Companions: companions,
	})
}

// RecordPartBegun records that a request with the part has begun to receive its response.
// It reports whether crashes were counted for the part.
func (q *Quarantine) RecordPartBegun(now time.Time, part uint64) bool {
	r := q.part(now, part)
	if r == nil {
		return false
	}
	r.clear()
	return true
}

// verdict returns the treatment of a ticket: the strictest of those of its fingerprint
// and its parts.
func (g *Group) verdict(now time.Time, t *Ticket) (Verdict, time.Duration) {
	strictest, remaining := g.quarantine.Verdict(now, t.Fingerprint)
	for _, part := range t.SharedParts {
		r := g.quarantine.part(now, part)
		if r == nil {
			continue
		}
		if v := g.partVerdict(now, t, part, r); v > strictest {
			strictest, remaining = v, r.until.Sub(now)
		}
	}
	return strictest, remaining
}

// partVerdict returns VerdictQuarantined only if the part itself must be the cause of the
// crashes: no other request with it is about to begin, and none of its companions that is
// quarantined as well is missing from the ticket.
func (g *Group) partVerdict(now time.Time, t *Ticket, part uint64, r *record) Verdict {
	if !r.partQuarantined() || g.isOnTrial(now, part) {
		return VerdictTrial
	}
	if !g.cfg.NoPartRetries && !now.Before(r.retryAt()) {
		return VerdictTrial
	}
	for _, companion := range r.companions {
		c := g.quarantine.part(now, companion)
		if c != nil && c.partQuarantined() && !slices.Contains(t.SharedParts, companion) {
			return VerdictTrial
		}
	}
	return VerdictQuarantined
}

// isOnTrial reports whether a request with the part was granted recently and has not
// begun.
func (g *Group) isOnTrial(now time.Time, part uint64) bool {
	return slices.ContainsFunc(g.unbegun[part], func(r *run) bool { return now.Sub(r.granted) < trialTimeout })
}

// awaitsTrial reports whether the ticket has to wait because another request with a
// suspect part is about to begin.
func (g *Group) awaitsTrial(now time.Time, t *Ticket) bool {
	return slices.ContainsFunc(t.SharedParts, func(part uint64) bool {
		return g.quarantine.part(now, part) != nil && g.isOnTrial(now, part)
	})
}

// placeTrial grants the ticket a target on which no other suspect part is on trial, so
// that a crash is evidence against one of them only.
func (g *Group) placeTrial(now time.Time, w *waiting) (Decision, bool) {
	var free []*targetState
	for _, s := range w.class.set.open {
		if s.trials == 0 && len(free) < maxFullScan {
			free = append(free, s)
		}
	}
	if s, best, _ := g.choose(now, w, free); s != nil {
		return g.grant(now, w, s, best), true
	}
	return nil, false
}

// Begun records that a granted request has begun to receive its response.
func (g *Group) Begun(now time.Time, id TicketID) []Decision {
	g.now = now
	r, ok := g.running[id]
	if !ok || !g.markBegun(now, r) {
		return nil
	}
	return g.decide(now)
}

// markBegun ends the trial of a run and clears its parts. It reports whether crashes were
// counted for one of them.
func (g *Group) markBegun(now time.Time, r *run) bool {
	if r.begun {
		return false
	}
	g.endTrial(r)
	r.begun = true
	r.send.received(now)
	return g.clearParts(now, r.ticket.SharedParts)
}

func (g *Group) clearParts(now time.Time, parts []uint64) bool {
	cleared := false
	for _, part := range parts {
		cleared = g.quarantine.RecordPartBegun(now, part) || cleared
	}
	return cleared
}

// PartsBegun records that a request with the parts has begun to receive its response, on
// a target of this group or of another one.
func (g *Group) PartsBegun(now time.Time, parts []uint64) []Decision {
	g.now = now
	if !g.clearParts(now, parts) {
		return nil
	}
	return g.decide(now)
}

// beginTrial adds a run to those that have not begun.
func (g *Group) beginTrial(r *run) {
	for _, part := range r.ticket.SharedParts {
		g.unbegun[part] = append(g.unbegun[part], r)
	}
	if r.trial {
		r.target.trials++
	}
}

// endTrial removes a run from those that have not begun.
func (g *Group) endTrial(r *run) {
	if r.begun {
		return
	}
	for _, part := range r.ticket.SharedParts {
		left := slices.DeleteFunc(g.unbegun[part], func(other *run) bool { return other == r })
		if len(left) == 0 {
			delete(g.unbegun, part)
			continue
		}
		g.unbegun[part] = left
	}
	if r.trial {
		r.target.trials--
	}
}
