package scheduler

import (
	"maps"
	"slices"
	"time"
)

// FloorValidity is the time for which a shed floor holds without renewal.
const FloorValidity = 5 * time.Second

// FloorRequest asks the broker to have the sibling groups stop accepting tiers
// with a rank above Highest for ValidFor. It is repeated while the overload lasts.
type FloorRequest struct {
	Highest  Rank
	ValidFor time.Duration
	Siblings []int
}

func (FloorRequest) decision() {}

// floor is the state of the shed floor between sibling groups: the floor that this
// group requested and the floors that it accepted from siblings.
type floor struct {
	// lowest is the lowest configured tier, which is shed without a floor;
	// negative if unknown.
	lowest   Rank
	siblings map[int]*sibling
	// accepted holds the end of each floor. Floors are kept separately because a
	// less strict one may outlast a stricter one.
	accepted    map[floorKey]time.Time
	required    timedFloor
	lastRequest time.Time
}

// sibling is the state of one sibling group.
type sibling struct {
	acked timedFloor
	// unreachable siblings are ignored: invariant 2 of docs/design.md applies to
	// instances that can reach each other.
	unreachable bool
}

type floorKey struct {
	shard   int
	highest Rank
}

// timedFloor excludes the ranks above highest until the given time.
type timedFloor struct {
	highest Rank
	until   time.Time
}

func (t timedFloor) inForce(now time.Time) bool { return now.Before(t.until) }

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
			s.acked = timedFloor{}
		}
	}
}

// mayShed reports whether every reachable sibling has stopped accepting the tiers
// below the given one.
func (f *floor) mayShed(now time.Time, tier Rank) bool {
	if f.lowest >= 0 && tier >= f.lowest {
		return true
	}
	for _, s := range f.siblings {
		if s.unreachable {
			continue
		}
		if !s.acked.inForce(now) || s.acked.highest > tier {
			return false
		}
	}
	return true
}

// requestFor records that the group needs to shed the tier and returns the request
// to send, if one is due.
func (f *floor) requestFor(now time.Time, tier Rank) (FloorRequest, bool) {
	if len(f.siblings) == 0 || (f.lowest >= 0 && tier >= f.lowest) {
		return FloorRequest{}, false
	}
	stricter := !f.required.inForce(now) || tier < f.required.highest
	if stricter {
		f.required.highest = tier
		f.lastRequest = time.Time{}
	}
	if tier == f.required.highest {
		// A stricter floor that is no longer needed expires without renewal.
		f.required.until = now.Add(FloorValidity)
	}
	return f.nextRequest(now)
}

// renew returns the request to repeat while the overload lasts.
func (f *floor) renew(now time.Time) (FloorRequest, bool) {
	if !f.required.inForce(now) {
		return FloorRequest{}, false
	}
	return f.nextRequest(now)
}

// nextRequest returns a request at most once per fifth of the validity, so that a
// lost message is repeated several times before the floor ends.
func (f *floor) nextRequest(now time.Time) (FloorRequest, bool) {
	if !f.lastRequest.IsZero() && now.Sub(f.lastRequest) < FloorValidity/5 {
		return FloorRequest{}, false
	}
	f.lastRequest = now
	shards := slices.Sorted(maps.Keys(f.siblings))
	return FloorRequest{Highest: f.required.highest, ValidFor: FloorValidity, Siblings: shards}, true
}

// acked records a sibling's acknowledgement. The validity counts from the time of
// the request, so the recorded end is not later than the sibling's own.
func (f *floor) acked(now time.Time, shard int, highest Rank, valid time.Duration) {
	s, ok := f.siblings[shard]
	if !ok {
		return
	}
	s.unreachable = false
	ack := timedFloor{highest: highest, until: now.Add(valid)}
	if s.acked.inForce(now) && s.acked.highest < highest {
		return
	}
	s.acked = ack
}

// accept records a floor that a sibling requested.
func (f *floor) accept(now time.Time, shard int, highest Rank, valid time.Duration) {
	key := floorKey{shard, highest}
	f.accepted[key] = later(f.accepted[key], now.Add(min(valid, FloorValidity)))
}

// current returns the strictest accepted floor in force.
func (f *floor) current(now time.Time) (timedFloor, bool) {
	var strictest timedFloor
	found := false
	for key, until := range f.accepted {
		if !now.Before(until) {
			delete(f.accepted, key)
			continue
		}
		switch {
		case !found || key.highest < strictest.highest:
			strictest, found = timedFloor{key.highest, until}, true
		case key.highest == strictest.highest:
			strictest.until = later(strictest.until, until)
		}
	}
	return strictest, found
}

// AcceptFloor stops accepting the tiers with a rank above highest on behalf of a
// sibling and refuses the waiting tickets of those tiers. The broker acknowledges
// after it has sent these refusals.
func (g *Group) AcceptFloor(now time.Time, shard int, highest Rank, valid time.Duration) []Decision {
	g.now = now
	g.floor.accept(now, shard, highest, valid)
	return append(g.refuseBelowFloor(now), g.decide(now)...)
}

// FloorAcked records that a sibling stopped accepting the tiers above highest.
// valid is the remaining time of the floor: its validity less the time since the
// request was sent.
func (g *Group) FloorAcked(now time.Time, shard int, highest Rank, valid time.Duration) []Decision {
	g.now = now
	g.floor.acked(now, shard, highest, valid)
	return g.decide(now)
}

// SetSiblingReachable records whether the broker can reach a sibling. Shedding
// does not wait for the acknowledgement of an unreachable sibling.
func (g *Group) SetSiblingReachable(now time.Time, shard int, reachable bool) []Decision {
	g.now = now
	g.floor.setReachable(shard, reachable)
	return g.decide(now)
}

// SiblingOwnerChanged drops the acknowledgement of a sibling whose broker has
// changed: the new broker does not have the floors that the previous one accepted.
// The next request is sent as soon as the floor is needed again.
func (g *Group) SiblingOwnerChanged(now time.Time, shard int) {
	g.now = now
	if s, ok := g.floor.siblings[shard]; ok {
		*s = sibling{}
		g.floor.lastRequest = time.Time{}
	}
}

// SetSiblings replaces the sibling shards.
func (g *Group) SetSiblings(now time.Time, shards []int) []Decision {
	g.now = now
	g.floor.setSiblings(shards)
	return g.decide(now)
}

// Floor returns the strictest floor accepted from a sibling: tiers with a rank
// above it are refused.
func (g *Group) Floor(now time.Time) (Rank, bool) {
	held, ok := g.floor.current(now)
	return held.highest, ok
}
