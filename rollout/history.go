package rollout

import (
	"time"

	"github.com/basilloom/basilloom/evidence"
)

const (
	// recentTime is the time over which recent evidence is summed. A version may become
	// worse after many good responses, which hide it in the sums since the order.
	recentTime = 4 * time.Second
	// snapshotInterval is the time between two kept states of the evidence.
	snapshotInterval = 500 * time.Millisecond
)

// history keeps earlier states of the evidence for an order, oldest first.
type history struct{ snapshots []snapshot }

type snapshot struct {
	at     time.Time
	routes map[uint32]*evidence.Pair
}

// recent adds the current state and returns the evidence since the one that is recentTime
// old, or nil if there is none.
func (h *history) recent(now time.Time, routes map[uint32]*evidence.Pair) map[uint32]*evidence.Pair {
	if n := len(h.snapshots); n == 0 || now.Sub(h.snapshots[n-1].at) >= snapshotInterval {
		h.snapshots = append(h.snapshots, snapshot{now, routes})
	}
	for len(h.snapshots) > 1 && now.Sub(h.snapshots[1].at) >= recentTime {
		h.snapshots = h.snapshots[1:]
	}
	if now.Sub(h.snapshots[0].at) < recentTime {
		return nil
	}
	recent := make(map[uint32]*evidence.Pair)
	for route, pair := range routes {
		before, ok := h.snapshots[0].routes[route]
		if !ok {
			recent[route] = pair
			continue
		}
		if later, ok := since(pair, before); ok {
			recent[route] = later
		}
	}
	return recent
}

func since(pair, before *evidence.Pair) (*evidence.Pair, bool) {
	from, fromOK := pair.From.Since(&before.From)
	to, toOK := pair.To.Since(&before.To)
	return &evidence.Pair{From: from, To: to}, fromOK && toOK
}
