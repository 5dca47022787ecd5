package gateway

import (
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// maxSharedSlots is the number of slots up to which a plain service is shared. A broker
	// handles some 1,500 tickets a second, as many as 128 slots complete at 85 ms a request.
	maxSharedSlots = 128
	// sharingMargin is the part of a bound by which the number of instances or of slots must
	// pass it before a service is no longer shared, so that changes near a bound do not
	// switch it repeatedly.
	sharingMargin = 0.2
)

// Sharing selects the plain services that the shared broker places. Each instance alone
// places by counts of its peers that are up to a second old. Where many instances share few
// slots, the counts are no longer right when they are used, and targets turn requests away
// while others have room.
type Sharing struct {
	// From is the number of instances from which services are shared; 0 means never.
	From int
	Log  *zap.Logger

	services atomic.Pointer[map[string]bool]
}

// Update selects the services anew. It must not be called concurrently.
func (s *Sharing) Update(groups *Groups, instances int) {
	if s.From <= 0 {
		return
	}
	selected := make(map[string]bool)
	for service, slots := range groups.plainSlots() {
		from, most := float64(s.From), float64(maxSharedSlots)
		if s.contains(service) {
			from, most = from*(1-sharingMargin), most*(1+sharingMargin)
		}
		if float64(instances) >= from && slots > 0 && float64(slots) <= most {
			selected[service] = true
		}
		if selected[service] != s.contains(service) {
			message := "plain service placed by each instance alone"
			if selected[service] {
				message = "plain service placed by the shared broker"
			}
			s.Log.Info(message, zap.String(field.Service, service), zap.Int(field.Slots, slots), zap.Int(field.Instances, instances))
		}
	}
	s.services.Store(&selected)
}

// contains reports whether the shared broker places the plain service.
func (s *Sharing) contains(service string) bool {
	services := s.services.Load()
	return services != nil && (*services)[service]
}

// plainSlots returns the slots of each plain service on targets that are not draining.
func (g *Groups) plainSlots() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := make(map[string]int)
	for name, service := range g.services {
		if service.Engine {
			continue
		}
		for _, t := range g.targets[name] {
			if !t.Draining {
				slots[name] += t.Slots
			}
		}
	}
	return slots
}
