// Package fleet connects the instances that serve one platform. Each instance reports its
// load on the targets and its quota usage in datagrams to the instances of its
// availability zone and to a few of each other zone, which pass them on within theirs. It
// also serves its copies of the store's tables, so that only some instances read the
// store and an instance without access to it still receives changes.
package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Periods and times of the reports.
const (
	// reportPeriod is the shortest time between two reports to each peer of the same zone,
	// and between two reports to each other zone.
	reportPeriod = 200 * time.Millisecond
	// maxNearReportsPerSecond and maxFarReportsPerSecond bound the datagrams of an instance
	// to its own zone and to the other zones; larger fleets report less often.
	maxNearReportsPerSecond = 100
	maxFarReportsPerSecond  = 40
	// maxRelays is the largest number of instances of each other zone that receive a report
	// directly. They pass it on within their zone.
	maxRelays = 3
	// maxRelayedPerSecond bounds the relayed reports that an instance receives from its zone.
	// Large fleets use fewer relays and report less often to other zones.
	maxRelayedPerSecond = 300
	// preferredFarPeriod is the time between two reports to the other zones for which a
	// fleet uses fewer relays than maxRelays.
	preferredFarPeriod = 500 * time.Millisecond
	// minReportTimeout is the shortest time without a report after which a peer's load is
	// no longer counted. The time is longer if reports are less frequent.
	minReportTimeout = time.Second
	// reportTimeoutPeriods is the number of report periods after which a peer without a
	// report loses its groups.
	reportTimeoutPeriods = 3.5
	// failureBackoff is how long a peer cannot own groups after a reported failure.
	failureBackoff = 2 * time.Second
	// releasedReportInterval is the number of reports of which a peer whose row is released
	// gets one. It learns from that one that a partition has ended.
	releasedReportInterval = 8
	// maxDatagram bounds a report, close to the largest IPv4 datagram without headers.
	maxDatagram = 60 << 10
	// completeReportInterval is the number of reports of which one holds the spending of all
	// workspaces. The others hold what changed.
	completeReportInterval = 8
	// completeReportsPeriod is the time after the start, and after the start of each peer, for
	// which all reports are complete: a peer must know what the instance had spent before the
	// first partial one.
	completeReportsPeriod = 3 * time.Second
	// trafficLogPeriod is the interval between log lines about the reports sent.
	trafficLogPeriod = 5 * time.Second
)

// Hash returns the hash that identifies a target in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Peer is the state of another instance.
type Peer struct {
	Name        string
	Incarnation uint64
	Address     string
	// LastReportAt is when the last report was received, zero before the first.
	LastReportAt time.Time
	// DiscoveredAt is when this incarnation of the peer was discovered.
	DiscoveredAt time.Time
	// seenAt is how long this instance had run when it received the last report or, without
	// one, discovered the peer.
	seenAt time.Duration
	// Zone is the peer's availability zone, empty if not known yet.
	Zone string
	// Leaving is set once the peer has reported that it shuts down, first at leftAt.
	Leaving bool
	leftAt  time.Time
	Report  *pb.FleetReport
	// avoidUntil is when the peer may own groups again after a reported failure.
	avoidUntil time.Time
	row        rowState
}

// Settings configures a Fleet.
type Settings struct {
	Self        string
	Incarnation uint64
	Zone        string
	// Address is the address of the listeners for datagrams and for tables.
	Address string
	// Seeds are addresses of instances to contact while no peer is known.
	Seeds []string
	// MilliCores is this instance's processor time in thousandths of a core, 0 if unknown.
	MilliCores uint32
	// Grace is the time after which an instance that shuts down has ended.
	Grace  time.Duration
	Tables []*mirror.Table
	// FillReport fills this instance's report.
	FillReport func(*pb.FleetReport)
	// OnReport is called with each new report.
	OnReport func(*pb.FleetReport)
	// Instances is the table of the instances' rows, one of Tables, and LatestStoreTime the
	// latest time that the store's clock can show now, false if unknown. Without them the
	// instance has no lease on its part of the limits.
	Instances       *mirror.Table
	LatestStoreTime func() (time.Duration, bool)
	// FillCopy adds to the response with a whole table what else a peer that starts needs, and
	// OnCopy receives such a response. Both may be nil.
	FillCopy, OnCopy func(*pb.FetchTableResponse)
	// Authorize adds the instances' key to the header of a call; may be nil.
	Authorize func(http.Header)
	Log       *zap.Logger
}

// Fleet is one instance's view of its peers.
type Fleet struct {
	settings Settings
	conn     *net.UDPConn
	// write sends a datagram to an address.
	write func(data []byte, address string)

	mu    sync.Mutex
	peers map[string]*Peer
	// hasMembers is set once the store or a peer has listed members.
	hasMembers bool
	sequence   uint64
	// completeUntil is the end of the last completeReportsPeriod. nearReports and farReports
	// count the reports to the own zone and to the others.
	completeUntil           time.Time
	nearReports, farReports int
	leaving                 bool
	seeds                   []string
	schedule                schedule
	lease                   lease
	// clock measures the silence of peers.
	clock runClock
	// toRelay holds the reports to pass on within the zone, by instance.
	toRelay map[string]*pb.RelayedReport

	// announced and announcedFar wake Run to report a changed table to the instances of the
	// same zone and to those of other zones.
	announced, announcedFar chan struct{}
	traffic                 traffic
}

// New binds the datagram listener.
func New(settings Settings) (*Fleet, error) {
	address, err := net.ResolveUDPAddr("udp4", settings.Address)
	if err != nil {
		return nil, fmt.Errorf("resolve the address for reports: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for reports: %w", err)
	}
	f := &Fleet{
		settings: settings, conn: conn, peers: make(map[string]*Peer), seeds: settings.Seeds, announced: make(chan struct{}, 1),
		announcedFar: make(chan struct{}, 1),
		toRelay:      make(map[string]*pb.RelayedReport), completeUntil: time.Now().Add(completeReportsPeriod),
	}
	f.write = f.writeDatagram
	f.updateScheduleLocked()
	if settings.Instances != nil {
		settings.Instances.SetNeedsReadAt()
	}
	for _, t := range settings.Tables {
		t.SetReads(func() bool { return f.ReadsStore(t.Name(), time.Now()) })
		t.SetOnStoreChange(func() {
			signal(f.announced)
			signal(f.announcedFar)
		})
	}
	return f, nil
}

// Run exchanges reports until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(f.receive)
	group.Go(func() { f.syncTables(ctx) })
	near, far := time.NewTimer(reportPeriod), time.NewTimer(reportPeriod)
	defer near.Stop()
	defer far.Stop()
	for {
		nearPeriod, farPeriod := f.periods()
		select {
		case <-ctx.Done():
			_ = f.conn.Close() // ends receive
			group.Wait()
			return
		case <-f.announced:
			f.reportNear()
		case <-f.announcedFar:
			f.reportFar()
		case <-near.C:
			near.Reset(nearPeriod)
			f.reportNear()
		case <-far.C:
			far.Reset(farPeriod)
			f.reportFar()
		}
	}
}

// signal wakes the receiver of a channel. Signals that have not been received share one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// isCurrent reports whether the peer's last report is recent enough for it to own groups.
func (f *Fleet) isCurrent(p *Peer, now time.Time) bool {
	return !p.LastReportAt.IsZero() && now.Sub(p.LastReportAt) <= f.ownerTimeout(p)
}

// isUnresponsive reports whether no report was received within the timeout.
func (f *Fleet) isUnresponsive(p *Peer, now time.Time) bool {
	return p.LastReportAt.IsZero() || now.Sub(p.LastReportAt) > f.reportTimeout(p)
}

// reportTimeout is the time within which a report of a peer that runs is received.
func (f *Fleet) reportTimeout(p *Peer) time.Duration { return max(minReportTimeout, f.ownerTimeout(p)) }

// Leave notifies the peers that this instance is shutting down.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	message := f.newReportLocked()
	var addresses []string
	for _, p := range f.peers {
		addresses = append(addresses, p.Address)
	}
	f.mu.Unlock()
	f.send(message, addresses)
}

// lastSeen is when the peer sent its last report or, without one, was discovered.
func (p *Peer) lastSeen() time.Time {
	if p.LastReportAt.IsZero() {
		return p.DiscoveredAt
	}
	return p.LastReportAt
}

func (f *Fleet) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier report to an unreachable peer
		}
		f.handle(buffer[:n], time.Now())
	}
}

// handle applies a datagram: a report and the reports that its sender passes on.
func (f *Fleet) handle(data []byte, now time.Time) {
	message := f.decode(data)
	if message == nil {
		return
	}
	relayed := message.GetRelayed()
	message.Relayed = nil
	if f.accept(message, now) {
		if message.GetZone() != f.settings.Zone {
			f.relay(message, data)
		}
		f.settings.OnReport(message)
	}
	for _, r := range relayed {
		if f.isKnown(r) {
			continue
		}
		if m := f.decode(r.GetReport()); m != nil && f.accept(m, now) {
			f.settings.OnReport(m)
		}
	}
}

// decode returns the report, or nil after logging why it is not one.
func (f *Fleet) decode(data []byte) *pb.FleetReport {
	message := &pb.FleetReport{}
	if err := proto.Unmarshal(data, message); err != nil || message.GetInstance() == "" {
		f.settings.Log.Warn("received datagram is not a report", zap.Int(field.Bytes, len(data)), zap.Error(err))
		return nil
	}
	return message
}

// relay queues a report of another zone to be passed on within the zone. A newer report
// replaces one that has not been passed on yet.
func (f *Fleet) relay(m *pb.FleetReport, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.toRelay[m.GetInstance()] = &pb.RelayedReport{
		Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Report: bytes.Clone(data),
	}
}

// isKnown reports whether a relayed report has been received already.
func (f *Fleet) isKnown(r *pb.RelayedReport) bool {
	if r.GetInstance() == f.settings.Self {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[r.GetInstance()]
	return ok && (r.GetIncarnation() < p.Incarnation ||
		r.GetIncarnation() == p.Incarnation && r.GetSequence() <= p.Report.GetSequence())
}

// accept records a report unless a later one has already been received.
func (f *Fleet) accept(m *pb.FleetReport, now time.Time) bool {
	if m.GetInstance() == f.settings.Self {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[m.GetInstance()]
	if !ok || m.GetIncarnation() > p.Incarnation {
		p = &Peer{Name: m.GetInstance(), Incarnation: m.GetIncarnation(), DiscoveredAt: now, row: f.rowOfLocked(m.GetInstance())}
		f.peers[m.GetInstance()] = p
		f.completeUntil = now.Add(completeReportsPeriod)
		f.settings.Log.Info("peer discovered", zap.String(field.Peer, p.Name), zap.Uint64(field.Incarnation, p.Incarnation))
	}
	if m.GetIncarnation() < p.Incarnation || (p.Report != nil && m.GetSequence() <= p.Report.GetSequence()) {
		return false
	}
	if !p.LastReportAt.IsZero() && f.isUnresponsive(p, now) {
		f.settings.Log.Info("peer sends reports again", zap.String(field.Peer, p.Name), zap.Duration(field.SinceLastReport, now.Sub(p.LastReportAt)))
	}
	moved := p.Zone != m.GetZone()
	p.Address, p.Zone, p.LastReportAt, p.Report, p.Leaving = m.GetAddress(), m.GetZone(), now, m, m.GetLeaving()
	p.seenAt = f.clock.observe(now)
	if p.Leaving && p.leftAt.IsZero() {
		p.leftAt = now
	}
	if !ok || moved {
		f.updateScheduleLocked()
	}
	f.confirmRows(m)
	return true
}

// AddMembers adds the instances listed by the store or a peer.
func (f *Fleet) AddMembers(members []*pb.FleetMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasMembers = true
	now := time.Now()
	for _, m := range members {
		if m.GetInstance() == f.settings.Self || m.GetAddress() == "" {
			continue
		}
		if p, ok := f.peers[m.GetInstance()]; ok && p.Incarnation >= m.GetIncarnation() {
			continue
		}
		f.addPeerLocked(m, now)
	}
	f.updateScheduleLocked()
}

// addPeerLocked adds a listed peer in place of an earlier start of it. What is known of its
// row is kept.
func (f *Fleet) addPeerLocked(m *pb.FleetMember, now time.Time) *Peer {
	p := &Peer{
		Name: m.GetInstance(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Zone: m.GetZone(), DiscoveredAt: now,
		seenAt: f.clock.observe(now), row: f.rowOfLocked(m.GetInstance()),
	}
	f.peers[p.Name] = p
	return p
}

// SetSeeds replaces the addresses of instances to contact while no peer is known.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// seed returns a random seed, or an empty string if there is none.
func (f *Fleet) seed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.seeds) == 0 {
		return ""
	}
	return f.seeds[rand.IntN(len(f.seeds))]
}

// Members returns this instance and its peers.
func (f *Fleet) Members() []*pb.FleetMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := []*pb.FleetMember{{
		Instance: f.settings.Self, Incarnation: f.settings.Incarnation, Address: f.settings.Address, Zone: f.settings.Zone,
	}}
	for _, p := range f.peers {
		members = append(members, p.member())
	}
	return members
}

func (p *Peer) member() *pb.FleetMember {
	return &pb.FleetMember{Instance: p.Name, Incarnation: p.Incarnation, Address: p.Address, Zone: p.Zone}
}

// Size returns the number of known instances, including this one, without those whose row
// is released.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, p := range f.peers {
		if !p.released() {
			n++
		}
	}
	return n
}

// LiveReports returns the last reports of the responsive peers.
func (f *Fleet) LiveReports(now time.Time) []*pb.FleetReport {
	peers := f.LivePeers(now)
	reports := make([]*pb.FleetReport, 0, len(peers))
	for _, p := range peers {
		reports = append(reports, p.Report)
	}
	return reports
}

// LivePeers returns copies of the responsive peers.
func (f *Fleet) LivePeers(now time.Time) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := make([]Peer, 0, len(f.peers))
	for _, p := range f.peers {
		if !f.isUnresponsive(p, now) {
			peers = append(peers, *p)
		}
	}
	return peers
}

// ReportFailure excludes an instance from ownership for failureBackoff.
func (f *Fleet) ReportFailure(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.peers[name]; ok {
		p.avoidUntil = time.Now().Add(failureBackoff)
	}
}

// ClearFailure ends the exclusion early, when the peer chosen instead still considers
// the instance to be the owner. Otherwise only this instance would bypass a live owner
// that responded late.
func (f *Fleet) ClearFailure(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.peers[name]; ok {
		p.avoidUntil = time.Time{}
	}
}

// Owner selects the owner of a key over the reachable instances, or over those whose
// reports are preferred if there are any: of the instances with most processor time, the one
// that rendezvous hashing selects. The report of this instance has no load or usage.
func (f *Fleet) Owner(key string, preferred func(*pb.FleetReport) bool, now time.Time) (name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rankOf := func(p *Peer) rank {
		return rank{preferred: preferred(p.Report), milliCores: p.Report.GetMilliCores(), score: membership.Score(key, p.Name)}
	}
	owner := &Peer{
		Name: f.settings.Self, Address: f.settings.Address, Zone: f.settings.Zone,
		Report: &pb.FleetReport{Instance: f.settings.Self, Zone: f.settings.Zone, MilliCores: f.settings.MilliCores},
	}
	highest := rankOf(owner)
	if f.leaving {
		highest = rank{}
	}
	for _, p := range f.peers {
		if p.Leaving || !f.isCurrent(p, now) || !now.After(p.avoidUntil) {
			continue
		}
		if r := rankOf(p); r.above(highest) {
			owner, highest = p, r
		}
	}
	return owner.Name, owner.Address
}

// rank orders the candidates for a duty.
type rank struct {
	preferred  bool
	milliCores uint32
	score      uint64
}

func (r rank) above(other rank) bool {
	switch {
	case r.preferred != other.preferred:
		return r.preferred
	case r.milliCores != other.milliCores:
		return r.milliCores > other.milliCores
	}
	return r.score > other.score
}
