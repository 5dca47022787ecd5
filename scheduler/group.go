package scheduler

import (
	"math/rand/v2"
	"time"
)

// GrantValidity is the time within which an entry must use a grant.
const GrantValidity = 2 * time.Second

// Defaults of GroupConfig.
const (
	DefaultQueueLimit  = 1000
	DefaultConcurrency = 8
)

// GroupConfig holds the settings of a group.
type GroupConfig struct {
	Pool  string
	Shard int
	// QueueLimit bounds the waiting tickets; 0 means DefaultQueueLimit.
	QueueLimit int
}

// Group schedules the tickets of one target group. It is not safe for
// concurrent use.
type Group struct {
	cfg     GroupConfig
	rng     *rand.Rand
	targets map[string]*targetState
	waiting []Ticket
	running map[TicketID]*run
}

type targetState struct {
	Target
	running int
}

type run struct {
	ticket  Ticket
	target  string
	granted time.Time
}

// NewGroup returns an empty group.
func NewGroup(cfg GroupConfig, rng *rand.Rand) *Group {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = DefaultQueueLimit
	}
	return &Group{
		cfg:     cfg,
		rng:     rng,
		targets: make(map[string]*targetState),
		running: make(map[TicketID]*run),
	}
}

// SetTargets replaces the targets of the group.
func (g *Group) SetTargets(now time.Time, targets []Target) []Decision {
	next := make(map[string]*targetState, len(targets))
	for _, t := range targets {
		state := &targetState{Target: t}
		if old, ok := g.targets[t.Name]; ok {
			state.running = old.running
		}
		next[t.Name] = state
	}
	g.targets = next
	return g.schedule(now)
}

// Submit adds a waiting ticket. A ticket that is known already is not added again.
func (g *Group) Submit(now time.Time, t Ticket) []Decision {
	if _, ok := g.running[t.ID]; ok || g.isWaiting(t.ID) {
		return nil
	}
	if len(g.waiting) >= g.cfg.QueueLimit {
		return []Decision{Refuse{Ticket: t.ID, Reason: ReasonQueueFull, RetryAfter: time.Second}}
	}
	g.waiting = append(g.waiting, t)
	return g.schedule(now)
}

// Adopt records a ticket that an earlier broker granted.
func (g *Group) Adopt(now time.Time, t Ticket, target string, age time.Duration) {
	if _, ok := g.running[t.ID]; ok {
		return
	}
	g.running[t.ID] = &run{ticket: t, target: target, granted: now.Add(-age)}
	if state, ok := g.targets[target]; ok {
		state.running++
	}
}

// Dispatched records that the entry has begun to use its grant.
func (g *Group) Dispatched(_ time.Time, _ TicketID) {}

// Withdraw removes a waiting ticket whose caller is gone.
func (g *Group) Withdraw(_ time.Time, id TicketID) []Decision {
	for i := range g.waiting {
		if g.waiting[i].ID == id {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	return nil
}

// Complete ends a granted ticket.
func (g *Group) Complete(now time.Time, c Completion) []Decision {
	r, ok := g.running[c.ID]
	if !ok {
		return nil
	}
	delete(g.running, c.ID)
	if state, ok := g.targets[r.target]; ok {
		state.running--
	}
	return g.schedule(now)
}

// EntryGone drops the waiting tickets of an entry whose stream ended.
func (g *Group) EntryGone(_ time.Time, instance string, incarnation uint64) {
	kept := g.waiting[:0]
	for _, t := range g.waiting {
		if t.ID.Instance != instance || t.ID.Incarnation != incarnation {
			kept = append(kept, t)
		}
	}
	g.waiting = kept
}

// ObserveLoad corrects the group's own counts by a target's published load.
func (g *Group) ObserveLoad(_ time.Time, _ LoadReport) {}

// ObserveCache feeds the prefix index with a target's cache events.
func (g *Group) ObserveCache(_ time.Time, _ string, _ []CacheEvent) {}

// Tick makes the decisions that depend on time alone.
func (g *Group) Tick(now time.Time) []Decision {
	var decisions []Decision
	kept := g.waiting[:0]
	for _, t := range g.waiting {
		if now.After(t.Deadline) {
			decisions = append(decisions, Refuse{Ticket: t.ID, Reason: ReasonDeadline})
			continue
		}
		kept = append(kept, t)
	}
	g.waiting = kept
	return append(decisions, g.schedule(now)...)
}

func (g *Group) isWaiting(id TicketID) bool {
	for i := range g.waiting {
		if g.waiting[i].ID == id {
			return true
		}
	}
	return false
}

func (g *Group) schedule(now time.Time) []Decision {
	var decisions []Decision
	for i := 0; i < len(g.waiting); {
		t := g.waiting[i]
		target := g.leastLoaded(t)
		if target == nil {
			i++
			continue
		}
		g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
		target.running++
		g.running[t.ID] = &run{ticket: t, target: target.Name, granted: now}
		decisions = append(decisions, Grant{Ticket: t.ID, Target: target.Name, Expires: now.Add(GrantValidity)})
	}
	return decisions
}

func (g *Group) leastLoaded(t Ticket) *targetState {
	var best *targetState
	for _, s := range g.targets {
		limit := s.Concurrency
		if limit == 0 {
			limit = DefaultConcurrency
		}
		if s.Leaving || s.running >= limit || !s.hasVersion(t.Version) {
			continue
		}
		if best == nil || s.running < best.running || (s.running == best.running && s.Name < best.Name) {
			best = s
		}
	}
	return best
}

func (s *targetState) hasVersion(version string) bool {
	if version == "" {
		return true
	}
	for _, v := range s.Versions {
		if v == version {
			return true
		}
	}
	return false
}
