package gateway

import (
	"strings"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
)

// places holds where targets may get requests.
type places struct {
	// regions maps availability zones to regions.
	regions map[string]string
	// evacuated holds the zones whose targets get no requests.
	evacuated map[string]bool
	// serving holds, by service, the regions with a target that gets requests.
	serving map[string]map[string]bool
}

// index recomputes the regions that serve each service.
func (p *places) index(targets map[string][]routing.Target) {
	p.serving = make(map[string]map[string]bool, len(targets))
	for service, all := range targets {
		p.serving[service] = make(map[string]bool)
		for _, t := range all {
			if p.getsRequests(t) {
				p.serving[service][p.regions[t.Zone]] = true
			}
		}
	}
}

func (p *places) getsRequests(t routing.Target) bool { return !t.Draining && !p.evacuated[t.Zone] }

// SetRegions replaces the regions of the availability zones.
func (g *Groups) SetRegions(regions map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.places.regions = regions
	g.places.index(g.targets)
}

// SetEvacuated replaces the evacuated availability zones. Their targets count as draining.
func (g *Groups) SetEvacuated(zones map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.places.evacuated = zones
	g.places.index(g.targets)
}

// versionsWithin returns the slots of each version of a service on targets that get
// requests and may run those of the residency.
func (g *Groups) versionsWithin(service string, residency routing.Residency) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	versions := make(map[string]int)
	for _, t := range g.targets[service] {
		if g.places.getsRequests(t) && residency.Allows(g.places.regions[t.Zone]) {
			versions[t.Version] += t.Slots
		}
	}
	return versions
}

// Causes for which a target must not run a request.
const (
	causeEvacuated = "zone evacuated"
	causeRegion    = "region not allowed"
)

// forbids returns why the target must not run a request with the residency now, or "".
func (g *Groups) forbids(target routing.Target, residency routing.Residency) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.places.forbids(target, residency)
}

func (p *places) forbids(target routing.Target, residency routing.Residency) string {
	switch {
	case !residency.Allows(p.regions[target.Zone]):
		return causeRegion
	case p.evacuated[target.Zone]:
		return causeEvacuated
	}
	return ""
}

// forbiddenFor is how long a forbidden target is excluded on a ticket: longer than any
// ticket waits.
const forbiddenFor = time.Hour

// restrict sets the allowed regions on a ticket. It returns false if no region is allowed or
// if all targets of the service are elsewhere. If listTargets is set, it also lists the targets that must not run the
// request, for a broker that does not know the allowed regions or that has not heard of an
// evacuation yet.
func (g *Groups) restrict(ticket *pb.Ticket, service string, residency routing.Residency, listTargets bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket.AllowedRegions = residency.Regions()
	if residency.Restricted() && (len(residency.Regions()) == 0 || !g.places.serves(service, residency)) {
		return false
	}
	if !listTargets {
		return true
	}
	for _, t := range g.targets[service] {
		if g.places.forbids(t, residency) != "" {
			ticket.Excluded = append(ticket.Excluded, t.ID)
			ticket.ExcludedMs = append(ticket.ExcludedMs, forbiddenFor.Milliseconds())
		}
	}
	return true
}

// serves reports whether a target of the service that gets requests is in an allowed region.
// While no target of the service is known, a request may wait: the instance may not have read
// the registry yet.
func (p *places) serves(service string, residency routing.Residency) bool {
	regions, known := p.serving[service]
	if !known {
		return true
	}
	for region := range regions {
		if residency.Allows(region) {
			return true
		}
	}
	return false
}

// RunningByZone counts the requests of this instance that run in each availability zone.
func (p *Placer) RunningByZone() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := make(map[string]int)
	for _, slots := range p.slotsByTarget {
		for s := range slots {
			running[s.target.Zone]++
		}
	}
	return running
}

// residency returns where a request may be served by the current configuration. If a route
// of another name now serves the request's path, the regions of both apply.
func (g *Gateway) residency(req *request) routing.Residency {
	table := g.table.Load()
	if table == req.residencyTable {
		return req.residency
	}
	path, _, _ := strings.Cut(req.uri, "?")
	route := table.Match(req.host, path)
	if route == nil {
		route = req.route
	}
	workspace := req.workspace
	if workspace != nil {
		if current := table.Workspace(workspace.Name); current != nil {
			workspace = current
		}
	}
	req.residency = routing.ResidencyOf(route, workspace)
	if route.Name != req.route.Name {
		req.residency = req.residency.Within(req.route.AllowedRegions)
	}
	req.residencyTable = table
	return req.residency
}

// versionsFor returns the function that counts the slots on which a request may run.
func (g *Gateway) versionsFor(req *request) func(service string) map[string]int {
	residency := g.residency(req)
	return func(service string) map[string]int {
		return g.settings.Placer.Groups.versionsWithin(service, residency)
	}
}
