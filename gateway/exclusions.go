package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/basilloom/basilloom/routing"
)

// exclusions records the targets to which this instance must not send for a time.
type exclusions struct {
	mu      sync.Mutex
	targets map[string]exclusion
}

type exclusion struct {
	// startedAt identifies the start of the target that is excluded.
	startedAtUnixMilli int64
	until              time.Time
}

// add excludes a target until the time, if it is not excluded for longer already.
func (e *exclusions) add(target routing.Target, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.targets == nil {
		e.targets = make(map[string]exclusion)
	}
	x := e.targets[target.ID]
	if x.startedAtUnixMilli != target.StartedAtUnixMilli || until.After(x.until) {
		e.targets[target.ID] = exclusion{target.StartedAtUnixMilli, until}
	}
}

// contains reports whether this start of the target is excluded.
func (e *exclusions) contains(target routing.Target, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.targets[target.ID]
	return ok && x.startedAtUnixMilli == target.StartedAtUnixMilli && now.Before(x.until)
}

// ids returns the sorted ids of the excluded targets among those that groups has.
func (e *exclusions) ids(groups *Groups, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, x := range e.targets {
		target, known := groups.Target(id)
		if !known || target.StartedAtUnixMilli != x.startedAtUnixMilli || !now.Before(x.until) {
			delete(e.targets, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
