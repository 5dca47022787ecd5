package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// waiting is a ticket in the queue.
type waiting struct {
	ticket Ticket
	// sequence increases with each arrival.
	sequence uint64
	class    *class
	// start is the ticket's start tag in its tier's virtual time, cost its length.
	start, cost float64
	// latest is the last time at which a dispatch could still meet the deadline.
	latest time.Time
	// answerBy is the end of the wait that leaves the caller time for a refusal; zero
	// without one.
	answerBy time.Time
	// classIndex and latestIndex are positions in the heaps, -1 when not in them.
	classIndex, latestIndex int
	// older and newer are the neighbours in the tier's order of arrival.
	older, newer *waiting
	// victim is the running request that was cancelled for this ticket.
	victim    TicketID
	hasVictim bool
}

// queue holds the waiting tickets: strict order between tiers, start-time fair
// queueing between the workspaces of a tier. Each operation costs at most the
// logarithm of the queue's length, except EntryDisconnected and EntryRestarted,
// which visit all tickets.
type queue struct {
	tiers    []*tierQueue
	byID     map[TicketID]*waiting
	latest   latestHeap
	sequence uint64
}

// tierQueue holds the tickets of one tier.
type tierQueue struct {
	rank Rank
	// virtualTime is the highest start tag of the tickets granted so far.
	virtualTime float64
	// finish is the finish tag of each workspace's last ticket, in virtual time.
	finish    map[string]float64
	maxFinish float64
	classes   []*class
	oldest    *waiting
	newest    *waiting
	count     int
	// lastRefused is when a ticket of the tier was last refused.
	lastRefused time.Time
}

// class holds the tickets of one tier that require the same version and allow the same
// regions. If their set has no open target, they are skipped together. Suspects have
// separate classes: they wait for an idle target and, at the head of a shared class, would
// block the other tickets.
type class struct {
	tier     *tierQueue
	set      *versionSet
	suspects bool
	tickets  classHeap
	// origin is the zone and kind of the tickets, nil without spill.
	origin *origin
	hold   hold
}

func newQueue() *queue {
	return &queue{byID: make(map[TicketID]*waiting)}
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) tier(rank Rank) *tierQueue {
	i, ok := slices.BinarySearchFunc(q.tiers, rank, func(t *tierQueue, r Rank) int { return int(t.rank - r) })
	if !ok {
		q.tiers = slices.Insert(q.tiers, i, &tierQueue{rank: rank, finish: make(map[string]float64)})
	}
	return q.tiers[i]
}

func (t *tierQueue) class(set *versionSet, suspects bool, from *origin) *class {
	for _, c := range t.classes {
		if c.set == set && c.suspects == suspects && c.origin == from {
			return c
		}
	}
	c := &class{tier: t, set: set, suspects: suspects, origin: from}
	t.classes = append(t.classes, c)
	return c
}

// push adds a ticket. cost is its length in virtual time, latest the last useful time of a
// dispatch.
func (q *queue) push(ticket Ticket, set *versionSet, cost float64, latest time.Time, suspect bool, from *origin) *waiting {
	tier := q.tier(ticket.Tier)
	q.sequence++
	w := &waiting{ticket: ticket, sequence: q.sequence, latest: latest, cost: cost}
	w.class = tier.class(set, suspect, from)
	w.start = max(tier.virtualTime, tier.finish[ticket.Workspace])
	end := w.start + w.cost
	tier.finish[ticket.Workspace] = end
	tier.maxFinish = max(tier.maxFinish, end)
	w.older = tier.newest
	if w.older != nil {
		w.older.newer = w
	} else {
		tier.oldest = w
	}
	tier.newest = w
	tier.count++
	q.byID[ticket.ID] = w
	heap.Push(&w.class.tickets, w)
	heap.Push(&q.latest, w)
	return w
}

// virtualCost is a ticket's length in virtual time; tickets without tokens count as one.
func virtualCost(t *Ticket, output int) float64 {
	return float64(max(1, t.PromptTokens+output)) / weightOf(t)
}

// removeGranted removes a ticket that was granted a target.
func (q *queue) removeGranted(w *waiting) {
	tier := w.class.tier
	tier.virtualTime = max(tier.virtualTime, w.start)
	q.unlink(w)
}

// drop removes a ticket that was not served and deducts its cost from its
// workspace's finish tag.
func (q *queue) drop(w *waiting) {
	tier := w.class.tier
	tier.finish[w.ticket.Workspace] = max(tier.virtualTime, tier.finish[w.ticket.Workspace]-w.cost)
	q.unlink(w)
}

func (q *queue) unlink(w *waiting) {
	tier := w.class.tier
	if w.older != nil {
		w.older.newer = w.newer
	} else {
		tier.oldest = w.newer
	}
	if w.newer != nil {
		w.newer.older = w.older
	} else {
		tier.newest = w.older
	}
	w.older, w.newer = nil, nil
	tier.count--
	delete(q.byID, w.ticket.ID)
	if w.classIndex >= 0 {
		heap.Remove(&w.class.tickets, w.classIndex)
	}
	if w.latestIndex >= 0 {
		heap.Remove(&q.latest, w.latestIndex)
	}
	if tier.count == 0 {
		// At the end of a busy period, all workspaces start from the same virtual time.
		tier.virtualTime = max(tier.virtualTime, tier.maxFinish)
	}
}

// setSuspect moves a ticket to the class of the suspects or of the other tickets
// of its tier.
func (q *queue) setSuspect(w *waiting, suspect bool) {
	heap.Remove(&w.class.tickets, w.classIndex)
	w.class = w.class.tier.class(w.class.set, suspect, w.class.origin)
	heap.Push(&w.class.tickets, w)
}

// setLatest changes the last useful time of a ticket's dispatch.
func (q *queue) setLatest(w *waiting, latest time.Time) {
	w.latest = latest
	heap.Fix(&q.latest, w.latestIndex)
}

// newestOfLowestTier returns the newest ticket of the lowest waiting tier, or nil.
func (q *queue) newestOfLowestTier() *waiting {
	for _, tier := range slices.Backward(q.tiers) {
		if tier.count > 0 {
			return tier.newest
		}
	}
	return nil
}

// waitingAbove counts the tickets of the tiers higher than the given one.
func (q *queue) waitingAbove(rank Rank) int { return q.waitingAtOrAbove(rank - 1) }

// waitingAtOrAbove counts the tickets of the given tier and the higher ones.
func (q *queue) waitingAtOrAbove(rank Rank) int {
	n := 0
	for _, tier := range q.tiers {
		if tier.rank <= rank {
			n += tier.count
		}
	}
	return n
}

// prune deletes the workspaces whose finish tag is not beyond the virtual time,
// and the classes without tickets.
func (q *queue) prune() {
	for _, tier := range q.tiers {
		for workspace, finish := range tier.finish {
			if finish <= tier.virtualTime {
				delete(tier.finish, workspace)
			}
		}
		tier.classes = slices.DeleteFunc(tier.classes, func(c *class) bool { return len(c.tickets) == 0 })
	}
}

// classHeap orders the tickets of a class by start tag, then arrival.
type classHeap []*waiting

func (h classHeap) Len() int { return len(h) }
func (h classHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
}

func (h classHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].classIndex, h[j].classIndex = i, j
}

// Push implements heap.Interface.
func (h *classHeap) Push(x any) {
	w := x.(*waiting)
	w.classIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *classHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	w.classIndex = -1
	return w
}

// latestHeap orders tickets by the last useful time of their dispatch.
type latestHeap []*waiting

func (h latestHeap) Len() int { return len(h) }
func (h latestHeap) Less(i, j int) bool {
	if !h[i].latest.Equal(h[j].latest) {
		return h[i].latest.Before(h[j].latest)
	}
	return h[i].sequence < h[j].sequence
}

func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].latestIndex, h[j].latestIndex = i, j
}

// Push implements heap.Interface.
func (h *latestHeap) Push(x any) {
	w := x.(*waiting)
	w.latestIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *latestHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	w.latestIndex = -1
	return w
}
