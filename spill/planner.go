package spill

import (
	"cmp"
	"slices"
	"time"
)

// Planner computes the shares of all pairs of zones. It is not safe for concurrent use.
type Planner struct {
	links  map[Pair]Link
	trends map[string]*trend
	zones  map[string]*zone
	// shares holds, by pair and kind of work, the part of the work that leaves.
	shares  map[Pair][]float64
	updated time.Time
}

// zone is the planner's state of a zone in an update.
type zone struct {
	Zone
	// active is set while work of the zone may leave.
	active bool
	// scale corrects the reported demand by its trend; demand and inflow are in slots.
	scale, demand, inflow float64
	// total is the share that left in the last plan.
	total float64
	// leaving and room are the slots that the current allocation may still use.
	leaving, room float64
	gain          time.Duration
	// left is the remaining demand by kind of work.
	left []float64
}

// NewPlanner returns a Planner without shares.
func NewPlanner() *Planner {
	return &Planner{trends: make(map[string]*trend), zones: make(map[string]*zone), shares: make(map[Pair][]float64)}
}

// Update computes the shares anew and returns those that begin or end. The first update
// gives none, because the shares rise with the time between updates.
func (p *Planner) Update(now time.Time, zones []Zone, links map[Pair]Link) []Change {
	p.links = links
	elapsed := time.Duration(0)
	if !p.updated.IsZero() {
		elapsed = min(max(0, now.Sub(p.updated)), maxInterval)
	}
	p.updated = now
	current := make(map[string]*zone, len(zones))
	order := make([]*zone, 0, len(zones))
	for i := range zones {
		z := p.assess(now, &zones[i])
		current[z.Name] = z
		order = append(order, z)
	}
	p.zones = current
	slices.SortFunc(order, func(a, b *zone) int { return cmp.Compare(a.Name, b.Name) })
	before := p.shares
	p.shares = make(map[Pair][]float64, len(before))
	p.allocate(order, before, elapsed)
	return changes(before, p.shares)
}

// assess derives the state of a zone from its report and its last state.
func (p *Planner) assess(now time.Time, reported *Zone) *zone {
	z := &zone{Zone: *reported}
	if last, ok := p.zones[z.Name]; ok {
		z.active, z.total = last.active, last.total
	}
	sum := 0.0
	for i := range z.Work {
		sum += z.Work[i].demand()
	}
	t := p.trends[z.Name]
	if t == nil {
		t = &trend{}
		p.trends[z.Name] = t
	}
	t.observe(z.AsOf, sum)
	z.scale = t.factor(now)
	z.demand = sum * z.scale
	z.gain = z.expectedWait()
	waits := z.Wait > 0 || z.demand > z.Capacity
	switch {
	case z.demand > beginLevel*z.Capacity && waits:
		z.active = true
	case z.demand < endLevel*z.Capacity && z.Wait < endWait:
		z.active = false
	}
	return z
}

// expectedWait returns the wait of a request that arrives within forecastTime.
func (z *zone) expectedWait() time.Duration {
	if z.Capacity <= 0 {
		return maxGain
	}
	growth := max(0, z.demand-z.Capacity) / z.Capacity
	return min(maxGain, z.Wait+time.Duration(growth*float64(forecastTime)))
}

// excess returns the slots by which the zone is short, including those that its queue needs
// to be empty after drainTime.
func (z *zone) excess() float64 {
	if !z.active {
		return 0
	}
	queued := z.Wait.Seconds() * z.Capacity / drainTime.Seconds()
	return min(z.demand, max(0, z.demand+queued-endLevel*z.Capacity))
}

// Share returns the part of the demand of a zone that leaves over a pair.
func (p *Planner) Share(pair Pair) float64 {
	z, ok := p.zones[pair.From]
	if !ok || z.demand <= 0 {
		return 0
	}
	slots := 0.0
	for i, share := range p.shares[pair] {
		slots += share * z.Work[i].demand() * z.scale
	}
	return min(1, slots/z.demand)
}

// WorkShare returns the part of one kind of work of a zone that leaves over a pair.
func (p *Planner) WorkShare(pair Pair, work int) float64 {
	shares := p.shares[pair]
	if work >= len(shares) {
		return 0
	}
	return shares[work]
}

// Claimed returns the slots of a zone that its own demand and the planned shares use.
func (p *Planner) Claimed(name string) float64 {
	z, ok := p.zones[name]
	if !ok {
		return 0
	}
	return min(z.demand, z.Capacity) + z.inflow
}

// Inflow returns the slots of a zone that the planned shares use.
func (p *Planner) Inflow(name string) float64 {
	if z, ok := p.zones[name]; ok {
		return z.inflow
	}
	return 0
}

// Pairs returns the pairs that have a share.
func (p *Planner) Pairs() []Pair {
	pairs := make([]Pair, 0, len(p.shares))
	for pair := range p.shares {
		pairs = append(pairs, pair)
	}
	return pairs
}

func changes(before, after map[Pair][]float64) []Change {
	var list []Change
	for pair := range before {
		if _, ok := after[pair]; !ok {
			list = append(list, Change{Pair: pair})
		}
	}
	for pair, shares := range after {
		if _, ok := before[pair]; !ok {
			list = append(list, Change{Pair: pair, Share: slices.Max(shares)})
		}
	}
	return list
}
