package scheduler

import (
	"slices"
	"strings"
	"time"
)

// setKey identifies a version set by its version and its allowed regions, "" for any.
type setKey struct{ version, regions string }

// regionSeparator joins region names in a key.
const regionSeparator = "\x00"

// setOf returns the set of the targets that may run the ticket.
func (g *Group) setOf(now time.Time, t *Ticket) *versionSet {
	if len(t.AllowedRegions) == 0 {
		return g.set(t.Version)
	}
	regions := slices.Compact(slices.Sorted(slices.Values(t.AllowedRegions)))
	key := setKey{version: t.Version, regions: strings.Join(regions, regionSeparator)}
	set, ok := g.sets[key]
	if !ok {
		set = &versionSet{regions: regions}
		g.sets[key] = set
		g.fillRestricted(now, key, set)
		set.updateBounds(now)
	}
	return set
}

// fillRestricted adds the members of the version's unrestricted set that are in the allowed
// regions.
func (g *Group) fillRestricted(now time.Time, key setKey, set *versionSet) {
	all, ok := g.sets[setKey{version: key.version}]
	if !ok {
		return
	}
	for _, s := range all.members {
		if set.allows(s.ResidencyRegion) {
			addMember(s, set)
			g.refreshOpenAt(now, s)
		}
	}
}

// restricted reports whether only some regions are allowed.
func (v *versionSet) restricted() bool { return len(v.regions) > 0 }

// allows reports whether a target of the region may be a member. A target without a region
// is in no restricted set.
func (v *versionSet) allows(region string) bool {
	return !v.restricted() || (region != "" && slices.Contains(v.regions, region))
}

// hasOpenOutside reports whether a target of the set that is in none of the held sets is
// open.
func (v *versionSet) hasOpenOutside(held []*versionSet) bool {
	if len(held) == 0 {
		return len(v.open) > 0
	}
	return slices.ContainsFunc(v.open, func(s *targetState) bool { return !s.isInAny(held) })
}

// outside returns the targets that are in none of the held sets.
func outside(targets []*targetState, held []*versionSet) []*targetState {
	if len(held) == 0 {
		return targets
	}
	var rest []*targetState
	for _, s := range targets {
		if !s.isInAny(held) {
			rest = append(rest, s)
		}
	}
	return rest
}

func (s *targetState) isInAny(sets []*versionSet) bool {
	return slices.ContainsFunc(sets, s.isMember)
}

// cannotServe reports whether tickets of the set must be refused because all targets are in
// other regions. A group without any target may not have heard of them yet; its tickets wait.
func (g *Group) cannotServe(set *versionSet) bool {
	return set.restricted() && len(set.members) == 0 && len(g.order) > 0
}

// refuseWithoutTarget refuses the waiting tickets with allowed regions that no target is
// left to serve. A wait for one would most likely last longer than their deadline.
func (g *Group) refuseWithoutTarget() []Decision {
	var decisions []Decision
	for _, tier := range g.queue.tiers {
		for _, c := range tier.classes {
			for g.cannotServe(c.set) && len(c.tickets) > 0 {
				decisions = append(decisions, g.refuse(c.tickets[0], ReasonNoAllowedTarget, minRetryAfter))
			}
		}
	}
	return decisions
}
