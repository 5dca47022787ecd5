package broker

import (
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// SetLinkDelays passes the measured one-way delays between zones to all groups. Groups that
// start later get those of the next call.
func (m *Manager) SetLinkDelays(delays map[scheduler.RegionPair]time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runners {
		select {
		case r.events <- r.setLinkDelays(delays):
		default: // the next call has newer delays
		}
	}
}

func (r *runner) setLinkDelays(delays map[scheduler.RegionPair]time.Duration) event {
	return func(time.Time) []scheduler.Decision {
		r.group.SetLinkDelays(delays)
		return nil
	}
}

// logSpill logs the shares that began or ended.
func (r *runner) logSpill() {
	for _, c := range r.group.TakeSpillChanges() {
		message := "spill share begins"
		if c.Share == 0 {
			message = "spill share ends"
		}
		r.log.Info(message, zap.String(field.FromZone, c.From), zap.String(field.ToZone, c.To), zap.Float64(field.SpillShare, c.Share))
	}
}
