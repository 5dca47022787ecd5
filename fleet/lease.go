package fleet

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/telemetry/field"
)

// The parts of the fleet's limits are given out by the rows of the instances in the store.
// An instance that has read its own row in good order holds a lease on its whole part. The
// part of a silent peer is released in two writes: the first one marks its row, after which
// no reading renews its lease, the second one follows when its lease must have ended. Each
// step is in the store, so an instance that starts repeats at most the wait for the next
// one. docs/design/state-across-starts.md has the failures.
const (
	// initialShare is the fraction of the fleet's limits that an instance uses before it
	// has a list of the instances.
	initialShare = 0.1
	// silenceLimit is the longest time without reports after which a peer's row is marked,
	// unless the peer has cleared it. Together with leaseTime and leaseMargin it must end well
	// within the 12 s after which a fleet has to serve again.
	silenceLimit = 2500 * time.Millisecond
	// maxSilenceDoublings bounds the wait before a row is marked again that its instance
	// has cleared.
	maxSilenceDoublings = 5
	// leaseTime is how long after a reading of the rows an instance spends its whole part.
	// Readings are 2.2 s apart and reach other zones in up to 1.7 s.
	leaseTime = 5 * time.Second
	// leaseMargin covers the drift of the clocks.
	leaseMargin = 500 * time.Millisecond
	// keptFraction is the fraction of its part that an instance spends without a lease, and
	// that the others leave to it.
	keptFraction = 0.5
	// keptTime is how long after its last lease an instance spends keptFraction, and
	// releasedRetention how long its row is kept for that. Regions lose each other for an
	// hour now and then.
	keptTime          = 2 * time.Hour
	releasedRetention = keptTime + 10*time.Minute
	// maxRowsWait is the longest time between two checks of the rows. What a peer's silence or
	// return makes due is noticed by then.
	maxRowsWait = time.Second
	// shareLogPeriod is the shortest time between two log lines about the share.
	shareLogPeriod = time.Second
)

// Row is the row of an instance with its version in the store.
type Row struct {
	Member  *pb.FleetMember
	Version int64
}

// rowState is what an instance knows of a peer's row.
type rowState struct {
	Row
	// markedAt is when this version of the row, marked as silent, was first seen.
	markedAt time.Time
	// clearedAt is how long this instance had run when a mark was last seen removed, and
	// clears how often. clears is 0 again once the peer is heard a silenceLimit later.
	clearedAt time.Duration
	clears    int
	// asOf is the table's version at which a write of this instance showed the row.
	asOf int64
}

// silenceLimitLocked is how long the peer sends no reports before its row is marked. One that this
// instance has not heard since its start has less time: it reports within its report timeout if it
// runs, and if its reports come late it clears its row before its lease ends.
func (f *Fleet) silenceLimitLocked(p *Peer) time.Duration {
	limit := silenceLimit
	if p.LastReportAt.IsZero() {
		limit = min(limit, f.reportTimeout(p))
	}
	return limit << min(p.row.clears, maxSilenceDoublings)
}

func (p *Peer) released() bool { return p.row.Member.GetReleased() }

// lease is this instance's right to its whole part of the limits.
type lease struct {
	// from is the store's clock at the newest reading that showed the own row in good order.
	from time.Duration
	// logged is what the share was last logged to be made of, at loggedAt.
	logged   shareParts
	loggedAt time.Time
}

// shareParts are the figures that a share of the limits is made of.
type shareParts struct {
	counts
	held bool
}

// readAtMs is the time of a table's newest reading for the reports. Only the table of
// instances needs it.
func (f *Fleet) readAtMs(t *mirror.Table) int64 {
	if t != f.settings.Instances {
		return 0
	}
	return t.ReadAt().Milliseconds()
}

// confirmRows takes from a report that the sender's equal copy of the instances' rows is
// current.
func (f *Fleet) confirmRows(m *pb.FleetReport) {
	for _, t := range m.GetTables() {
		if f.settings.Instances != nil && t.GetTable() == f.settings.Instances.Name() {
			f.settings.Instances.ConfirmFromPeer(t.GetDigest(), time.Duration(t.GetReadAtMs())*time.Millisecond)
		}
	}
}

// ownRow returns this instance's row in the newest copy of the rows.
func (f *Fleet) ownRow(snapshot *mirror.Snapshot) Row {
	row, ok := snapshot.Rows[f.settings.Self]
	if !ok {
		return Row{}
	}
	m := &pb.FleetMember{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return Row{Version: row.Version}
	}
	return Row{Member: m, Version: row.Version}
}

// updateLeaseLocked renews the lease and returns how long ago, at most, it was renewed.
func (f *Fleet) updateLeaseLocked() (age time.Duration, ok bool) {
	if f.settings.Instances == nil || f.settings.LatestStoreTime == nil {
		return 0, false
	}
	readAt := f.settings.Instances.ReadAt() // before the snapshot, which then includes it
	if snapshot := f.settings.Instances.Current(); snapshot != nil {
		own := f.ownRow(snapshot).Member
		if own != nil && !own.GetSilent() && readAt.Milliseconds() >= own.GetLeaseFromMs() {
			f.lease.from = max(f.lease.from, readAt)
		}
	}
	latest, known := f.settings.LatestStoreTime()
	if !known || f.lease.from == 0 {
		return 0, false
	}
	return latest - f.lease.from, true
}

// Share returns the fraction of the fleet's limits that this instance and its reachable
// peers may use together. A peer's part is excluded as soon as the peer can no longer
// own groups, because both sides of a partition spend the whole limits until then.
func (f *Fleet) Share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasMembers {
		return initialShare
	}
	f.clock.observe(now)
	c := f.countLocked(now)
	age, leased := f.updateLeaseLocked()
	// Without a lease, a peer that is not heard may have released this instance's part.
	everyone := c.reachable == c.known
	held := everyone || leased && age <= leaseTime
	share := c.share(held, leased && age > keptTime)
	if parts := (shareParts{c, held}); parts != f.lease.logged && now.Sub(f.lease.loggedAt) >= shareLogPeriod {
		f.lease.logged, f.lease.loggedAt = parts, now
		f.settings.Log.Info("share of the limits", zap.Float64(field.Share, share), zap.Bool(field.Held, held), zap.Duration(field.LeaseAge, age),
			zap.Int(field.Instances, c.known), zap.Int(field.Reachable, c.reachable), zap.Int(field.Reduced, c.reachableReduced),
			zap.Int(field.Released, c.released))
	}
	return share
}

// share returns the fraction of the limits that the reachable instances may use together, with
// or without a lease. ended is set once the time is over for which an instance without a lease
// has a part.
func (c counts) share(held, ended bool) float64 {
	part := 1 / float64(c.known)
	switch {
	case c.reachable == c.known:
		return 1
	case !held && ended:
		return 0
	case !held:
		return keptFraction * part * float64(c.reachable)
	}
	// What is released is divided between all instances that may hold a lease, also from a
	// reading before a mark.
	part += c.releasedParts / float64(c.known-c.released)
	return part*float64(c.reachable-c.reachableReduced) + keptFraction/float64(c.known)*float64(c.reachableReduced)
}

// ReachableShare returns the fraction of all instances, including those whose part is
// released, that this instance and its reachable peers make up.
func (f *Fleet) ReachableShare(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.countLocked(now)
	return float64(c.reachable) / float64(c.known)
}

// counts are numbers of instances, including this one.
type counts struct {
	known, reachable int
	// reachableReduced are the reachable instances that have only a fraction of their part,
	// because their row is marked or was until lately.
	reachableReduced int
	// released are the instances whose part is released, releasedParts the fraction of the
	// limits that they no longer have.
	released      int
	releasedParts float64
}

// countLocked counts the instances, without those that left.
func (f *Fleet) countLocked(now time.Time) counts {
	c := counts{known: 1, reachable: 1}
	var readAt time.Duration
	if f.settings.Instances != nil {
		readAt = f.settings.Instances.ReadAt()
	}
	var released []*Peer
	for _, p := range f.peers {
		current := f.isCurrent(p, now)
		if p.Leaving && !current {
			continue
		}
		c.known++
		if current {
			c.reachable++
		}
		if p.released() {
			released = append(released, p)
		}
		if current && (p.row.Member.GetSilent() || p.row.Member.GetLeaseFromMs() > readAt.Milliseconds()) {
			c.reachableReduced++
		}
	}
	c.released = len(released)
	for _, p := range released {
		// The peer keeps a fraction of its part of the fleet that it knew.
		n := min(max(1, int(p.row.Member.GetMembers())), c.known)
		c.releasedParts += max(0, 1/float64(c.known)-keptFraction/float64(n))
	}
	return c
}

// SetRows takes the instances' rows from a copy of the table with the given version. Rows that
// a write of this instance has shown since are kept.
func (f *Fleet) SetRows(rows []Row, version int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasMembers = true
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Member.GetInstance()] = true
		f.setRowLocked(row, version, now)
	}
	for name, p := range f.peers {
		if !listed[name] && p.row.asOf <= version {
			p.row = rowState{asOf: p.row.asOf}
		}
	}
	f.removeGoneLocked(now)
	f.updateScheduleLocked()
}

// SetWritten takes peers' rows as the store's response to a write shows them at a version of the
// table.
func (f *Fleet) SetWritten(rows []Row, version int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		f.setRowLocked(row, version, now)
		if p, ok := f.peers[row.Member.GetInstance()]; ok {
			p.row.asOf = max(p.row.asOf, version)
		}
	}
	f.updateScheduleLocked()
}

func (f *Fleet) setRowLocked(row Row, version int64, now time.Time) {
	name := row.Member.GetInstance()
	if name == f.settings.Self || row.Member.GetAddress() == "" || f.rowOfLocked(name).asOf > version {
		return
	}
	p, ok := f.peers[name]
	if !ok || f.hasStartedAnew(p, row, now) {
		p = f.addPeerLocked(row.Member, now)
	}
	p.setRow(row, now, f.clock.observe(now))
}

// removeGoneLocked removes the peers that have no row and send no reports.
func (f *Fleet) removeGoneLocked(now time.Time) {
	before := len(f.peers)
	for name, p := range f.peers {
		if p.row.Member == nil && !f.isCurrent(p, now) && (p.Leaving || now.Sub(p.lastSeen()) > silenceLimit+leaseTime) {
			delete(f.peers, name)
			f.settings.Log.Info("peer removed because it has no row and sends no reports", zap.String(field.Peer, name))
		}
	}
	if len(f.peers) < before {
		f.updateScheduleLocked()
	}
}

// hasStartedAnew reports whether a row is that of a later start of the peer. Its incarnation
// is lower if its clock was set back in between.
func (f *Fleet) hasStartedAnew(p *Peer, row Row, now time.Time) bool {
	incarnation := row.Member.GetIncarnation()
	return incarnation > p.Incarnation ||
		incarnation < p.Incarnation && p.row.Version > 0 && row.Version > p.row.Version && !f.isCurrent(p, now)
}

// rowOfLocked returns what is known of a peer's row, for a later start of the peer.
func (f *Fleet) rowOfLocked(name string) rowState {
	if p, ok := f.peers[name]; ok {
		return p.row
	}
	return rowState{}
}

func (p *Peer) setRow(row Row, now time.Time, ran time.Duration) {
	// The store may give out a version again when it is back from an older copy.
	if row.Version == p.row.Version && proto.Equal(row.Member, p.row.Member) {
		return
	}
	switch {
	case row.Member.GetSilent():
		// Another mark than the one before if its removal was missed.
		p.row.markedAt = now
	case p.row.Member.GetSilent():
		p.row.clearedAt = ran
		p.row.clears++
	}
	p.row.Row = row
}

// RowChange is a change of a peer's row that is due. Next is nil if the row is to be removed.
type RowChange struct {
	Row    Row
	Next   *pb.FleetMember
	Reason string
}

// Pending counts the silent peers whose part is not released yet.
type Pending struct{ Unmarked, Marked int }

func (p *Pending) add(m *pb.FleetMember) {
	switch {
	case m.GetReleased():
	case m.GetSilent():
		p.Marked++
	default:
		p.Unmarked++
	}
}

// RowsCheck is the result of a check of the peers' rows.
type RowsCheck struct {
	Due []RowChange
	// Wait is the time until the next change is due if nothing is heard, at most maxRowsWait.
	Wait    time.Duration
	Pending Pending
}

// CheckRows checks which changes of the peers' rows are due. It forgets the peers that have left.
// storeNow is the latest time that the store's clock can show.
func (f *Fleet) CheckRows(now time.Time, storeNow time.Duration) RowsCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.observe(now)
	if f.settings.Instances != nil && f.settings.Instances.Current() != nil {
		f.removeGoneLocked(now)
	}
	known := f.countLocked(now).known
	check := RowsCheck{Wait: maxRowsWait}
	for _, p := range f.peers {
		if p.row.Member == nil {
			continue
		}
		if !p.Leaving && !f.isCurrent(p, now) {
			check.Pending.add(p.row.Member)
		}
		change, dueIn := f.dueRowLocked(p, now, storeNow, known)
		if dueIn > 0 {
			check.Wait = min(check.Wait, dueIn)
			continue
		}
		change.Row = p.row.Row
		check.Due = append(check.Due, change)
	}
	return check
}

// dueRowLocked returns the next change of a peer's row and the time until it is due.
func (f *Fleet) dueRowLocked(p *Peer, now time.Time, storeNow time.Duration, known int) (RowChange, time.Duration) {
	m := p.row.Member
	if f.isCurrent(p, now) {
		if !m.GetSilent() || p.Leaving {
			// Only a peer that is not heard and clears its mark all the same is marked later.
			if f.clock.observe(now)-p.row.clearedAt >= f.silenceLimitLocked(p) {
				p.row.clears = 0
			}
			return RowChange{}, maxRowsWait
		}
		return RowChange{Next: Cleared(p.member(), m, storeNow), Reason: "row of an instance that returned cleared"}, 0
	}
	next := proto.CloneOf(m)
	switch {
	case p.Leaving:
		return RowChange{Reason: "row of an instance that left removed"}, f.settings.Grace - now.Sub(p.leftAt)
	case !m.GetSilent():
		silence := f.clock.observe(now) - max(p.seenAt, p.row.clearedAt)
		next.Silent = true
		return RowChange{Next: next, Reason: "row of a silent instance marked"}, f.silenceLimitLocked(p) - silence
	case !m.GetReleased():
		next.Released, next.ReleasedAtMs, next.Members = true, storeNow.Milliseconds(), uint32(known)
		return RowChange{Next: next, Reason: "part of a silent instance released"}, leaseTime + leaseMargin - now.Sub(p.row.markedAt)
	}
	releasedFor := storeNow - time.Duration(m.GetReleasedAtMs())*time.Millisecond
	return RowChange{Reason: "row of a lost instance removed"}, releasedRetention - releasedFor
}

// Cleared returns the row in good order of an instance whose row was before, nil or empty if
// it had none; storeNow is the latest time that the store's clock can show. Other instances may
// spend a released part, or divide the limits without the instance, for as long as their leases
// last. Of a part that is only marked nobody spends anything: the release is conditional on the
// version of the marked row.
func Cleared(m, before *pb.FleetMember, storeNow time.Duration) *pb.FleetMember {
	if before.GetReleased() || before.GetInstance() == "" {
		m.LeaseFromMs = (storeNow + leaseTime + 2*leaseMargin).Milliseconds()
	} else {
		m.LeaseFromMs = before.GetLeaseFromMs()
	}
	return m
}

// OwnRow returns this instance's row in the newest copy of the rows, and false if there is
// no copy yet.
func (f *Fleet) OwnRow() (Row, bool) {
	if f.settings.Instances == nil {
		return Row{}, false
	}
	snapshot := f.settings.Instances.Current()
	if snapshot == nil {
		return Row{}, false
	}
	return f.ownRow(snapshot), true
}
