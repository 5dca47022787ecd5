package scheduler

import (
	"slices"
	"time"
)

// sweepInterval is the time between the checks that visit every target and request.
const sweepInterval = time.Second

// Tick makes the decisions that depend on time alone. The broker calls it
// several times a second.
func (g *Group) Tick(now time.Time) []Decision {
	g.now = now
	g.restoreDeferred()
	g.reclaimUnused(now)
	g.forecast.correction = 0
	g.planSpill(now)
	for _, s := range g.order {
		g.forecast.correction += s.throughputCorrection(now)
		g.openForProbe(now, s)
		// The backlog of prompts shrinks with time alone.
		g.refreshOpen(s)
	}
	if now.Sub(g.lastSweep) >= sweepInterval {
		g.lastSweep = now
		g.sweep(now)
	}
	decisions := g.refuseHopeless(now, g.decide(now))
	if request, ok := g.floor.renew(now); ok {
		decisions = append(decisions, request)
	}
	return decisions
}

// decide makes all decisions that are due: grants first, then the
// cancellations and refusals that the remaining tickets need.
func (g *Group) decide(now time.Time) []Decision {
	decisions := g.crossUrgent(now)
	decisions = append(decisions, g.schedule(now)...)
	decisions = g.cancelForUrgent(now, decisions)
	decisions = g.refuseLate(now, decisions)
	return g.shed(now, decisions)
}

func (g *Group) openForProbe(now time.Time, s *targetState) {
	before := s.health.state
	s.health.advance(now)
	if before != HealthHalfOpen && s.health.state == HealthHalfOpen {
		g.halfOpen = append(g.halfOpen, s)
	}
}

// reclaimUnused reclaims the grants whose validity ended without a dispatch.
func (g *Group) reclaimUnused(now time.Time) {
	n := 0
	for _, r := range g.grants {
		if !now.After(r.granted.Add(GrantValidity)) {
			break
		}
		n++
		if g.running[r.ticket.ID] == r && !r.dispatched {
			g.reclaim(now, r)
		}
	}
	clear(g.grants[:n])
	g.grants = g.grants[n:]
}

func (g *Group) sweep(now time.Time) {
	g.releaseOrphans(now)
	for id, r := range g.reclaimed {
		if now.Sub(r.reclaimed) > reclaimRetention {
			delete(g.reclaimed, id)
		}
	}
	g.quarantine.Expire(now)
	g.forgetFailedContent()
	g.forgetRemovedCold(now)
	g.ejectHanging(now)
	g.ejectSlow(now)
	g.queue.prune()
	g.forecast.prune(now)
	g.forgetRefused(now)
	g.pruneSets()
	for _, set := range g.sets {
		set.updateBounds(now)
	}
	for _, s := range g.order {
		g.refreshOpen(s)
	}
	g.capacity.countSlots(g.order)
	g.capacity.rotate(now)
}

// pruneSets deletes the sets that no class refers to, if they hold no target or are
// restricted to regions.
func (g *Group) pruneSets() {
	referenced := make(map[*versionSet]bool)
	for _, tier := range g.queue.tiers {
		for _, c := range tier.classes {
			referenced[c.set] = true
		}
	}
	for key, set := range g.sets {
		if referenced[set] || (len(set.members) > 0 && !set.restricted()) {
			continue
		}
		for _, s := range set.members {
			s.refs = slices.DeleteFunc(s.refs, func(r setRef) bool { return r.set == set })
		}
		delete(g.sets, key)
	}
}
