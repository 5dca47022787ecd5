package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilloom/basilloom/membership"
)

// roleLeaving is the role by which a target itself says that it is leaving.
const roleLeaving = "leaving"

// leavingTargets holds the targets that any source knows as leaving.
type leavingTargets struct {
	set atomic.Pointer[map[string]bool]

	mu sync.Mutex
	// said holds when targets last said so themselves. It is apart from the
	// facts, which count for one generation: the target must get no work between
	// a new generation and its next report.
	said map[string]time.Time
}

// saidValidity outlasts a few reports of a target; only the broker asks for them.
const saidValidity = 5 * time.Second

// Leaving implements entry.Targets.
func (l *leavingTargets) Leaving(target string) bool {
	if set := l.set.Load(); set != nil && (*set)[target] {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.said[target]) < saidValidity
}

// setSaid records the target's own word.
func (l *leavingTargets) setSaid(target string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.said == nil {
		l.said = make(map[string]time.Time)
	}
	if leaving {
		l.said[target] = time.Now()
		return
	}
	delete(l.said, target)
}

// saidTargets returns the targets that say that they are leaving.
func (l *leavingTargets) saidTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.said, func(_ string, at time.Time) bool { return time.Since(at) >= saidValidity })
	return slices.Collect(maps.Keys(l.said))
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
