package gateway

import (
	"sync"
	"time"

	"github.com/basilloom/basilloom/broker"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
)

// Parameters of the limit of cold targets.
const (
	// coldBrokers is the number of brokers that may grant in the same second: around a change
	// of broker the former one may not know of it yet.
	coldBrokers = 2
	// noColdRate is the limit of an instance that may send nothing to cold targets; 0 would
	// mean no limit.
	noColdRate = 1e-3
	// shareDelay is how long an instance waits before it uses a larger share of the limit.
	// The instances that it lost may still spend theirs.
	shareDelay = 3 * time.Second
	// minMarkInterval is the shortest time between two observations of a target that are sent
	// to the broker.
	minMarkInterval = 100 * time.Millisecond
	// coldRetention is how long a target without a registry entry is remembered.
	coldRetention = time.Hour
	// coldExclusion is how long a ticket of local placement excludes a cold target. It is
	// longer than a ticket waits.
	coldExclusion = time.Minute
	// sendWithin is the time from a grant until the request must be written. A connection that
	// takes longer may belong to a target that has restarted since the grant.
	sendWithin = 250 * time.Millisecond
)

// ColdTargets records what this instance knows of cold targets and which part of their limit
// it may grant. A nil value is a deployment without the limit.
type ColdTargets struct {
	overage, slack float64

	mu      sync.Mutex
	shares  []shareSample
	targets map[string]*coldTarget
	// limited holds the targets that are cold or were a short time ago.
	limited map[string]*coldTarget
}

// shareSample is the instance's share of the limit at a time.
type shareSample struct {
	at    time.Time
	share float64
}

// coldTarget is what is known of one target.
type coldTarget struct {
	service, zone string
	// row is the version of the last registry entry, startedAtUnixMilli its start time.
	row, startedAtUnixMilli int64
	// until is the end of the cold period according to the entry, warmAt the latest time as
	// of which the entry states that the target was not cold.
	until, warmAt time.Time
	times         scheduler.ColdTimes
	// seenAt is when the entry last changed, markedAt when the broker was last told of the
	// target.
	seenAt, markedAt time.Time
}

// NewColdTargets returns an empty record. A cold target must not receive more requests in a
// second than the rate of its service times overage plus slack.
func NewColdTargets(overage, slack float64) *ColdTargets {
	return &ColdTargets{
		overage: max(1, overage), slack: max(0, slack),
		targets: make(map[string]*coldTarget), limited: make(map[string]*coldTarget),
	}
}

// Observe applies a registry entry; entries that are repeated are ignored. recoveredAt is when
// the store last became available: entries that arrive soon after it may be old.
func (c *ColdTargets) Observe(now time.Time, t routing.Target, row int64, recoveredAt time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.targets[t.ID]
	if known && s.row == row {
		return
	}
	if !known {
		s = &coldTarget{startedAtUnixMilli: t.StartedAtUnixMilli}
		c.targets[t.ID] = s
	}
	s.service, s.zone, s.row, s.seenAt = t.Service, t.Zone, row, now
	switch {
	case t.ColdFor > 0:
		s.until = now.Add(t.ColdFor)
	case s.startedAtUnixMilli != t.StartedAtUnixMilli:
		c.suspectLocked(now, t.ID, s)
	case now.Sub(recoveredAt) >= scheduler.EntryDelay:
		s.warmAt = now.Add(-scheduler.EntryDelay)
	}
	if t.ColdFor == 0 && s.until.After(now) {
		s.until = now
	}
	s.startedAtUnixMilli = t.StartedAtUnixMilli
	s.times.SetEntry(s.until, s.warmAt)
	if s.until.After(now) {
		c.limited[t.ID] = s
	}
}

func (c *ColdTargets) suspectLocked(now time.Time, id string, s *coldTarget) {
	s.times.Suspect(now)
	c.limited[id] = s
}

// SuspectZone treats all targets of a zone as possibly cold, for example because the zone was
// evacuated. Groups that run already learn it when they are refreshed.
func (c *ColdTargets) SuspectZone(now time.Time, zone string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.targets {
		if s.zone == zone {
			c.suspectLocked(now, id, s)
		}
	}
}

// SetShare records the fraction of the fleet that this instance and the peers it reaches
// make up.
func (c *ColdTargets) SetShare(now time.Time, share float64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares = append(c.shares, shareSample{now, share})
	for len(c.shares) > 1 && now.Sub(c.shares[0].at) > shareDelay {
		c.shares = c.shares[1:]
	}
	for id, s := range c.targets {
		if now.Sub(s.seenAt) > coldRetention {
			delete(c.targets, id)
			delete(c.limited, id)
		}
	}
}

// rate returns the number of requests that a group of this instance may send to a cold target
// of the service in a second.
func (c *ColdTargets) rate(service *routing.Service) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := 0.0
	for i, s := range c.shares {
		if i == 0 || s.share < share {
			share = s.share
		}
	}
	bound := service.ColdRate*c.overage + c.slack
	return max(noColdRate, share*bound/coldBrokers)
}

// mark records an observation of this instance: that the target is cold for a time, or that it
// may have restarted if the time is 0. It reports whether the broker must be told.
func (c *ColdTargets) mark(now time.Time, id string, coldFor time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.targets[id]
	if !ok {
		return false
	}
	if coldFor > 0 {
		s.times.Report(now, now.Add(coldFor))
		c.limited[id] = s
	} else {
		c.suspectLocked(now, id, s)
	}
	if now.Sub(s.markedAt) < minMarkInterval {
		return false
	}
	s.markedAt = now
	return true
}

// served records that the target served a request that was granted at the given time.
func (c *ColdTargets) served(now time.Time, id string, granted time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.limited[id]; ok {
		s.times.Served(now, granted)
	}
}

// cold returns the targets of the service that are cold or were a short time ago.
func (c *ColdTargets) cold(now time.Time, service *routing.Service) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, s := range c.limited {
		if s.service != service.Name {
			continue
		}
		if _, limited := s.times.Factor(now, service.ColdStart); !limited {
			delete(c.limited, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// describe sets the cold times of a group's target.
func (c *ColdTargets) describe(now time.Time, t *scheduler.Target, coldStart time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.targets[t.Name]; ok {
		t.ColdUntil, t.WarmAt, t.SuspectedAt = s.until, s.warmAt, s.times.SuspectedAt(now, coldStart)
	}
}

// limitsCold reports whether the cold targets of a service are limited.
func (g *Groups) limitsCold(service *routing.Service) bool {
	return g.Cold != nil && service != nil && service.ColdRate > 0
}

// setColdLimits sets the limits of a group with cold targets and their times.
func (g *Groups) setColdLimits(service *routing.Service, settings *broker.GroupSettings) {
	if !g.limitsCold(service) {
		return
	}
	settings.Config.ColdRate, settings.Config.ColdStart = g.Cold.rate(service), service.ColdStart
	now := time.Now()
	for i := range settings.Targets {
		g.Cold.describe(now, &settings.Targets[i], service.ColdStart)
	}
}

// service returns the service of that name, or nil.
func (g *Groups) service(name string) *routing.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// cold returns the targets of the service that are limited, and whether all that accept
// requests are.
func (g *Groups) cold(now time.Time, service *routing.Service) (ids map[string]bool, all bool) {
	if !g.limitsCold(service) {
		return nil, false
	}
	limited := g.Cold.cold(now, service)
	if len(limited) == 0 {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ids = make(map[string]bool, len(limited))
	for _, id := range limited {
		if _, ok := g.byID[id]; ok {
			ids[id] = true
		}
	}
	for _, t := range g.targets[service.Name] {
		if !t.Draining && !ids[t.ID] {
			return ids, false
		}
	}
	return ids, len(ids) > 0
}

// isCold reports whether the target is cold or was a short time ago.
func (g *Groups) isCold(now time.Time, t routing.Target) bool {
	ids, _ := g.cold(now, g.service(t.Service))
	return ids[t.ID]
}

// usesShared reports whether the shared broker grants the requests of the service. That of a
// plain service does so while a target of the service is cold.
func (p *Placer) usesShared(now time.Time, service *routing.Service) bool {
	if p.Shared == nil || p.isLocalOnly() {
		return false
	}
	if service.Engine || p.Sharing.contains(service.Name) {
		return true
	}
	cold, _ := p.Groups.cold(now, service)
	return len(cold) > 0
}

// excludeCold keeps a ticket of local placement off the cold targets. It fails if no other
// target accepts requests.
func (p *Placer) excludeCold(now time.Time, service *routing.Service, ticket *pb.Ticket) error {
	cold, all := p.Groups.cold(now, service)
	if all {
		return &RefusedError{Reason: scheduler.ReasonNoTarget}
	}
	for id := range cold {
		ticket.Excluded = append(ticket.Excluded, id)
		ticket.ExcludedMs = append(ticket.ExcludedMs, coldExclusion.Milliseconds())
	}
	return nil
}

// markCold records that the slot's target is cold for a time, or that it may have restarted
// if the time is 0.
func (s *slot) markCold(coldFor time.Duration) {
	groups := s.placer.Groups
	if !groups.limitsCold(groups.service(s.target.Service)) {
		return
	}
	if groups.Cold.mark(time.Now(), s.target.ID, coldFor) && s.placer.Shared != nil {
		s.placer.Shared.MarkCold(broker.GroupKey{Pool: s.target.Service}, s.target.ID, coldFor)
	}
}

// observeServed records a success of the slot's target.
func (s *slot) observeServed() {
	groups := s.placer.Groups
	if groups.limitsCold(groups.service(s.target.Service)) {
		groups.Cold.served(time.Now(), s.target.ID, s.granted)
	}
}

// begun tells the broker that the response has begun. The limit of cold targets needs it of
// all requests.
func (s *slot) begun() {
	groups := s.placer.Groups
	if groups.limitsCold(groups.service(s.target.Service)) {
		s.call.Received()
		return
	}
	s.call.Begun()
}

// sendBy returns the time by which the request must be written, zero without a bound.
func (s *slot) sendBy() time.Time {
	groups := s.placer.Groups
	if !groups.limitsCold(groups.service(s.target.Service)) {
		return time.Time{}
	}
	return s.granted.Add(sendWithin)
}
