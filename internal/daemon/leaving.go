package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilloom/basilloom/membership"
)

// roleLeaving is the role that a leaving target reports.
const roleLeaving = "leaving"

// leavingTargets holds the targets that are leaving according to shared facts or to
// their own reports.
type leavingTargets struct {
	// fromFacts holds the targets that are leaving according to shared facts.
	fromFacts atomic.Pointer[map[string]bool]

	mu sync.Mutex
	// reported holds the times at which targets last reported that they are leaving.
	// Facts are valid for one generation only; this map keeps requests away from a
	// target between a new generation and its next report.
	reported map[string]time.Time
}

// reportValidity covers several report intervals of a target. Only the broker polls
// for reports.
const reportValidity = 5 * time.Second

// Leaving implements entry.Targets.
func (l *leavingTargets) Leaving(target string) bool {
	if leaving := l.fromFacts.Load(); leaving != nil && (*leaving)[target] {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.reported[target]) < reportValidity
}

// setReported records whether the target reports that it is leaving.
func (l *leavingTargets) setReported(target string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported == nil {
		l.reported = make(map[string]time.Time)
	}
	if leaving {
		l.reported[target] = time.Now()
		return
	}
	delete(l.reported, target)
}

// reportedTargets returns the targets that report that they are leaving.
func (l *leavingTargets) reportedTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.reported, func(_ string, at time.Time) bool { return time.Since(at) >= reportValidity })
	return slices.Collect(maps.Keys(l.reported))
}

// update applies the facts shared between instances. A leaving fact is valid for the
// generation in which it was published; a later generation that does not list the target
// as leaving ends it.
func (l *leavingTargets) update(facts []membership.Leaving, generation int64) {
	leaving := make(map[string]bool, len(facts))
	for _, f := range facts {
		if f.Generation >= generation {
			leaving[f.Target] = true
		}
	}
	l.fromFacts.Store(&leaving)
}
