package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the choice between a ticket's own zone and others.
const (
	// maxSpillCredit bounds the tickets of one kind that may cross in a row.
	maxSpillCredit = 4
	// maxSpillWait bounds the estimated wait for a slot of a zone.
	maxSpillWait = 10 * time.Second
	// missFactor times the estimated wait in the own zone must fit into the time until the
	// last useful dispatch.
	missFactor = 3
	// lastMoment is the time before the last useful dispatch from which a ticket may use any
	// open target, also one that is claimed: a slot that is free now is better than a refusal.
	// It is longer than cancelLead, so that no running request is cancelled for a ticket
	// that an open target could take.
	lastMoment = cancelLead + 50*time.Millisecond
	// holdTime is how long a class whose tickets wait for their own zone is not tried again
	// unless a target of the zone opens.
	holdTime = 10 * time.Millisecond
)

// reachable returns the open targets that the ticket may use without further conditions:
// all of them without spill, else those of its own zone and of planned crossings.
func (g *Group) reachable(w *waiting, open []*targetState) []*targetState {
	s := &g.spill
	if !s.inForce || w.class.origin == nil {
		return open
	}
	s.within, s.beyond = s.within[:0], s.beyond[:0]
	s.choices++
	from, tier, dense := w.class.origin.zone, spillTier(w.ticket.Tier), w.class.origin.dense
	for _, t := range open {
		if t.zone != nil && t.zone.choice != s.choices {
			t.zone.choice = s.choices
			t.zone.planned = t.zone == from || from.crossing(t.zone).credit[tier][dense] >= 1
		}
		if t.zone == nil || t.zone.planned {
			s.within = append(s.within, t)
		} else {
			s.beyond = append(s.beyond, t)
		}
	}
	return s.within
}

// unplanned returns the open targets of other zones that the ticket may use beyond the
// plan, because its own zone serves it too late or the crossing costs less than the wait.
// fitsLater is set if a target suits the ticket once its current prompts are done.
func (g *Group) unplanned(now time.Time, w *waiting, fitsLater bool) []*targetState {
	s := &g.spill
	if !s.inForce || w.class.origin == nil || len(s.beyond) == 0 {
		return nil
	}
	from := w.class.origin.zone
	// The whole queue counts, and not only the tickets before this one: its crossing shortens
	// the wait of those behind it.
	wait := g.zoneWait(from, g.zoneWaiting(from, w.ticket.Tier)-1)
	homeOpen := s.hasOpen(from)
	if homeOpen {
		// The open targets of the zone do not suit the ticket.
		wait = maxSpillWait
		if fitsLater {
			wait = maxPrefillBacklog
		}
	}
	atHome := g.servesAtHome(now, w)
	misses := !atHome || now.Add(missFactor*wait).After(w.latest)
	last := now.Add(lastMoment).After(w.latest)
	allowed := s.beyond[:0]
	for _, t := range s.beyond {
		if now.Before(from.crossing(t.zone).downUntil) {
			continue
		}
		if !misses && g.crossingCost(now, w, t.zone) >= wait {
			continue
		}
		if last || !atHome || g.unclaimed(t.zone) >= 1 {
			allowed = append(allowed, t)
		}
	}
	s.beyond = allowed
	return allowed
}

// servesAtHome reports whether a target of the ticket's zone, busy or not, may run it.
func (g *Group) servesAtHome(now time.Time, w *waiting) bool {
	t := &w.ticket
	for _, s := range w.class.set.members {
		if s.zone == w.class.origin.zone && s.health.state == HealthHealthy && !avoids(now, t, s) &&
			(len(t.AllowedRegions) == 0 || slices.Contains(t.AllowedRegions, s.ResidencyRegion)) {
			return true
		}
	}
	return false
}

// hasOpen reports whether an open target of the zone was considered.
func (s *spillState) hasOpen(z *homeZone) bool {
	for _, t := range s.within {
		if t.zone == z {
			return true
		}
	}
	return false
}

// unclaimed returns the free slots of a zone beyond those that its own demand and the
// planned shares will need.
func (g *Group) unclaimed(z *homeZone) float64 {
	return z.capacity - max(z.occupied, g.spill.planner.Claimed(z.name))
}

// crossingCost returns the waiting time that is considered equal to the ticket's crossing.
func (g *Group) crossingCost(now time.Time, w *waiting, to *homeZone) time.Duration {
	pair := RegionPair{w.ticket.Region, to.name}
	cost := 2 * g.linkDelay(pair).Seconds()
	if l, ok := g.links[pair]; ok {
		bytes := linkBytes(&w.ticket)
		cost += l.PricePerMegabyte.Seconds() * bytes / 1e6
		if l.BytesPerSecond > 0 {
			cost += float64(w.ticket.BodyBytes) / l.BytesPerSecond
			if missing := bytes - l.available(now); missing > 0 {
				cost += missing / l.BytesPerSecond
			}
		}
	}
	return seconds(min(cost, maxSpillWait.Seconds()))
}

// holdForZone holds the class of a ticket that waits for a slot of its own zone, so that it
// does not block the tickets of other zones. It reports false if an open target of the zone
// does not suit this ticket now or later; others of the class may be placed.
func (g *Group) holdForZone(now time.Time, w *waiting, result placement) bool {
	s := &g.spill
	o := w.class.origin
	if !s.inForce || o == nil || (result == unsuited && s.hasOpen(o.zone)) {
		return false
	}
	w.class.hold = hold{until: now.Add(holdTime), openings: o.zone.openings}
	return true
}

// crossUrgent places the tickets that wait for a full zone and would miss their deadline, wherever
// they are in their class. It comes before the other tickets, so that no lower tier gets the
// slots that they may use.
func (g *Group) crossUrgent(now time.Time) []Decision {
	s := &g.spill
	if !s.inForce || now.Sub(s.urgentChecked) < urgentInterval {
		return nil
	}
	s.urgentChecked = now
	var urgent []*waiting
	g.queue.latest.visitBefore(now.Add(lastMoment), 0, func(w *waiting) {
		if w.class.zoneFull() && !w.class.suspects && len(w.class.set.open) > 0 {
			urgent = append(urgent, w)
		}
	})
	slices.SortFunc(urgent, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.ticket.Tier, b.ticket.Tier), cmp.Compare(a.sequence, b.sequence))
	})
	var decisions []Decision
	failed := 0
	for _, w := range urgent {
		d, result := g.place(now, w)
		switch result {
		case placed, refused:
			decisions = append(decisions, d)
		default:
			failed++
		}
		if failed == maxUrgentFailures {
			break
		}
	}
	return decisions
}

// held reports whether the class waits for its own zone.
func (c *class) held(now time.Time) bool {
	return c.zoneFull() && now.Before(c.hold.until)
}

// zoneFull reports whether the class was held and no target of its zone has opened since.
func (c *class) zoneFull() bool {
	return c.origin != nil && !c.hold.until.IsZero() && c.hold.openings == c.origin.zone.openings
}

// spillGranted counts a grant and uses a credit if the plan has one for it.
func (g *Group) spillGranted(w *waiting, t *targetState) {
	o := w.class.origin
	if !g.spill.inForce || o == nil || t.zone == nil {
		return
	}
	t.zone.occupied++
	if t.zone == o.zone {
		return
	}
	credit := &o.zone.crossing(t.zone).credit[spillTier(w.ticket.Tier)][o.dense]
	*credit = max(0, *credit-1)
}

// spillTransfer returns the transfer over a link while the shares are in force. They take
// the place of the preference for local targets and of the price.
func (g *Group) spillTransfer(now time.Time, t *Ticket, l *link, pair RegionPair) transfer {
	out := transfer{seconds: g.linkDelay(pair).Seconds()}
	if l == nil {
		return out
	}
	out.penalty = l.PricePerMegabyte.Seconds() * linkBytes(t) / 1e6
	if l.BytesPerSecond > 0 {
		out.seconds += float64(t.BodyBytes) / l.BytesPerSecond
		if missing := linkBytes(t) - l.available(now); missing > 0 {
			out.seconds += missing / l.BytesPerSecond
		}
	}
	return out
}
