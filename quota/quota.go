// Package quota enforces limits across all instances without a message for each
// request. Every instance counts its own spending and receives that of its peers
// in their reports.
package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a token bucket shared by all instances: it refills at Rate per second up
// to Burst.
type Limit struct {
	Rate, Burst float64
}

// Tolerance is the permitted excess over a limit: in any Window, a workspace may
// exceed what the limit allows by the fraction Overage plus the amount Slack.
type Tolerance struct {
	Window         time.Duration
	Overage, Slack float64
}

// bucketToleranceFraction is the fraction of the tolerance that is added to bucket
// capacities. The rest covers spending that instances have not yet reported to each
// other, around partitions and crashes.
const bucketToleranceFraction = 0.5

// capacity is the level of a full bucket.
func (t Tolerance) capacity(limit Limit) float64 {
	allowed := limit.Rate*t.Window.Seconds() + limit.Burst
	return limit.Burst + bucketToleranceFraction*(t.Overage*allowed+t.Slack)
}

// WorkspaceID returns the hash that identifies a workspace in reports.
func WorkspaceID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Usage is the amount that one instance has spent for each workspace since its start, less
// what it has refunded. It is keyed by id so that spending is also tracked for workspaces missing from the
// receiver's configuration and is not counted as new once they are added.
type Usage map[uint32]float64

// Levels maps workspaces to the levels of an instance's buckets.
type Levels map[uint32]float64

// Ledger is one instance's view of the buckets of all workspaces. A new bucket starts
// empty because earlier spending is unknown, and adopts the level of the first peer
// with a settled bucket. Without this, the level of an instance that starts while its
// peers' buckets are full would stay below theirs by a whole bucket, and the instance
// would refuse requests that its peers accept.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// local is the amount that this instance has spent.
	local Usage
	// peers holds the last report of each peer.
	peers map[string]peerReport
	// share is the fraction of the limits that this instance and its reachable peers
	// may spend together.
	share     float64
	tolerance Tolerance
}

type peerReport struct {
	incarnation uint64
	spent       Usage
	// complete is set if workspaces missing from spent are known to have no spending.
	complete bool
}

type bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	opened  time.Time
	// adopted is set once the level was copied from a peer.
	adopted bool
}

// adoptionPeriod is how long a new bucket may adopt a peer's level. It spans several
// report periods, so that a new instance receives its peers' reports within it.
const adoptionPeriod = 2 * time.Second

// settled reports whether the level accounts for recent spending.
func (b *bucket) settled(now time.Time) bool { return b.adopted || now.Sub(b.opened) >= adoptionPeriod }

// NewLedger returns a ledger without buckets.
func NewLedger(tolerance Tolerance) *Ledger {
	return &Ledger{
		buckets:   make(map[string]*bucket),
		local:     make(Usage),
		peers:     make(map[string]peerReport),
		share:     1,
		tolerance: tolerance,
	}
}

// SetTolerance changes the permitted excess over the limits.
func (l *Ledger) SetTolerance(tolerance Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = tolerance
}

// TakeResult is the outcome of Take.
type TakeResult struct {
	// OK is set if the amount was spent; otherwise Wait is the estimated time until
	// the bucket has refilled.
	OK   bool
	Wait time.Duration
	// Level is the bucket's level before the call, and Share the fraction of the limits
	// in force.
	Level, Share float64
}

// Take spends the amount, unless the bucket is empty.
func (l *Ledger) Take(now time.Time, workspace string, limit Limit, amount float64) TakeResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, workspace, limit)
	taken := TakeResult{Level: b.level, Share: l.share}
	// The amount may exceed the level, so that a large request passes a small bucket.
	if b.level <= 0 {
		rate := max(limit.Rate*l.share, 1)
		taken.Wait = time.Duration((-b.level + min(amount, limit.Burst)) / rate * float64(time.Second))
		return taken
	}
	b.level -= amount
	l.local[WorkspaceID(workspace)] += amount
	taken.OK = true
	return taken
}

// Refund returns the amount taken for a request that no target ran. Peers credit it with
// the next report.
func (l *Ledger) Refund(workspace string, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[workspace]; ok {
		b.level = min(b.level+amount, l.tolerance.capacity(b.limit)*l.share)
	}
	l.local[WorkspaceID(workspace)] -= amount
}

func (l *Ledger) bucket(now time.Time, workspace string, limit Limit) *bucket {
	b, ok := l.buckets[workspace]
	if !ok {
		b = &bucket{limit: limit, updated: now, opened: now}
		l.buckets[workspace] = b
		return b
	}
	b.limit = limit
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*limit.Rate*l.share, l.tolerance.capacity(limit)*l.share)
		b.updated = now
	}
	return b
}

// AddBucket creates the bucket of a workspace, so that it starts to fill before the
// first request.
func (l *Ledger) AddBucket(now time.Time, workspace string, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(now, workspace, limit)
}

// SetShare sets the fraction of the limits that this instance and its reachable peers
// may spend. The rest is reserved for unreachable instances.
func (l *Ledger) SetShare(now time.Time, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == l.share {
		return
	}
	for name, b := range l.buckets {
		l.bucket(now, name, b.limit)
	}
	l.share = share
}

// Share returns the fraction of the limits that this instance and its reachable peers
// may spend.
func (l *Ledger) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}

// LocalUsage returns a copy of this instance's usage.
func (l *Ledger) LocalUsage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := make(Usage, len(l.local))
	for id, amount := range l.local {
		usage[id] = amount
	}
	return usage
}

// Levels returns the levels of the settled buckets.
func (l *Ledger) Levels(now time.Time) Levels {
	l.mu.Lock()
	defer l.mu.Unlock()
	levels := make(Levels, len(l.buckets))
	for name, b := range l.buckets {
		if b.settled(now) {
			levels[WorkspaceID(name)] = l.bucket(now, name, b.limit).level
		}
	}
	return levels
}

// Report is what a peer reports of its spending.
type Report struct {
	Incarnation uint64
	Spent       Usage
	// Levels are the levels of the peer's settled buckets.
	Levels Levels
	// Partial is set if workspaces may be missing from Spent and Levels.
	Partial bool
}

// ApplyReport charges what a peer has spent since its last report, or credits what it has
// refunded beyond that, and adopts its levels for buckets that are not settled. The first
// amount after a restart of a known peer is charged in full, and so is the first amount of
// an unknown peer whose bucket is not settled: it has just started. The first amount of any
// other unknown peer is not charged because the instances that were already running have
// charged that spending.
func (l *Ledger) ApplyReport(now time.Time, peer string, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.peers[peer]
	if known && report.Incarnation < last.incarnation {
		return // a report from before the peer's restart
	}
	if !known || report.Incarnation != last.incarnation {
		last = peerReport{incarnation: report.Incarnation, spent: make(Usage), complete: known}
	}
	for workspace, b := range l.buckets {
		id := WorkspaceID(workspace)
		amount, reported := report.Spent[id]
		if !reported && report.Partial {
			continue
		}
		level, settled := report.Levels[id]
		before, counted := last.spent[id]
		if growth := amount - before; (counted || last.complete || !settled) && growth != 0 {
			l.bucket(now, workspace, b.limit)
			b.level = min(b.level-growth, l.tolerance.capacity(b.limit)*l.share)
		}
		if settled && !b.settled(now) {
			// The peer may not have received this instance's usage yet.
			b.level, b.updated, b.adopted = level-l.local[id], now, true
		}
	}
	maps.Copy(last.spent, report.Spent)
	last.complete = last.complete || !report.Partial
	l.peers[peer] = last
}
