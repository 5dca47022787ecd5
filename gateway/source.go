package gateway

import (
	"sync"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
)

const (
	// queueLimit bounds the waiting requests of a group. It only limits memory use;
	// in practice deadlines bound the queue.
	queueLimit = 2000
	// engineExtraSlots is the number of requests that a model engine holds beyond those
	// it runs concurrently, so that a slot that becomes free is used before the next
	// request arrives.
	engineExtraSlots = 1
	// serviceExtraSlots is the same for a plain service.
	serviceExtraSlots = 6
)

// Initial speeds of engines: those of a 70B model on current accelerators. Measured
// speeds replace them within a few requests.
const (
	initialPrefillPerSecond = 60_000
	initialDecodePerSecond  = 300
)

// Groups provides the groups of services to the brokers. It implements broker.Source.
type Groups struct {
	// Links are the connections between availability zones.
	Links map[scheduler.RegionPair]scheduler.Link
	// Cold limits the requests to cold targets; nil without a limit.
	Cold *ColdTargets
	// Overload applies the rules for overload to model engines.
	Overload bool
	// Spill configures the planned shares between zones of the groups of engines.
	Spill scheduler.SpillConfig

	mu       sync.Mutex
	services map[string]*routing.Service
	targets  map[string][]routing.Target
	byID     map[string]routing.Target
	places   places
}

// SetTable replaces the services by those of a configuration.
func (g *Groups) SetTable(table *routing.Table) {
	services := make(map[string]*routing.Service)
	config := table.Config()
	for i := range config.Services {
		services[config.Services[i].Name] = &config.Services[i]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.services = services
}

// SetTargets replaces the targets of all services.
func (g *Groups) SetTargets(targets []routing.Target) {
	byService := make(map[string][]routing.Target)
	byID := make(map[string]routing.Target, len(targets))
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
		byID[t.ID] = t
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets, g.byID = byService, byID
	g.places.index(g.targets)
}

// Target returns the target with the id.
func (g *Groups) Target(id string) (routing.Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.byID[id]
	return t, ok
}

// Versions returns the slots of each version of a service on targets that get requests.
func (g *Groups) Versions(service string) map[string]int {
	return g.versionsWithin(service, routing.Residency{})
}

// Zones counts the targets of a service by availability zone.
func (g *Groups) Zones(service string) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	zones := make(map[string]int)
	for _, t := range g.targets[service] {
		zones[t.Zone]++
	}
	return zones
}

// Group implements broker.Source. Availability zones are used as the scheduler's
// regions, because traffic between zones also has a price.
func (g *Groups) Group(key broker.GroupKey) (broker.GroupSettings, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	service, ok := g.services[key.Pool]
	if !ok {
		return broker.GroupSettings{}, false
	}
	extra := serviceExtraSlots
	if service.Engine {
		extra = engineExtraSlots
	}
	settings := broker.GroupSettings{
		Config:    scheduler.GroupConfig{Pool: key.Pool, QueueLimit: queueLimit, Links: g.Links},
		Addresses: make(map[string]string),
	}
	settings.Config.Overload.Enabled = g.Overload && service.Engine
	tokenCapacity := 0
	if settings.Config.Overload.Enabled {
		tokenCapacity = service.TokenCapacity
	}
	if service.Engine {
		settings.Config.Spill = g.Spill
	}
	for _, t := range g.targets[key.Pool] {
		settings.Addresses[t.ID] = t.Address
		settings.Targets = append(settings.Targets, scheduler.Target{
			Name:                   t.ID,
			Start:                  t.StartedAtUnixMilli,
			Region:                 t.Zone,
			Zone:                   t.Zone,
			Versions:               []string{t.Version},
			Concurrency:            t.Slots + extra,
			PrefillTokensPerSecond: initialPrefillPerSecond,
			DecodeTokensPerSecond:  initialDecodePerSecond,
			SpeedUnknown:           service.Engine,
			Leaving:                t.Draining || g.places.evacuated[t.Zone],
			ResidencyRegion:        g.places.regions[t.Zone],
			Service:                !service.Engine,
			TokenCapacity:          tokenCapacity,
		})
	}
	g.setColdLimits(service, &settings)
	return settings, true
}

// Weight implements broker.Source: workspaces of one tier have equal shares.
func (g *Groups) Weight(string) float64 { return 1 }
