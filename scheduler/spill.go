package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/basilloom/basilloom/spill"
)

// Parameters of the spill of work to other zones.
const (
	// spillPeriod is the time between two plans.
	spillPeriod = 100 * time.Millisecond
	// spillSmoothing is the averaging time of arrival rates.
	spillSmoothing = time.Second
	// spillSampleWeight is the weight of a new sample in the mean size of a zone's requests.
	spillSampleWeight = 0.02
	// spillReleaseFraction times SpillConfig.MinDelay is the delay below which spill is no
	// longer in force, so that a delay near the bound does not switch it repeatedly.
	spillReleaseFraction = 0.8
	// maxSpillTiers bounds the tiers that are planned apart.
	maxSpillTiers = 8
	// maxSpillFailures is the number of requests in a row that did not reach a zone after
	// which the link is taken as down. It is tried again after minLinkRetry and, each time
	// that it fails again, after twice the time, up to maxLinkRetry.
	maxSpillFailures = 3
	minLinkRetry     = 2 * time.Second
	maxLinkRetry     = 16 * time.Second
	// maxSpillChanges bounds the changes that are kept for the log.
	maxSpillChanges = 100
)

// SpillConfig configures planned shares of the work that leaves a zone for others. Zones
// are the regions of tickets and targets. The zero value is off.
type SpillConfig struct {
	// MinDelay is the measured one-way delay between two zones of a region from which the
	// shares are in force; 0 means never.
	MinDelay time.Duration
	// Regions holds the region of each zone.
	Regions map[string]string
}

// SpillChange is the beginning or the end of a share. Share is 0 at the end.
type SpillChange struct {
	From, To string
	Share    float64
}

// spillState is the group's state of the spill. The zero value is off.
type spillState struct {
	cfg     SpillConfig
	planner *spill.Planner
	zones   map[string]*homeZone
	// order holds the zones by name.
	order  []*homeZone
	delays map[RegionPair]time.Duration
	// inForce is set while the measured delays reach the configured one.
	inForce bool
	planned time.Time
	// urgentChecked is when tickets that are about to miss their deadline were last considered.
	urgentChecked time.Time
	changes       []SpillChange
	// meanDensity is the mean volume of the tickets for each second of processing.
	meanDensity float64
	// within and beyond are the targets of the current choice: those of the ticket's zone
	// and of planned crossings, and the others. They are kept to reuse their memory.
	within, beyond []*targetState
	// choices numbers the choices.
	choices uint64
}

// homeZone is the state of a zone in which tickets arrive or targets run.
type homeZone struct {
	name  string
	kinds [maxSpillTiers][2]kind
	// origins are the keys of the classes of the zone's tickets, by density.
	origins [2]origin
	// capacity and occupied are the slots of the zone's targets and those in use, as of
	// the last plan; occupied is updated by grants and completions.
	capacity, occupied float64
	// openings counts the targets of the zone that became open.
	openings uint64
	links    map[*homeZone]*crossing
	// choice is the last choice for which the zone was considered, planned whether the plan
	// let its ticket use the zone.
	choice  uint64
	planned bool
}

// origin identifies the zone and the density of tickets. Its tickets have their own classes
// because they may have to wait for a slot of their zone while other zones have open
// targets.
type origin struct {
	zone  *homeZone
	dense int
}

// hold marks a class whose tickets wait for their own zone, until a time or until another
// target of the zone opens.
type hold struct {
	until    time.Time
	openings uint64
}

// kind is the work of one tier and density of a zone.
type kind struct {
	arrivals float64
	rate     float64
	// seconds and bytes are means of the requests.
	seconds, bytes float64
}

// crossing is the state of the link to another zone.
type crossing struct {
	// credit is the number of tickets that may cross by the plan, by tier and density.
	credit [maxSpillTiers][2]float64
	// failures counts the requests in a row that did not arrive, the first of them granted
	// at failing.
	failures int
	failing  time.Time
	// downUntil is when the link is tried again, backoff the time after the next failure.
	downUntil time.Time
	backoff   time.Duration
}

func newSpillState(cfg SpillConfig) spillState {
	if cfg.MinDelay <= 0 {
		return spillState{}
	}
	return spillState{cfg: cfg, planner: spill.NewPlanner(), zones: make(map[string]*homeZone)}
}

// enabled reports whether the group plans shares once a delay is measured.
func (s *spillState) enabled() bool { return s.planner != nil }

// zone returns the state of a zone, or nil if there is none to plan for.
func (s *spillState) zone(name string) *homeZone {
	if !s.enabled() || name == "" {
		return nil
	}
	z, ok := s.zones[name]
	if !ok {
		z = &homeZone{name: name, links: make(map[*homeZone]*crossing)}
		for i := range z.origins {
			z.origins[i] = origin{zone: z, dense: i}
		}
		s.zones[name] = z
		i, _ := slices.BinarySearchFunc(s.order, name, func(z *homeZone, name string) int { return cmp.Compare(z.name, name) })
		s.order = slices.Insert(s.order, i, z)
	}
	return z
}

func (z *homeZone) crossing(to *homeZone) *crossing {
	c, ok := z.links[to]
	if !ok {
		c = &crossing{}
		z.links[to] = c
	}
	return c
}

func spillTier(rank Rank) int { return min(max(0, int(rank)), maxSpillTiers-1) }

// SetLinkDelays replaces the measured one-way delays between zones.
func (g *Group) SetLinkDelays(delays map[RegionPair]time.Duration) {
	s := &g.spill
	if !s.enabled() {
		return
	}
	s.delays = delays
	bound := s.cfg.MinDelay
	if s.inForce {
		bound = time.Duration(spillReleaseFraction * float64(bound))
	}
	before := s.inForce
	s.inForce = s.reaches(bound)
	if before && !s.inForce {
		s.end()
	}
}

// reaches reports whether there is a region in which at least half of the measured delays
// between zones reach the bound. A single pair may be measured by one slow instance.
func (s *spillState) reaches(bound time.Duration) bool {
	pairs, reached := make(map[string]int), make(map[string]int)
	for pair, delay := range s.delays {
		region, known := s.cfg.Regions[pair.From]
		if !known || region != s.cfg.Regions[pair.To] {
			continue
		}
		pairs[region]++
		if delay >= bound {
			reached[region]++
		}
	}
	for region, n := range pairs {
		if 2*reached[region] >= n {
			return true
		}
	}
	return false
}

// end drops all shares.
func (s *spillState) end() {
	for _, pair := range s.planner.Pairs() {
		s.recordChange(SpillChange{From: pair.From, To: pair.To})
	}
	s.planner = spill.NewPlanner()
	for _, z := range s.order {
		clear(z.links)
	}
}

func (s *spillState) recordChange(c SpillChange) {
	if len(s.changes) < maxSpillChanges {
		s.changes = append(s.changes, c)
	}
}

// TakeSpillChanges returns the shares that began or ended since the last call.
func (g *Group) TakeSpillChanges() []SpillChange {
	changes := g.spill.changes
	g.spill.changes = nil
	return changes
}

// SpillShares returns the shares in force, by pair of zones.
func (g *Group) SpillShares() map[RegionPair]float64 {
	if !g.spill.enabled() {
		return nil
	}
	shares := make(map[RegionPair]float64)
	for _, pair := range g.spill.planner.Pairs() {
		shares[RegionPair(pair)] = g.spill.planner.Share(pair)
	}
	return shares
}

// spillOrigin returns the origin of a ticket, or nil if no shares are configured.
func (g *Group) spillOrigin(t *Ticket, set *versionSet) *origin {
	z := g.spill.zone(t.Region)
	if z == nil {
		return nil
	}
	density := linkBytes(t) / workSeconds(t, set)
	dense := 0
	if density > g.spill.meanDensity {
		dense = 1
	}
	g.spill.meanDensity += spillSampleWeight * (density - g.spill.meanDensity)
	z.arrived(t, dense, &g.spill)
	return &z.origins[dense]
}

// workSeconds estimates the processing time of a ticket for the comparison with others.
func workSeconds(t *Ticket, set *versionSet) float64 {
	interval, perToken := set.interval, set.perToken
	if !(interval > 0) || math.IsInf(interval, 1) {
		interval = 1 / defaultDecode
	}
	if !(perToken > 0) || math.IsInf(perToken, 1) {
		perToken = 1 / defaultPrefill
	}
	return firstTokenOverhead.Seconds() + interval*float64(t.OutputTokens) + perToken*float64(t.PromptTokens)
}

// arrived counts a new ticket and adds the planned shares of it to the zone's credits.
func (z *homeZone) arrived(t *Ticket, dense int, s *spillState) {
	tier := spillTier(t.Tier)
	k := &z.kinds[tier][dense]
	k.arrivals++
	if k.bytes == 0 {
		k.bytes = linkBytes(t)
	}
	k.bytes += spillSampleWeight * (linkBytes(t) - k.bytes)
	for to, c := range z.links {
		if share := s.planner.WorkShare(spill.Pair{From: z.name, To: to.name}, kindIndex(tier, dense)); share > 0 {
			c.credit[tier][dense] = min(maxSpillCredit, c.credit[tier][dense]+share)
		}
	}
}

func kindIndex(tier, dense int) int { return 2*tier + dense }

// plan computes the shares anew.
func (g *Group) planSpill(now time.Time) {
	s := &g.spill
	if !s.inForce || now.Sub(s.planned) < spillPeriod {
		return
	}
	elapsed := now.Sub(s.planned)
	s.planned = now
	g.countZones(now)
	zones := make([]spill.Zone, 0, len(s.order))
	for _, z := range s.order {
		zones = append(zones, g.zoneReport(now, z, elapsed))
	}
	for _, c := range s.planner.Update(now, zones, g.spillLinks(now)) {
		s.recordChange(SpillChange{From: c.From, To: c.To, Share: c.Share})
	}
	for _, from := range s.order {
		for _, to := range s.order {
			if from != to {
				from.crossing(to).limitCredit(s.planner, spill.Pair{From: from.name, To: to.name})
			}
		}
	}
}

// limitCredit drops the credit of the shares that have ended.
func (c *crossing) limitCredit(p *spill.Planner, pair spill.Pair) {
	for tier := range c.credit {
		for dense := range c.credit[tier] {
			if p.WorkShare(pair, kindIndex(tier, dense)) == 0 {
				c.credit[tier][dense] = 0
			}
		}
	}
}

// countZones counts the slots of all zones. Those of cold targets do not count, because
// their rate is limited.
func (g *Group) countZones(now time.Time) {
	for _, z := range g.spill.order {
		z.capacity, z.occupied = 0, 0
	}
	for _, t := range g.order {
		z := g.spill.zone(t.Region)
		if z == nil || t.removed || t.Leaving || now.Before(t.ColdUntil) || t.health.state != HealthHealthy {
			continue
		}
		z.capacity += float64(t.limiter.limit())
		z.occupied += float64(t.load(now))
	}
}

func (g *Group) zoneReport(now time.Time, z *homeZone, elapsed time.Duration) spill.Zone {
	weight := 1 - math.Exp(-elapsed.Seconds()/spillSmoothing.Seconds())
	report := spill.Zone{Name: z.name, Capacity: z.capacity, AsOf: now, Wait: g.zoneWait(z, g.zoneWaiting(z, math.MaxInt)-1)}
	for tier := range z.kinds {
		for dense := range z.kinds[tier] {
			k := &z.kinds[tier][dense]
			k.rate += weight * (k.arrivals/elapsed.Seconds() - k.rate)
			k.arrivals = 0
			size := k.seconds
			if size == 0 {
				size = g.meanServiceTime()
			}
			report.Work = append(report.Work, spill.Work{Tier: tier, Rate: k.rate, Seconds: size, Bytes: k.bytes})
		}
	}
	return report
}

func (g *Group) meanServiceTime() float64 {
	if g.capacity.serviceTime == 0 {
		return initialServiceTime.Seconds()
	}
	return g.capacity.serviceTime
}

// zoneWaiting counts the waiting tickets of a zone in the tier and above.
func (g *Group) zoneWaiting(z *homeZone, rank Rank) int {
	n := 0
	for _, tier := range g.queue.tiers {
		if tier.rank > rank {
			break
		}
		for _, c := range tier.classes {
			if c.origin != nil && c.origin.zone == z {
				n += len(c.tickets)
			}
		}
	}
	return n
}

// zoneWait estimates the time after which a slot of the zone is free for a ticket with a
// number of others before it.
func (g *Group) zoneWait(z *homeZone, ahead int) time.Duration {
	if ahead < 0 {
		return 0
	}
	if z.capacity <= 0 {
		return maxSpillWait
	}
	return min(maxSpillWait, seconds(g.meanServiceTime()*float64(ahead+1)/z.capacity))
}

// spillLinks returns the links with their measured delays.
func (g *Group) spillLinks(now time.Time) map[spill.Pair]spill.Link {
	links := make(map[spill.Pair]spill.Link)
	for _, from := range g.spill.order {
		for _, to := range g.spill.order {
			if from == to {
				continue
			}
			pair := RegionPair{from.name, to.name}
			out := spill.Link{Delay: g.linkDelay(pair), Down: now.Before(from.crossing(to).downUntil)}
			if l, ok := g.links[pair]; ok {
				out.BytesPerSecond, out.PricePerMegabyte = l.BytesPerSecond, l.PricePerMegabyte
			}
			links[spill.Pair(pair)] = out
		}
	}
	return links
}

// linkDelay returns the measured delay of a link, or else the configured one.
func (g *Group) linkDelay(pair RegionPair) time.Duration {
	if delay, ok := g.spill.delays[pair]; ok && g.spill.inForce {
		return delay
	}
	if l, ok := g.links[pair]; ok {
		return l.Delay
	}
	return defaultLinkDelay
}

// spillEnded updates the sizes of the ticket's kind of work and the state of its link.
func (g *Group) spillEnded(now time.Time, r *run, c *Completion) {
	from := g.spill.zone(r.ticket.Region)
	if from == nil {
		return
	}
	if c.Result == ResultServed && r.origin != nil {
		k := &from.kinds[spillTier(r.ticket.Tier)][r.origin.dense]
		if k.seconds == 0 {
			k.seconds = g.meanServiceTime()
		}
		k.seconds += spillSampleWeight * (c.Total.Seconds() - k.seconds)
	}
	if r.target.Region == r.ticket.Region || r.target.Region == "" {
		return
	}
	link := from.crossing(g.spill.zone(r.target.Region))
	if c.Result == ResultNotDispatched {
		link.failed(now, r.granted)
	} else if r.granted.After(link.failing) {
		// Requests that were sent before the failure tell nothing about the link.
		link.failures, link.backoff = 0, 0
	}
}

// failed records a request that did not arrive.
func (c *crossing) failed(now, granted time.Time) {
	if granted.Before(c.downUntil) {
		return // sent before the link was taken as down
	}
	if c.failures == 0 {
		c.failing = granted
	}
	if c.failures++; c.failures < maxSpillFailures {
		return
	}
	c.backoff = min(max(minLinkRetry, 2*c.backoff), maxLinkRetry)
	c.failures, c.downUntil = 0, now.Add(c.backoff)
}
