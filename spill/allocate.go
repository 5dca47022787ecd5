package spill

import (
	"cmp"
	"slices"
	"time"
)

// option is the possibility to move one kind of work of a short zone to another zone.
type option struct {
	from, to *zone
	work     int
	cost     time.Duration
}

// allocate distributes the room of the zones with spare capacity. In a first round each
// short zone may use its part of each room, in proportion to what it lacks; in the second
// round the rest is open to all.
func (p *Planner) allocate(zones []*zone, before map[Pair][]float64, elapsed time.Duration) {
	lacking := 0.0
	for _, z := range zones {
		risen := z.total + maxRise*elapsed.Seconds()
		z.leaving = min(z.excess(), risen*z.demand)
		lacking += z.leaving
		if !z.active {
			z.room = max(0, roomLevel*z.Capacity-z.demand)
		}
		z.left = make([]float64, len(z.Work))
		for i := range z.Work {
			z.left[i] = z.Work[i].demand() * z.scale
		}
	}
	if lacking > 0 {
		options := p.options(zones, before)
		volume := p.volumes()
		rooms := make(map[string]float64, len(zones))
		for _, z := range zones {
			rooms[z.Name] = z.room
		}
		parts := make(map[Pair]float64)
		for _, o := range options {
			pair := Pair{o.from.Name, o.to.Name}
			if _, ok := parts[pair]; !ok {
				parts[pair] = rooms[o.to.Name] * o.from.leaving / lacking
			}
		}
		for _, o := range options {
			pair := Pair{o.from.Name, o.to.Name}
			parts[pair] -= p.move(o, parts[pair], volume)
		}
		for _, o := range options {
			p.move(o, o.to.room, volume)
		}
	}
	for _, z := range zones {
		z.total = 0
		for pair := range p.shares {
			if pair.From == z.Name {
				z.total += p.Share(pair)
			}
		}
	}
}

// options returns the moves that gain more than they cost: higher tiers first, then work
// with few bytes for its processing time, then the cheapest crossing.
func (p *Planner) options(zones []*zone, before map[Pair][]float64) []option {
	var options []option
	for _, from := range zones {
		if from.leaving <= 0 {
			continue
		}
		for _, to := range zones {
			pair := Pair{from.Name, to.Name}
			link, ok := p.links[pair]
			if to.room <= 0 || !ok || link.Down {
				continue
			}
			margin := beginMargin
			if _, exists := before[pair]; exists {
				margin = 1
			}
			for i := range from.Work {
				cost := link.cost(from.Work[i].Bytes)
				if from.left[i] > 0 && float64(from.gain) > margin*float64(cost) {
					options = append(options, option{from: from, to: to, work: i, cost: cost})
				}
			}
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		x, y := &a.from.Work[a.work], &b.from.Work[b.work]
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.density(), y.density()), cmp.Compare(a.cost, b.cost))
	})
	return options
}

// volumes returns the bytes per second that planned work may still send over each limited link.
func (p *Planner) volumes() map[Pair]float64 {
	volume := make(map[Pair]float64)
	for pair, link := range p.links {
		if link.BytesPerSecond > 0 {
			volume[pair] = linkLevel * link.BytesPerSecond
		}
	}
	return volume
}

// move moves up to limit slots of work and returns how many it moved.
func (p *Planner) move(o option, limit float64, volume map[Pair]float64) float64 {
	pair := Pair{o.from.Name, o.to.Name}
	work := &o.from.Work[o.work]
	slots := min(o.from.left[o.work], o.from.leaving, o.to.room, limit)
	density := work.density()
	if available, limited := volume[pair]; limited && density > 0 {
		slots = min(slots, available/density)
	}
	if slots < minSlots {
		return 0
	}
	if p.shares[pair] == nil {
		p.shares[pair] = make([]float64, len(o.from.Work))
	}
	whole := work.demand() * o.from.scale
	p.shares[pair][o.work] = min(1, p.shares[pair][o.work]+slots/whole)
	if _, limited := volume[pair]; limited {
		volume[pair] = max(0, volume[pair]-slots*density)
	}
	o.from.left[o.work] -= slots
	o.from.leaving -= slots
	o.to.room -= slots
	o.to.inflow += slots
	return slots
}
