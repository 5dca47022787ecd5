package gateway

import (
	"sync"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
)

// exclusions records the targets to which this instance must not send for a time.
type exclusions struct {
	mu      sync.Mutex
	targets map[string]exclusion
}

type exclusion struct {
	// startedAtUnixMilli identifies the start of the target that is excluded.
	startedAtUnixMilli int64
	until              time.Time
}

// minExtension is the least time by which an exclusion is extended.
const minExtension = 100 * time.Millisecond

// add excludes a target until the time and reports whether it was not excluded for about
// as long already. Each response of a leaving target would otherwise extend the exclusion.
func (e *exclusions) add(target routing.Target, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.targets == nil {
		e.targets = make(map[string]exclusion)
	}
	x, ok := e.targets[target.ID]
	if ok && x.startedAtUnixMilli == target.StartedAtUnixMilli && until.Sub(x.until) < minExtension {
		return false
	}
	e.targets[target.ID] = exclusion{target.StartedAtUnixMilli, until}
	return true
}

// contains reports whether this start of the target is excluded.
func (e *exclusions) contains(target routing.Target, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.targets[target.ID]
	return ok && x.startedAtUnixMilli == target.StartedAtUnixMilli && now.Before(x.until)
}

// setOn sets the excluded targets among those that groups has on a ticket. A target whose
// registry entry has gone stays excluded, because the entry may only have lapsed.
func (e *exclusions) setOn(ticket *pb.Ticket, groups *Groups, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ticket.Excluded, ticket.ExcludedMs = nil, nil
	for id, x := range e.targets {
		target, known := groups.Target(id)
		switch {
		case !now.Before(x.until), known && target.StartedAtUnixMilli != x.startedAtUnixMilli:
			delete(e.targets, id)
		case known:
			ticket.Excluded = append(ticket.Excluded, id)
			ticket.ExcludedMs = append(ticket.ExcludedMs, x.until.Sub(now).Milliseconds()+1)
		}
	}
}
