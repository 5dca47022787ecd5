package instance

import (
	"slices"
	"sync"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

const (
	// delayValidity is how long the measurements of an instance count. Complete reports,
	// which hold them, follow each other within 10 s also in large fleets.
	delayValidity = 30 * time.Second
	// delayUpdatePeriod is the interval between updates of the groups' link delays.
	delayUpdatePeriod = time.Second
)

// linkDelays holds the one-way delays that the instances have measured from their zone to
// the others.
type linkDelays struct {
	mu      sync.Mutex
	rows    map[string]delayRow
	updated time.Time
}

// delayRow is the measurement of one instance.
type delayRow struct {
	zone   string
	delays map[string]time.Duration
	at     time.Time
}

// set records the measurement of an instance.
func (l *linkDelays) set(now time.Time, instance, zone string, delays map[string]time.Duration) {
	if len(delays) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rows == nil {
		l.rows = make(map[string]delayRow)
	}
	l.rows[instance] = delayRow{zone: zone, delays: delays, at: now}
}

// medians returns the median delay of each pair of zones.
func (l *linkDelays) medians(now time.Time) map[scheduler.RegionPair]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	samples := make(map[scheduler.RegionPair][]time.Duration)
	for instance, row := range l.rows {
		if now.Sub(row.at) > delayValidity {
			delete(l.rows, instance)
			continue
		}
		for zone, delay := range row.delays {
			pair := scheduler.RegionPair{From: row.zone, To: zone}
			samples[pair] = append(samples[pair], delay)
		}
	}
	medians := make(map[scheduler.RegionPair]time.Duration, len(samples))
	for pair, delays := range samples {
		slices.Sort(delays)
		medians[pair] = delays[(len(delays)-1)/2]
	}
	return medians
}

// isDue reports whether the groups' delays should be updated, and records the update.
func (l *linkDelays) isDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.updated) < delayUpdatePeriod {
		return false
	}
	l.updated = now
	return true
}

// delaysForReport returns this instance's measurements. Partial reports have none, to keep
// them small.
func (i *Instance) delaysForReport(m *pb.FleetReport, now time.Time) []*pb.ZoneDelay {
	settings := i.settings.Load()
	if settings.SpillMinDelay <= 0 || m.GetSpendingPartial() {
		return nil
	}
	var list []*pb.ZoneDelay
	for zone, delay := range i.pool.LinkDelays(now, settings.Zone) {
		list = append(list, &pb.ZoneDelay{Zone: zone, Micros: uint32(delay.Microseconds())})
	}
	return list
}

// applyDelays records the measurements of a peer.
func (i *Instance) applyDelays(m *pb.FleetReport, now time.Time) {
	delays := make(map[string]time.Duration, len(m.GetZoneDelays()))
	for _, d := range m.GetZoneDelays() {
		delays[d.GetZone()] = time.Duration(d.GetMicros()) * time.Microsecond
	}
	i.delays.set(now, m.GetInstance(), m.GetZone(), delays)
}

// updateDelays passes the delays between zones to the shared groups.
func (i *Instance) updateDelays(now time.Time) {
	settings := i.settings.Load()
	if settings.SpillMinDelay <= 0 || !i.delays.isDue(now) {
		return
	}
	i.delays.set(now, settings.Instance, settings.Zone, i.pool.LinkDelays(now, settings.Zone))
	i.shared.SetLinkDelays(i.delays.medians(now))
}
