package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
)

// Periods and limits of a service's group.
const (
	// busyTick is the period of time-driven decisions while requests wait.
	busyTick = 20 * time.Millisecond
	// idleTick is their period otherwise: health and learned speeds only.
	idleTick = 500 * time.Millisecond
	// queueLimit bounds the waiting requests of a service at one instance. It only
	// guards memory; deadlines bound the queue in practice.
	queueLimit = 400
	// recentGrant is how long a grant is counted by the group itself and left out
	// of the prompts reported to it as outstanding.
	recentGrant = 100 * time.Millisecond
)

// Initial speeds of engines, which measured ones replace within a few requests.
// They are those of a 70B model on current accelerators.
const (
	initialPrefillPerSecond = 60_000
	initialDecodePerSecond  = 300
)

// RefusedError is the group's refusal of a request, which did not run.
type RefusedError struct {
	Reason     scheduler.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// Load is the work that instances have on a target.
type Load struct {
	// Running counts the requests that were sent and have not ended.
	Running int
	// PromptTokens are those of requests without a first event.
	PromptTokens int
}

// group schedules one service's requests at this instance. It owns a
// scheduler.Group and passes its decisions to the waiting requests.
type group struct {
	service string

	mu       sync.Mutex
	group    *scheduler.Group
	sequence uint64
	waiting  map[uint64]chan scheduler.Decision
	targets  map[string]routing.Target
	own      map[string]*ownLoad
	foreign  map[string]Load
	wake     chan struct{}
}

// ownLoad is this instance's work on one target.
type ownLoad struct {
	running int
	prompts map[uint64]prompt
}

type prompt struct {
	tokens int
	since  time.Time
}

func newGroup(service string, config scheduler.GroupConfig) *group {
	config.QueueLimit = queueLimit
	return &group{
		service: service,
		group:   scheduler.NewGroup(config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting: make(map[uint64]chan scheduler.Decision),
		targets: make(map[string]routing.Target),
		own:     make(map[string]*ownLoad),
		foreign: make(map[string]Load),
		wake:    make(chan struct{}, 1),
	}
}

// run makes the decisions that depend on time alone until ctx ends.
func (g *group) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		g.mu.Lock()
		g.deliver(g.group.Tick(time.Now()))
		period := idleTick
		if len(g.waiting) > 0 {
			period = busyTick
		}
		g.mu.Unlock()
		timer.Reset(period)
	}
}

// setTargets replaces the service's targets.
func (g *group) setTargets(targets []routing.Target, engine bool, extraSlots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.targets)
	described := make([]scheduler.Target, 0, len(targets))
	for _, t := range targets {
		g.targets[t.ID] = t
		described = append(described, scheduler.Target{
			Name:                   t.ID,
			Region:                 t.Zone,
			Zone:                   t.Zone,
			Versions:               []string{t.Version},
			Concurrency:            t.Slots + extraSlots,
			PrefillTokensPerSecond: initialPrefillPerSecond,
			DecodeTokensPerSecond:  initialDecodePerSecond,
			Leaving:                t.Draining,
			Service:                !engine,
		})
	}
	g.deliver(g.group.SetTargets(time.Now(), described))
}

// setForeign tells what the other instances have on the targets.
func (g *group) setForeign(foreign map[string]Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.foreign = foreign
	now := time.Now()
	for id := range g.targets {
		load := foreign[id]
		running, prompts := load.Running, load.PromptTokens
		if own, ok := g.own[id]; ok {
			running += own.running
			for _, p := range own.prompts {
				if now.Sub(p.since) > recentGrant {
					prompts += p.tokens
				}
			}
		}
		g.group.ObserveLoad(now, scheduler.LoadReport{
			Target: id, AsOf: now, Running: running, QueuedPrefillTokens: prompts,
		})
	}
	g.deliver(g.group.Tick(now))
}

// load adds this instance's work to the map.
func (g *group) load(into map[string]Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, own := range g.own {
		l := Load{Running: own.running}
		for _, p := range own.prompts {
			l.PromptTokens += p.tokens
		}
		if l.Running > 0 {
			into[id] = l
		}
	}
}

// deliver passes decisions to the requests that wait for them.
func (g *group) deliver(decisions []scheduler.Decision) {
	for _, d := range decisions {
		var sequence uint64
		switch d := d.(type) {
		case scheduler.Grant:
			sequence = d.Ticket.Sequence
		case scheduler.Refuse:
			sequence = d.Ticket.Sequence
		default:
			continue
		}
		if waiting, ok := g.waiting[sequence]; ok {
			delete(g.waiting, sequence)
			waiting <- d
		}
	}
}

// slot is permission to send one request to a target.
type slot struct {
	group    *group
	sequence uint64
	target   routing.Target
	granted  time.Time
	prompt   int
}

// acquire waits for a slot. The error is a *RefusedError or the context's cause.
func (g *group) acquire(ctx context.Context, ticket scheduler.Ticket) (*slot, error) {
	decided := make(chan scheduler.Decision, 1)
	g.mu.Lock()
	g.sequence++
	sequence := g.sequence
	ticket.ID = scheduler.TicketID{Sequence: sequence}
	g.waiting[sequence] = decided
	g.deliver(g.group.Submit(time.Now(), ticket))
	_, waits := g.waiting[sequence]
	g.mu.Unlock()
	if waits {
		g.signal()
	}
	select {
	case d := <-decided:
		return g.granted(d, ticket)
	case <-ctx.Done():
		g.withdraw(sequence, decided)
		return nil, context.Cause(ctx)
	}
}

func (g *group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *group) granted(d scheduler.Decision, ticket scheduler.Ticket) (*slot, error) {
	if refused, ok := d.(scheduler.Refuse); ok {
		return nil, &RefusedError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	grant, ok := d.(scheduler.Grant)
	if !ok {
		panic(fmt.Sprintf("gateway: decision of type %T for a waiting request", d))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &slot{group: g, sequence: grant.Ticket.Sequence, granted: time.Now(), prompt: ticket.PromptTokens}
	target, known := g.targets[grant.Target]
	if !known {
		g.completeLocked(scheduler.Completion{ID: grant.Ticket, Result: scheduler.ResultNotDispatched})
		return nil, &RefusedError{Reason: scheduler.ReasonNoTarget}
	}
	s.target = target
	own, ok := g.own[target.ID]
	if !ok {
		own = &ownLoad{prompts: make(map[uint64]prompt)}
		g.own[target.ID] = own
	}
	own.running++
	own.prompts[s.sequence] = prompt{tokens: ticket.PromptTokens, since: s.granted}
	g.group.Dispatched(s.granted, grant.Ticket)
	return s, nil
}

func (g *group) withdraw(sequence uint64, decided chan scheduler.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := scheduler.TicketID{Sequence: sequence}
	if _, waits := g.waiting[sequence]; waits {
		delete(g.waiting, sequence)
		g.deliver(g.group.Withdraw(time.Now(), id))
		return
	}
	if _, ok := (<-decided).(scheduler.Grant); ok {
		g.completeLocked(scheduler.Completion{ID: id, Result: scheduler.ResultNotDispatched})
	}
}

func (g *group) completeLocked(c scheduler.Completion) {
	g.deliver(g.group.Complete(time.Now(), c))
}

// begun tells that the first event or the answer has come.
func (s *slot) begun() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if own, ok := s.group.own[s.target.ID]; ok {
		delete(own.prompts, s.sequence)
	}
}

// release ends the use of the slot.
func (s *slot) release(result scheduler.Result, firstToken time.Duration, outputTokens int) {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if own, ok := g.own[s.target.ID]; ok {
		own.running--
		delete(own.prompts, s.sequence)
		if own.running == 0 {
			delete(g.own, s.target.ID)
		}
	}
	g.completeLocked(scheduler.Completion{
		ID:           scheduler.TicketID{Sequence: s.sequence},
		Result:       result,
		PromptTokens: s.prompt,
		OutputTokens: outputTokens,
		FirstToken:   firstToken,
		Total:        time.Since(s.granted),
	})
}

// quarantined returns what the group knows of requests that crash targets.
func (g *group) quarantined(now time.Time) []scheduler.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.group.Quarantined(now)
}

// setQuarantined takes over what other instances know of such requests.
func (g *group) setQuarantined(now time.Time, entries []scheduler.QuarantineEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.group.SetQuarantined(now, entries))
}
