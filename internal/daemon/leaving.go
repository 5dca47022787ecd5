package daemon

import (
	"sync/atomic"

	"github.com/basilloom/basilloom/membership"
)

// leavingTargets holds the targets that any source knows as leaving.
type leavingTargets struct {
	set atomic.Pointer[map[string]bool]
}

// Leaving implements entry.Targets.
func (l *leavingTargets) Leaving(target string) bool {
	set := l.set.Load()
	return set != nil && (*set)[target]
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
