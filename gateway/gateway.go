// Package gateway is the callers' handler of an instance that forwards requests
// to the targets of a platform. It decides for each request which target runs
// it, whether it waits or is refused, and whether it may be sent again.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/forward"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
)

// Settings is what a Gateway works with.
type Settings struct {
	Zone    string
	Dialect Dialect
	Pool    *forward.Pool
	Ledger  *quota.Ledger
	Retries *quota.Retries
	// Links are the connections between availability zones.
	Links   map[scheduler.RegionPair]scheduler.Link
	Metrics *Metrics
	Log     *zap.Logger
}

// Gateway serves callers' requests.
type Gateway struct {
	settings Settings
	table    atomic.Pointer[routing.Table]

	mu     sync.Mutex
	ctx    context.Context
	groups map[string]*group
	// targets holds those of each service.
	targets map[string][]routing.Target
	// quarantine is what other instances know of requests that crash targets.
	quarantine []scheduler.QuarantineEntry
	wg         sync.WaitGroup

	draining atomic.Bool
	inFlight sync.WaitGroup
}

// New returns a Gateway whose groups stop when ctx ends.
func New(ctx context.Context, settings Settings) *Gateway {
	return &Gateway{
		settings: settings,
		ctx:      ctx,
		groups:   make(map[string]*group),
		targets:  make(map[string][]routing.Target),
	}
}

// SetTable puts a configuration in force.
func (g *Gateway) SetTable(table *routing.Table) {
	g.table.Store(table)
	now := time.Now()
	for _, w := range table.Config().Workspaces {
		if w.Quota.Rate > 0 {
			g.settings.Ledger.Open(now, w.Name, limitOf(w.Quota))
		}
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// SetTargets replaces the targets of all services.
func (g *Gateway) SetTargets(targets []routing.Target) {
	byService := make(map[string][]routing.Target)
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets = byService
	for name, grp := range g.groups {
		g.describe(grp, byService[name])
	}
}

// engineExtraSlots are the requests that a model engine holds beyond those it
// runs side by side, so that a slot that becomes free is used before the next
// request has arrived.
const engineExtraSlots = 2

// serviceExtraSlots are those of a plain service.
const serviceExtraSlots = 6

func (g *Gateway) describe(grp *group, targets []routing.Target) {
	table := g.table.Load()
	engine := false
	if table != nil {
		if service := table.Service(grp.service); service != nil {
			engine = service.Engine
		}
	}
	extra := serviceExtraSlots
	if engine {
		extra = engineExtraSlots
	}
	grp.setTargets(targets, engine, extra)
}

// group returns the group of a service and starts it if needed.
func (g *Gateway) group(service string) *group {
	g.mu.Lock()
	defer g.mu.Unlock()
	if grp, ok := g.groups[service]; ok {
		return grp
	}
	grp := newGroup(service, scheduler.GroupConfig{Pool: service, Links: g.settings.Links})
	g.groups[service] = grp
	g.describe(grp, g.targets[service])
	grp.setQuarantined(time.Now(), g.quarantine)
	g.wg.Go(func() { grp.run(g.ctx) })
	return grp
}

func (g *Gateway) allGroups() []*group {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*group, 0, len(g.groups))
	for _, grp := range g.groups {
		all = append(all, grp)
	}
	return all
}

// Load returns this instance's work by target.
func (g *Gateway) Load() map[string]Load {
	loads := make(map[string]Load)
	for _, grp := range g.allGroups() {
		grp.load(loads)
	}
	return loads
}

// SetForeignLoad tells what the other instances have on the targets.
func (g *Gateway) SetForeignLoad(loads map[string]Load) {
	for _, grp := range g.allGroups() {
		grp.setForeign(loads)
	}
}

// Quarantined returns what this instance knows of requests that crash targets.
func (g *Gateway) Quarantined() []scheduler.QuarantineEntry {
	now := time.Now()
	var all []scheduler.QuarantineEntry
	for _, grp := range g.allGroups() {
		all = append(all, grp.quarantined(now)...)
	}
	return all
}

// SetQuarantined takes over what other instances know of such requests.
func (g *Gateway) SetQuarantined(entries []scheduler.QuarantineEntry) {
	g.mu.Lock()
	g.quarantine = entries
	g.mu.Unlock()
	now := time.Now()
	for _, grp := range g.allGroups() {
		grp.setQuarantined(now, entries)
	}
}

// Drain has answers close their connections from now on.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Wait returns when all requests have ended, or with the context's error.
func (g *Gateway) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	out := &responder{w: w, dialect: g.settings.Dialect}
	req, refused := g.admit(w, r)
	if refused != nil {
		out.refuse(refused)
		g.ended(req, out, refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), req.deadline, errTimeout)
	defer cancel()
	failed := g.serve(ctx, out, req)
	if failed != nil && !out.started {
		out.refuse(failed)
	}
	g.ended(req, out, failed)
	if failed != nil && out.started && !out.complete {
		// An answer that has begun and cannot be completed must not look complete.
		panic(http.ErrAbortHandler)
	}
}
