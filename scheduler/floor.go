package scheduler

import (
	"maps"
	"slices"
	"time"
)

// FloorValidity is the time for which a shed floor holds without renewal.
const FloorValidity = 5 * time.Second

// FloorRequest asks the broker to have the sibling groups stop accepting tiers
// with a rank above Highest for ValidFor. It repeats while the overload lasts.
type FloorRequest struct {
	Highest  Rank
	ValidFor time.Duration
	Siblings []int
}

func (FloorRequest) decision() {}

// floor is the state of the shed floor between sibling groups: what this group
// asked of its siblings and what they asked of it.
type floor struct {
	// lowest is the lowest tier there is, which needs no floor to be shed; negative if unknown.
	lowest   Rank
	siblings map[int]*sibling
	// accepted holds the end of each floor; a laxer floor must outlive a stricter one.
	accepted map[floorKey]time.Time
	wanted   heldFloor
	asked    time.Time
}

// sibling is what this group knows of one sibling group.
type sibling struct {
	acked heldFloor
	// unreachable siblings are left out: invariant 2 binds instances that can reach each other.
	unreachable bool
}

type floorKey struct {
	shard   int
	highest Rank
}

// heldFloor shuts out the ranks above highest until the given time.
type heldFloor struct {
	highest Rank
	until   time.Time
}

func (h heldFloor) holds(now time.Time) bool { return now.Before(h.until) }

func newFloor(siblings []int, lowest Rank) *floor {
	f := &floor{lowest: lowest, siblings: make(map[int]*sibling), accepted: make(map[floorKey]time.Time)}
	f.setSiblings(siblings)
	return f
}

func (f *floor) setSiblings(shards []int) {
	for shard := range f.siblings {
		if !slices.Contains(shards, shard) {
			delete(f.siblings, shard)
		}
	}
	for _, shard := range shards {
		if f.siblings[shard] == nil {
			f.siblings[shard] = &sibling{}
		}
	}
}

func (f *floor) setReachable(shard int, reachable bool) {
	if s, ok := f.siblings[shard]; ok {
		s.unreachable = !reachable
		if !reachable {
			s.acked = heldFloor{}
		}
	}
}

// mayShed reports whether every reachable sibling has shut out the tiers below the given one.
func (f *floor) mayShed(now time.Time, tier Rank) bool {
	if f.lowest >= 0 && tier >= f.lowest {
		return true
	}
	for _, s := range f.siblings {
		if s.unreachable {
			continue
		}
		if !s.acked.holds(now) || s.acked.highest > tier {
			return false
		}
	}
	return true
}

// want records that the group needs to shed the tier and returns the request to
// send, if one is due.
func (f *floor) want(now time.Time, tier Rank) (FloorRequest, bool) {
	if len(f.siblings) == 0 || (f.lowest >= 0 && tier >= f.lowest) {
		return FloorRequest{}, false
	}
	lower := !f.wanted.holds(now) || tier < f.wanted.highest
	if lower {
		f.wanted.highest = tier
		f.asked = time.Time{}
	}
	if tier == f.wanted.highest {
		// A stricter floor that is no longer needed is left to run out.
		f.wanted.until = now.Add(FloorValidity)
	}
	return f.request(now)
}

// renew returns the request to repeat while the overload lasts.
func (f *floor) renew(now time.Time) (FloorRequest, bool) {
	if !f.wanted.holds(now) {
		return FloorRequest{}, false
	}
	return f.request(now)
}

// request asks at most once in a fifth of the validity, so that a lost message
// is repeated several times before a floor ends.
func (f *floor) request(now time.Time) (FloorRequest, bool) {
	if !f.asked.IsZero() && now.Sub(f.asked) < FloorValidity/5 {
		return FloorRequest{}, false
	}
	f.asked = now
	shards := slices.Sorted(maps.Keys(f.siblings))
	return FloorRequest{Highest: f.wanted.highest, ValidFor: FloorValidity, Siblings: shards}, true
}

// acked records a sibling's acknowledgement. The validity counts from the time
// of the request, which is the earlier of the two ends.
func (f *floor) acked(now time.Time, shard int, highest Rank, valid time.Duration) {
	s, ok := f.siblings[shard]
	if !ok {
		return
	}
	s.unreachable = false
	ack := heldFloor{highest: highest, until: now.Add(valid)}
	if s.acked.holds(now) && s.acked.highest < highest {
		return
	}
	s.acked = ack
}

// accept records a floor that a sibling asked for.
func (f *floor) accept(now time.Time, shard int, highest Rank, valid time.Duration) {
	key := floorKey{shard, highest}
	f.accepted[key] = later(f.accepted[key], now.Add(min(valid, FloorValidity)))
}

// current returns the strictest accepted floor in force.
func (f *floor) current(now time.Time) (heldFloor, bool) {
	var strictest heldFloor
	found := false
	for key, until := range f.accepted {
		if !now.Before(until) {
			delete(f.accepted, key)
			continue
		}
		switch {
		case !found || key.highest < strictest.highest:
			strictest, found = heldFloor{key.highest, until}, true
		case key.highest == strictest.highest:
			strictest.until = later(strictest.until, until)
		}
	}
	return strictest, found
}

// AcceptFloor shuts out the tiers with a rank above highest on behalf of a
// sibling and refuses the waiting tickets of those tiers. The broker
// acknowledges after it has sent these refusals.
func (g *Group) AcceptFloor(now time.Time, shard int, highest Rank, valid time.Duration) []Decision {
	g.now = now
	g.floor.accept(now, shard, highest, valid)
	return append(g.refuseBelowFloor(now), g.decide(now)...)
}

// FloorAcked records that a sibling shut out the tiers above highest. valid is
// what remains of the floor: its validity less the time since the request was sent.
func (g *Group) FloorAcked(now time.Time, shard int, highest Rank, valid time.Duration) []Decision {
	g.now = now
	g.floor.acked(now, shard, highest, valid)
	return g.decide(now)
}

// SetSiblingReachable records whether the broker can reach a sibling. No
// acknowledgement is awaited from an unreachable one.
func (g *Group) SetSiblingReachable(now time.Time, shard int, reachable bool) []Decision {
	g.now = now
	g.floor.setReachable(shard, reachable)
	return g.decide(now)
}

// SiblingOwnerChanged drops the acknowledgement of a sibling whose broker has
// changed: the successor does not know the floors that its predecessor accepted.
// It is asked as soon as the floor is next needed.
func (g *Group) SiblingOwnerChanged(now time.Time, shard int) {
	g.now = now
	if s, ok := g.floor.siblings[shard]; ok {
		*s = sibling{}
		g.floor.asked = time.Time{}
	}
}

// SetSiblings replaces the sibling shards.
func (g *Group) SetSiblings(now time.Time, shards []int) []Decision {
	g.now = now
	g.floor.setSiblings(shards)
	return g.decide(now)
}

// Floor returns the strictest floor accepted from a sibling: tiers with a rank
// above it are shut out.
func (g *Group) Floor(now time.Time) (Rank, bool) {
	held, ok := g.floor.current(now)
	return held.highest, ok
}
