package fleet

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/telemetry/field"
)

// schedule holds the times that depend on the size of the fleet.
type schedule struct {
	// nearPeriod and farPeriod are the times between two reports to the peers of the own
	// zone and to the other zones.
	nearPeriod, farPeriod time.Duration
	// nearTimeout and farTimeout are how long a peer of the own or another zone may own
	// groups after its last report. Two lost reports in a row do not move its groups.
	nearTimeout, farTimeout time.Duration
	// relays is the number of instances of each other zone that receive a report directly.
	relays int
}

// relayedWithin returns the number of relayed reports that an instance may receive within a
// time.
func relayedWithin(d time.Duration) int { return int(maxRelayedPerSecond * d / time.Second) }

// updateScheduleLocked adapts the schedule to the known peers.
func (f *Fleet) updateScheduleLocked() {
	near := 0
	zones := make(map[string]int)
	distant := 0
	for _, p := range f.peers {
		switch {
		case p.released():
		case p.Zone == f.settings.Zone:
			near++
		default:
			zones[p.Zone]++
			distant++
		}
	}
	s := schedule{relays: min(max(1, relayedWithin(preferredFarPeriod)/max(1, distant)), maxRelays)}
	far := 0
	for _, n := range zones {
		far += min(n, s.relays)
	}
	s.nearPeriod = max(reportPeriod, time.Duration(near)*time.Second/maxNearReportsPerSecond)
	s.farPeriod = max(reportPeriod, time.Duration(far)*time.Second/maxFarReportsPerSecond,
		time.Duration(distant*s.relays)*time.Second/maxRelayedPerSecond)
	s.nearTimeout = time.Duration(reportTimeoutPeriods * float64(s.nearPeriod))
	s.farTimeout = time.Duration(reportTimeoutPeriods * float64(s.farPeriod))
	if near >= s.relays {
		s.farTimeout += s.nearPeriod // reports of other zones may be passed on by a peer
	}
	f.schedule = s
}

// periods returns the times between two reports to the own zone and to the others.
func (f *Fleet) periods() (near, far time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.schedule.nearPeriod, f.schedule.farPeriod
}

// ownerTimeout is how long a peer may own groups after its last report.
func (f *Fleet) ownerTimeout(p *Peer) time.Duration {
	if p.Zone == f.settings.Zone {
		return f.schedule.nearTimeout
	}
	return f.schedule.farTimeout
}

// nextIsPartialLocked reports whether the next report of a kind, near or far, holds only
// the spending that changed: all but each completeReportInterval-th, unless a peer has
// started lately or runs a build that cannot apply it.
func (f *Fleet) nextIsPartialLocked(reports *int, now time.Time) bool {
	*reports++
	if *reports%completeReportInterval == 0 || now.Before(f.completeUntil) {
		return false
	}
	for _, p := range f.peers {
		if p.Report != nil && !p.Report.GetAcceptsPartialSpending() {
			return false
		}
	}
	return true
}

// reportNear sends this instance's report and the queued reports of other zones to the
// peers of the own zone.
func (f *Fleet) reportNear() {
	f.mu.Lock()
	now := time.Now()
	message := f.newReportLocked()
	message.SpendingPartial = f.nextIsPartialLocked(&f.nearReports, now)
	var addresses []string
	for _, p := range f.peers {
		if p.Zone == f.settings.Zone && (!p.released() || f.nearReports%releasedReportInterval == 0) {
			addresses = append(addresses, p.Address)
		}
	}
	for _, r := range f.toRelay {
		message.Relayed = append(message.Relayed, r)
	}
	clear(f.toRelay)
	f.mu.Unlock()
	f.send(message, addresses)
}

// reportFar sends this instance's report to a few instances of each other zone.
func (f *Fleet) reportFar() {
	f.mu.Lock()
	now := time.Now()
	message := f.newReportLocked()
	message.SpendingPartial = f.nextIsPartialLocked(&f.farReports, now)
	addresses := f.relaysLocked(now)
	f.mu.Unlock()
	f.send(message, addresses)
}

// relaysLocked returns the addresses of random instances of each other zone, first of
// those with recent reports.
func (f *Fleet) relaysLocked(now time.Time) []string {
	byZone := make(map[string][]*Peer)
	for _, p := range f.peers {
		if p.Zone != f.settings.Zone && (!p.released() || f.farReports%releasedReportInterval == 0) {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var addresses []string
	for _, peers := range byZone {
		rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
		slices.SortStableFunc(peers, func(a, b *Peer) int {
			switch {
			case f.isCurrent(a, now) == f.isCurrent(b, now):
				return 0
			case f.isCurrent(a, now):
				return -1
			}
			return 1
		})
		for _, p := range peers[:min(f.schedule.relays, len(peers))] {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// newReportLocked returns the next report without its load and usage.
func (f *Fleet) newReportLocked() *pb.FleetReport {
	f.sequence++
	message := &pb.FleetReport{
		Instance: f.settings.Self, Incarnation: f.settings.Incarnation, Sequence: f.sequence,
		Address: f.settings.Address, Zone: f.settings.Zone, Leaving: f.leaving,
		MilliCores: f.settings.MilliCores, AcceptsPartialSpending: true,
	}
	for _, t := range f.settings.Tables {
		if current := t.Current(); current != nil {
			message.Tables = append(message.Tables, &pb.TableVersion{
				Table: t.Name(), Changed: current.Changed, Digest: current.Digest, StoreUnavailable: t.StoreUnavailable(),
				ReadAtMs: f.readAtMs(t),
			})
		}
	}
	return message
}

// send fills a report and sends it.
func (f *Fleet) send(message *pb.FleetReport, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	f.settings.FillReport(message)
	data, err := proto.Marshal(message)
	if err != nil {
		f.settings.Log.Error("report could not be encoded", zap.Error(err))
		return
	}
	f.recordTraffic(message, len(addresses), len(data), time.Now())
	for _, address := range addresses {
		f.write(data, address)
	}
}

// writeDatagram sends a datagram. A lost report is replaced by the next one.
func (f *Fleet) writeDatagram(data []byte, address string) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		f.settings.Log.Warn("peer address is invalid", zap.String(field.Address, address), zap.Error(err))
		return
	}
	_, _ = f.conn.WriteToUDP(data, to)
}
