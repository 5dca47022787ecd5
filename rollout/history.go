package rollout

import (
	"time"

	"github.com/basilloom/basilloom/moves"
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
	routes map[uint32]*Evidence
}

// recent adds the current state and returns the evidence since the one that is recentTime
// old, or nil if there is none.
func (h *history) recent(now time.Time, routes map[uint32]*Evidence) map[uint32]*Evidence {
	if n := len(h.snapshots); n == 0 || now.Sub(h.snapshots[n-1].at) >= snapshotInterval {
		h.snapshots = append(h.snapshots, snapshot{now, routes})
	}
	for len(h.snapshots) > 1 && now.Sub(h.snapshots[1].at) >= recentTime {
		h.snapshots = h.snapshots[1:]
	}
	if now.Sub(h.snapshots[0].at) < recentTime {
		return nil
	}
	recent := make(map[uint32]*Evidence)
	for route, e := range routes {
		before, ok := h.snapshots[0].routes[route]
		if !ok {
			recent[route] = e
			continue
		}
		if since, ok := e.since(before); ok {
			recent[route] = since
		}
	}
	return recent
}

// since returns the evidence after an earlier state. It reports false if there is less than
// before, because an instance has restarted or its reports have stopped.
func (e *Evidence) since(before *Evidence) (*Evidence, bool) {
	since := &Evidence{
		From:      moves.Totals{Requests: e.From.Requests - before.From.Requests, Failures: e.From.Failures - before.From.Failures},
		To:        moves.Totals{Requests: e.To.Requests - before.To.Requests, Failures: e.To.Failures - before.To.Failures},
		FromTimes: e.FromTimes.minus(before.FromTimes), ToTimes: e.ToTimes.minus(before.ToTimes),
		FromGaps: e.FromGaps.minus(before.FromGaps), ToGaps: e.ToGaps.minus(before.ToGaps),
	}
	least := min(float64(since.From.Requests), float64(since.From.Failures), float64(since.To.Requests), float64(since.To.Failures),
		since.FromTimes.count, since.ToTimes.count, since.FromGaps.count, since.ToGaps.count)
	return since, least >= 0
}

func (t Times) minus(before Times) Times {
	return Times{t.count - before.count, t.logSum - before.logSum, t.logSquareSum - before.logSquareSum}
}
