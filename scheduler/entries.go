package scheduler

import "time"

// EntryDisconnected drops the waiting tickets of an entry whose stream ended and
// reclaims its unused grants. Its running requests keep their slots for
// OrphanGrace, because the entry may reconnect and report them.
func (g *Group) EntryDisconnected(now time.Time, instance string, incarnation uint64) {
	g.now = now
	belongs := func(id TicketID) bool { return id.Instance == instance && id.Incarnation == incarnation }
	for id, w := range g.queue.byID {
		if belongs(id) {
			g.dropWaiting(w)
		}
	}
	for id, r := range g.running {
		switch {
		case !belongs(id):
		case r.dispatched:
			r.orphaned = now
		default:
			g.reclaim(now, r)
		}
	}
}

// EntryRestarted drops all tickets of the earlier processes of an instance. The
// connections of those processes to their targets ended with them.
func (g *Group) EntryRestarted(now time.Time, instance string, incarnation uint64) {
	g.now = now
	earlier := func(id TicketID) bool { return id.Instance == instance && id.Incarnation < incarnation }
	for id, w := range g.queue.byID {
		if earlier(id) {
			g.dropWaiting(w)
		}
	}
	for id, r := range g.running {
		if earlier(id) {
			g.releaseOrphan(now, r)
		}
	}
}

// EntryReconnected frees the slots of an entry's requests that ended while it had
// no stream. Call it after the entry has reconnected and Adopt was called for each
// request that still runs.
func (g *Group) EntryReconnected(now time.Time, instance string, incarnation uint64) {
	g.now = now
	for id, r := range g.running {
		if id.Instance == instance && id.Incarnation == incarnation && !r.orphaned.IsZero() {
			g.releaseOrphan(now, r)
		}
	}
}

// EntryID identifies an entry and one of its starts.
type EntryID struct {
	Instance    string
	Incarnation uint64
}

// Orphans counts the running requests of the entries whose streams have ended, by entry
// and target.
func (g *Group) Orphans() map[EntryID]map[string]int {
	counts := make(map[EntryID]map[string]int)
	for id, r := range g.running {
		if r.orphaned.IsZero() {
			continue
		}
		entry := EntryID{id.Instance, id.Incarnation}
		if counts[entry] == nil {
			counts[entry] = make(map[string]int)
		}
		counts[entry][r.target.Name]++
	}
	return counts
}

// ReleaseOrphans frees the slots of an entry's requests if its stream ended before the
// time. The entry's reports tell then what still runs, and it is counted as external load.
func (g *Group) ReleaseOrphans(now time.Time, entry EntryID, before time.Time) {
	g.now = now
	for id, r := range g.running {
		if id.Instance == entry.Instance && id.Incarnation == entry.Incarnation && !r.orphaned.IsZero() && r.orphaned.Before(before) {
			g.releaseOrphan(now, r)
		}
	}
}

// releaseOrphans frees the slots of requests whose entry did not reconnect.
func (g *Group) releaseOrphans(now time.Time) {
	for _, r := range g.running {
		if !r.orphaned.IsZero() && now.Sub(r.orphaned) > OrphanGrace {
			g.releaseOrphan(now, r)
		}
	}
}

func (g *Group) releaseOrphan(now time.Time, r *run) {
	g.probeEnded(r)
	g.stop(now, r)
}
