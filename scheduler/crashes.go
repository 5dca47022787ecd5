package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// cancelledRunRetention is how long after its cancellation a request may turn out to
	// have crashed its target: the target may go on with it, and another instance may
	// notice the crash and report it.
	cancelledRunRetention = time.Second
	// maxCancelledRuns bounds the cancelled requests that are kept for each target.
	maxCancelledRuns = 16
)

// cancelledRun is a request that was cancelled before it began to receive its response.
type cancelledRun struct {
	run *run
	at  time.Time
}

// startID identifies a start of a target in crash evidence.
func (t *Target) startID() string {
	if t.Start == 0 {
		return t.Name
	}
	return t.Name + "@" + strconv.FormatInt(t.Start, 36)
}

// targetOfStart returns the target whose current start has the id.
func (g *Group) targetOfStart(id string) (*targetState, bool) {
	name := id
	if at := strings.LastIndexByte(id, '@'); at >= 0 {
		name = id[:at]
	}
	for _, candidate := range []string{name, id} {
		if s, ok := g.targets[candidate]; ok && s.startID() == id {
			return s, true
		}
	}
	return nil, false
}

// recordCrash records a crash of a run's target for the request and its parts.
func (g *Group) recordCrash(now time.Time, r *run, begun bool) {
	g.crashRecorded = true
	g.quarantine.RecordCrash(now, r.ticket.Fingerprint, r.target.startID(), begun, r.granted)
	if begun {
		return
	}
	for k, part := range r.ticket.SharedParts {
		companions := slices.Delete(slices.Clone(r.ticket.SharedParts), k, k+1)
		g.quarantine.RecordPartCrash(now, part, r.target.startID(), companions, r.granted)
	}
}

// keepCancelled keeps a cancelled request for a crash of its target that is noticed later.
func (s *targetState) keepCancelled(now time.Time, r *run) {
	s.cancelled = append(s.cancelled[max(0, len(s.cancelled)-maxCancelledRuns+1):], cancelledRun{r, now})
}

// recordCancelled records a crash of the target for the requests that were cancelled on it
// shortly before.
func (g *Group) recordCancelled(now time.Time, s *targetState) {
	for _, c := range s.cancelled {
		if now.Sub(c.at) <= cancelledRunRetention {
			g.recordCrash(now, c.run, false)
		}
	}
	s.cancelled = nil
}

// SetQuarantined merges the suspects and quarantined fingerprints that other
// instances reported.
func (g *Group) SetQuarantined(now time.Time, entries []CrashEvidence) []Decision {
	g.now = now
	for _, e := range entries {
		if !g.quarantine.Merge(now, []CrashEvidence{e}) || e.Served {
			continue
		}
		for _, id := range e.CrashedTargets {
			if s, ok := g.targetOfStart(id); ok {
				g.recordCancelled(now, s)
			}
		}
	}
	return g.decide(now)
}

// TakeCrashRecorded reports whether a crash was recorded since the last call, so that
// Quarantined has entries to send to other instances.
func (g *Group) TakeCrashRecorded() bool {
	recorded := g.crashRecorded
	g.crashRecorded = false
	return recorded
}
