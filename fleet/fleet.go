// Package fleet connects the instances that serve one platform. Each instance
// tells the others in datagrams what it has on the targets and what it has spent
// of the quotas, and hands out its copies of the store's tables, so that an
// instance that the store refuses still follows changes.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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
	// reportPeriod is the time between two reports to each peer.
	reportPeriod = 200 * time.Millisecond
	// maxReportsPerSecond bounds the datagrams of an instance; larger fleets report less often.
	maxReportsPerSecond = 200
	// minSilence is how long a peer may send nothing before its load counts no more;
	// longer where reports are rarer.
	minSilence = time.Second
	// silentPeriods is the number of reports that a silent peer has missed.
	silentPeriods = 3.5
	// forgetAfter is how long a silent peer is taken for one that is cut off and
	// may still spend its part of the quotas.
	forgetAfter = 25 * time.Second
	// failurePause is how long a reported failure keeps a peer from owning groups.
	failurePause = 2 * time.Second
	// maxDatagram bounds a report; it is the largest datagram of IPv4 less headers.
	maxDatagram = 60 << 10
)

// Hash is the short form of a target's id in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Peer is what is known of another instance.
type Peer struct {
	Name        string
	Incarnation uint64
	Address     string
	// LastReportAt is when its last report came, zero before the first.
	LastReportAt time.Time
	// DiscoveredAt is when the peer was first learned of in this incarnation.
	DiscoveredAt time.Time
	Leaving      bool
	Report       *pb.FleetReport
	// avoidUntil is the end of the time for which a reported failure keeps the peer
	// from owning groups.
	avoidUntil time.Time
}

// Settings is what a Fleet works with.
type Settings struct {
	Self        string
	Incarnation uint64
	Zone        string
	// Address is that of the listeners for datagrams and for tables.
	Address string
	// Seeds are addresses of instances to ask while no peer is known.
	Seeds  []string
	Tables []*mirror.Table
	// FillReport fills this instance's report.
	FillReport func(*pb.FleetReport)
	// OnReport is called with each new report.
	OnReport func(*pb.FleetReport)
	Log      *zap.Logger
}

// Fleet is one instance's view of the others.
type Fleet struct {
	settings Settings
	conn     *net.UDPConn

	mu       sync.Mutex
	peers    map[string]*Peer
	listed   bool
	sequence uint64
	leaving  bool
	seeds    []string
}

// New binds the datagram listener.
func New(settings Settings) (*Fleet, error) {
	address, err := net.ResolveUDPAddr("udp4", settings.Address)
	if err != nil {
		return nil, fmt.Errorf("peers' address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for reports: %w", err)
	}
	return &Fleet{settings: settings, conn: conn, peers: make(map[string]*Peer), seeds: settings.Seeds}, nil
}

// Run exchanges reports until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(f.receive)
	running.Go(func() { f.heal(ctx) })
	timer := time.NewTimer(reportPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = f.conn.Close() // ends receive
			running.Wait()
			return
		case <-timer.C:
		}
		timer.Reset(f.period())
		f.report()
	}
}

func (f *Fleet) period() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.periodLocked()
}

func (f *Fleet) periodLocked() time.Duration {
	return max(reportPeriod, time.Duration(len(f.peers))*time.Second/maxReportsPerSecond)
}

// ownerSilence is how long a peer may send nothing and own groups. Two lost
// reports in a row do not move the groups.
func (f *Fleet) ownerSilence() time.Duration {
	return time.Duration(silentPeriods * float64(f.periodLocked()))
}

// isCurrent tells whether the peer was heard so lately that it may own groups.
func (f *Fleet) isCurrent(p *Peer, now time.Time) bool {
	return !p.LastReportAt.IsZero() && now.Sub(p.LastReportAt) <= f.ownerSilence()
}

// isSilent tells whether the peer has sent nothing for too long.
func (f *Fleet) isSilent(p *Peer, now time.Time) bool {
	return p.LastReportAt.IsZero() || now.Sub(p.LastReportAt) > max(minSilence, f.ownerSilence())
}

// Leave tells the peers that this instance ends.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.report()
}

// report sends this instance's report to all peers.
func (f *Fleet) report() {
	message, addresses := f.compose()
	if len(addresses) == 0 {
		return
	}
	f.settings.FillReport(message)
	data, err := proto.Marshal(message)
	if err != nil {
		f.settings.Log.Error("report not encoded", zap.Error(err))
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			f.settings.Log.Warn("peer has no usable address", zap.String(field.Address, address), zap.Error(err))
			continue
		}
		// A lost report is replaced by the next one.
		_, _ = f.conn.WriteToUDP(data, to)
	}
}

func (f *Fleet) compose() (*pb.FleetReport, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	message := &pb.FleetReport{
		Instance: f.settings.Self, Incarnation: f.settings.Incarnation, Sequence: f.sequence,
		Address: f.settings.Address, Zone: f.settings.Zone, Leaving: f.leaving,
	}
	for _, t := range f.settings.Tables {
		if current := t.Current(); current != nil {
			message.Tables = append(message.Tables, &pb.TableVersion{
				Table: t.Name(), Changed: current.Changed, Digest: current.Digest,
			})
		}
	}
	now := time.Now()
	var addresses []string
	for name, p := range f.peers {
		if now.Sub(p.lastSign()) > forgetAfter {
			delete(f.peers, name)
			f.settings.Log.Info("peer forgotten", zap.String(field.Peer, name))
			continue
		}
		addresses = append(addresses, p.Address)
	}
	return message, addresses
}

// lastSign is when the peer was last heard of.
func (p *Peer) lastSign() time.Time {
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
			continue // an unreachable peer's answer to an earlier report
		}
		message := &pb.FleetReport{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil || message.GetInstance() == "" {
			f.settings.Log.Warn("datagram is not a report", zap.Int(field.Bytes, n), zap.Error(err))
			continue
		}
		if f.accept(message, time.Now()) {
			f.settings.OnReport(message)
		}
	}
}

// accept records a report unless a later one was received before.
func (f *Fleet) accept(m *pb.FleetReport, now time.Time) bool {
	if m.GetInstance() == f.settings.Self {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[m.GetInstance()]
	if !ok || m.GetIncarnation() > p.Incarnation {
		p = &Peer{Name: m.GetInstance(), Incarnation: m.GetIncarnation(), DiscoveredAt: now}
		f.peers[m.GetInstance()] = p
		f.settings.Log.Info("peer found", zap.String(field.Peer, p.Name), zap.Uint64(field.Incarnation, p.Incarnation))
	}
	if m.GetIncarnation() < p.Incarnation || (p.Report != nil && m.GetSequence() <= p.Report.GetSequence()) {
		return false
	}
	if !p.LastReportAt.IsZero() && f.isSilent(p, now) {
		f.settings.Log.Info("peer heard again", zap.String(field.Peer, p.Name), zap.Duration(field.SinceLastReport, now.Sub(p.LastReportAt)))
	}
	p.Address, p.LastReportAt, p.Report, p.Leaving = m.GetAddress(), now, m, m.GetLeaving()
	return true
}

// AddMembers adds the instances that the store or a peer lists.
func (f *Fleet) AddMembers(members []*pb.FleetMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	now := time.Now()
	for _, m := range members {
		if m.GetInstance() == f.settings.Self || m.GetAddress() == "" {
			continue
		}
		if p, ok := f.peers[m.GetInstance()]; ok && p.Incarnation >= m.GetIncarnation() {
			continue
		}
		f.peers[m.GetInstance()] = &Peer{
			Name: m.GetInstance(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DiscoveredAt: now,
		}
	}
}

// SetSeeds replaces the addresses of instances to ask while no peer is known.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// seed returns one of the seeds, or an empty text without any.
func (f *Fleet) seed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.seeds) == 0 {
		return ""
	}
	return f.seeds[rand.IntN(len(f.seeds))]
}

// Members returns this instance and the peers, for other instances.
func (f *Fleet) Members() []*pb.FleetMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := []*pb.FleetMember{{
		Instance: f.settings.Self, Incarnation: f.settings.Incarnation, Address: f.settings.Address,
	}}
	for _, p := range f.peers {
		members = append(members, &pb.FleetMember{Instance: p.Name, Incarnation: p.Incarnation, Address: p.Address})
	}
	return members
}

// LiveReports returns the last reports of the peers that are not silent.
func (f *Fleet) LiveReports(now time.Time) []*pb.FleetReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []*pb.FleetReport
	for _, p := range f.peers {
		if !f.isSilent(p, now) {
			reports = append(reports, p.Report)
		}
	}
	return reports
}

// unlistedShare is the part of the fleet's limits that an instance uses before it
// knows any peer.
const unlistedShare = 0.1

// Share is the part of the fleet's limits that this instance and the peers that
// it hears may use together. The part of a peer is left to it as soon as it is
// silent for so long that it would lose its groups, because both sides of a cut
// spend the whole limits until then.
func (f *Fleet) Share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed && len(f.peers) == 0 {
		return unlistedShare
	}
	known, heard := 1, 1
	for _, p := range f.peers {
		current := f.isCurrent(p, now)
		if p.Leaving && !current {
			continue
		}
		known++
		if current {
			heard++
		}
	}
	return float64(heard) / float64(known)
}

// ReportFailure takes an instance out of the choice of owners for a while.
func (f *Fleet) ReportFailure(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.peers[name]; ok {
		p.avoidUntil = time.Now().Add(failurePause)
	}
}

// ClearFailure lets an instance be chosen again before that time is over: a peer
// that was chosen in its place holds it for the owner. A live owner that answered
// late would otherwise be passed over by this instance alone.
func (f *Fleet) ClearFailure(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.peers[name]; ok {
		p.avoidUntil = time.Time{}
	}
}

// Owner chooses the instance that owns a key among those that are heard and
// stand in a preferred zone, or among all that are heard if none does.
func (f *Fleet) Owner(key string, preferred func(zone string) bool, now time.Time) (name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := Peer{Name: f.settings.Self, Address: f.settings.Address, Report: &pb.FleetReport{Zone: f.settings.Zone}}
	candidates := []*Peer{}
	if !f.leaving {
		candidates = append(candidates, &self)
	}
	for _, p := range f.peers {
		if !p.Leaving && f.isCurrent(p, now) && now.After(p.avoidUntil) {
			candidates = append(candidates, p)
		}
	}
	var owner *Peer
	var highest uint64
	best := false
	for _, p := range candidates {
		score, good := membership.Score(key, p.Name), preferred(p.Report.GetZone())
		if owner == nil || (good && !best) || (good == best && score > highest) {
			owner, highest, best = p, score, good
		}
	}
	if owner == nil {
		return f.settings.Self, f.settings.Address
	}
	return owner.Name, owner.Address
}
