package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilloom/basilloom/membership"
)

// roleLeaving is the role by which a target itself reports that it is leaving.
const roleLeaving = "leaving"

// leavingTargets holds the targets that any source knows as leaving.
type leavingTargets struct {
	set atomic.Pointer[map[string]bool]

	mu sync.Mutex
	// reported holds when targets last reported so themselves. It is apart from the
	// facts, which count for one generation: the target must get no work between
	// a new generation and its next report.
	reported map[string]time.Time
}

// reportValidity outlasts a few reports of a target; only the broker asks for them.
const reportValidity = 5 * time.Second

// Leaving implements entry.Targets.
func (l *leavingTargets) Leaving(target string) bool {
	if set := l.set.Load(); set != nil && (*set)[target] {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.reported[target]) < reportValidity
}

// setReported records what the target reports of itself.
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

// update takes over the facts that spread between instances. A leaving notice
// counts for the generation in which it was given; a later generation that
// lists the target as staying ends it.
func (l *leavingTargets) update(facts []membership.Leaving, generation int64) {
	set := make(map[string]bool, len(facts))
	for _, f := range facts {
		if f.Generation >= generation {
			set[f.Target] = true
		}
	}
	l.set.Store(&set)
}
