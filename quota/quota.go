// Package quota keeps limits that hold over all instances together without a
// message for each request. Every instance counts what it spends and learns from
// its peers' reports what they have spent.
package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a token bucket over all instances: Rate a second up to Burst.
type Limit struct {
	Rate, Burst float64
}

// Tolerance is what the users allow beyond a limit: in any Window, a workspace may
// spend Overage more than the limit allows, as a part of it, and Slack on top.
type Tolerance struct {
	Window         time.Duration
	Overage, Slack float64
}

// marginPart is the part of the tolerance that buckets hold. The rest covers what
// instances spend before they hear of each other, around cuts and kills.
const marginPart = 0.5

// capacity is what the bucket of a limit holds when nothing was spent for a while.
func (t Tolerance) capacity(limit Limit) float64 {
	allowed := limit.Rate*t.Window.Seconds() + limit.Burst
	return limit.Burst + marginPart*(t.Overage*allowed+t.Slack)
}

// WorkspaceID is the short form of a workspace's name in reports.
func WorkspaceID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Usage is what one instance has spent for each workspace since its start. It is
// kept by id, so that the spending of a workspace that the instance does not know
// yet, or no longer, is not taken for new when it does.
type Usage map[uint32]float64

// Levels is what an instance's buckets hold.
type Levels map[uint32]float64

// Ledger is one instance's view of the buckets of all workspaces. A bucket that
// the instance has not seen before starts empty, as what was spent before is
// unknown, and takes over the level of the first peer that knows it. Otherwise an
// instance that starts beside full buckets would stay behind its peers by a whole
// bucket, and refuse what they accept.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// own is what this instance has spent.
	own Usage
	// peers holds what the last report of each peer's start counted.
	peers map[string]peerReport
	// share is the part of the limits that this instance and the peers that it
	// hears may spend together.
	share     float64
	tolerance Tolerance
}

type peerReport struct {
	incarnation uint64
	spent       Usage
}

type bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	opened  time.Time
	// adopted is set once the level was taken over from a peer.
	adopted bool
}

// settleTime is how long a bucket takes over the level of a peer that knows what was
// spent before. It is several periods of reports, so that the peers of a new
// instance are heard within it.
const settleTime = 2 * time.Second

// settled tells whether the level counts what was spent for a while.
func (b *bucket) settled(now time.Time) bool { return b.adopted || now.Sub(b.opened) >= settleTime }

// NewLedger returns a ledger without buckets.
func NewLedger(tolerance Tolerance) *Ledger {
	return &Ledger{
		buckets:   make(map[string]*bucket),
		own:       make(Usage),
		peers:     make(map[string]peerReport),
		share:     1,
		tolerance: tolerance,
	}
}

// SetTolerance changes what is allowed beyond the limits.
func (l *Ledger) SetTolerance(tolerance Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = tolerance
}

// TakeResult is the outcome of Take.
type TakeResult struct {
	// OK is set if the amount was spent; otherwise Wait is the time after which the
	// bucket is expected to have filled again.
	OK   bool
	Wait time.Duration
	// Level is what the bucket held before, and Share the part of the limits in force.
	Level, Share float64
}

// Take spends the amount, unless the bucket is empty.
func (l *Ledger) Take(now time.Time, workspace string, limit Limit, amount float64) TakeResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, workspace, limit)
	taken := TakeResult{Level: b.level, Share: l.share}
	// The amount may exceed what is left, so that a large request passes a small bucket.
	if b.level <= 0 {
		rate := max(limit.Rate*l.share, 1)
		taken.Wait = time.Duration((-b.level + min(amount, limit.Burst)) / rate * float64(time.Second))
		return taken
	}
	b.level -= amount
	l.own[WorkspaceID(workspace)] += amount
	taken.OK = true
	return taken
}

// Refund gives back what was taken for a request that no target ran.
func (l *Ledger) Refund(workspace string, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[workspace]; ok {
		b.level = min(b.level+amount, l.tolerance.capacity(b.limit)*l.share)
	}
	// The count of what was spent is not lowered: peers take it as growing only.
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

// AddBucket creates the bucket of a workspace, so that it fills before the first request.
func (l *Ledger) AddBucket(now time.Time, workspace string, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(now, workspace, limit)
}

// SetShare sets the part of the limits that this instance and the peers that it
// hears may spend. The rest belongs to instances that it does not hear.
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

// Share returns the part of the limits that this instance and the peers that it
// hears may spend.
func (l *Ledger) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}

// LocalUsage returns a copy of what this instance has spent.
func (l *Ledger) LocalUsage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(Usage, len(l.own))
	for id, amount := range l.own {
		own[id] = amount
	}
	return own
}

// Levels returns what the buckets hold that count what was spent for a while.
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

// ApplyReport takes over what a peer has spent, and its levels for buckets that do not
// know what was spent before this instance's start. The first report of a peer's start is
// charged as a whole, unless the peer was known before this instance started:
// its earlier spending was charged by the instances that ran then.
func (l *Ledger) ApplyReport(now time.Time, peer string, incarnation uint64, spent Usage, levels Levels) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.peers[peer]
	restarted := known && last.incarnation != incarnation
	if known && incarnation < last.incarnation {
		return // an old message
	}
	for workspace, b := range l.buckets {
		id := WorkspaceID(workspace)
		before := last.spent[id]
		if restarted {
			before = 0
		}
		if growth := spent[id] - before; known && growth > 0 {
			l.bucket(now, workspace, b.limit)
			b.level -= growth
		}
		if level, ok := levels[id]; ok && !b.settled(now) {
			// The peer may not have heard yet of what this instance has spent.
			b.level, b.updated, b.adopted = level-l.own[id], now, true
		}
	}
	l.peers[peer] = peerReport{incarnation: incarnation, spent: spent}
}
