package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Bounds of the sets. A set beyond its bound drops the entries of lowest rank.
const (
	MaxLeavingTargets = 4096
	MaxMoveStops      = 256
	MaxProgress       = 256
	MaxQuarantine     = 1024
	MaxEvidence       = 8192
	// MaxCrashedTargets bounds the target names kept in a quarantine entry.
	MaxCrashedTargets = 4
)

// Leaving is a target that has started to leave, with the configuration
// generation in which an instance observed it.
type Leaving struct {
	Target     string
	Generation int64
}

// StopKey identifies the stop of a move.
type StopKey struct {
	Move       string
	Generation int64
}

// Stop records that a move's new version must not get any more traffic.
type Stop struct {
	StopKey
	Reason string
}

// Progress is the state of a version move's row. The higher row version wins.
type Progress struct {
	Move         string
	RowVersion   int64
	Phase        pb.MovePhase
	SharePercent float64
	// Definition identifies the move that the row belongs to.
	Definition uint64
}

// Quarantine is a request fingerprint that is refused until Expires.
type Quarantine struct {
	Fingerprint    uint64
	Expires        time.Time
	CrashedTargets []string // sorted names of targets that crashed, at most MaxCrashedTargets
}

// EvidenceKey identifies one instance's counters in one window.
type EvidenceKey struct {
	Move        string
	Version     string
	Instance    string
	Incarnation uint64
	Window      int64
}

// Evidence holds the counters of one key. Only the instance in the key increases
// them.
type Evidence struct {
	EvidenceKey
	Requests      int64
	Failures      int64
	FirstToken    TimeSums
	TokenInterval TimeSums
}

// TimeSums sums times by their logarithms. The unit of the sums is that of messages.
type TimeSums struct{ Count, LogSum, LogSquareSum int64 }

// boundedSet is a map whose values only grow under merge. Beyond its limit it
// keeps the values of highest rank. Ranks never fall when values grow, so the
// result does not depend on the order of merges.
type boundedSet[K comparable, V any] struct {
	items map[K]V
	limit int
	key   func(V) K
	join  func(a, b V) V
	equal func(a, b V) bool
	rank  func(a, b V) int // total order over values of different keys
}

// merge adds a value and reports whether the set changed.
func (s *boundedSet[K, V]) merge(value V) bool {
	key := s.key(value)
	old, known := s.items[key]
	if known {
		value = s.join(old, value)
		if s.equal(old, value) {
			return false
		}
	}
	s.items[key] = value
	if len(s.items) <= s.limit {
		return true
	}
	lowest := slices.MinFunc(slices.Collect(maps.Values(s.items)), s.rank)
	delete(s.items, s.key(lowest))
	return s.key(lowest) != key
}

// Facts are the data that instances exchange besides the view. They are not safe
// for concurrent use. Each set's merge is commutative, associative and idempotent.
type Facts struct {
	leaving    boundedSet[string, Leaving]
	stops      boundedSet[StopKey, Stop]
	progress   boundedSet[string, Progress]
	quarantine boundedSet[uint64, Quarantine]
	evidence   boundedSet[EvidenceKey, Evidence]
	hash       uint64
	hashStale  bool // hash must be recomputed
}

// NewFacts returns empty sets with the standard bounds.
func NewFacts() *Facts {
	return newFacts(MaxLeavingTargets, MaxMoveStops, MaxQuarantine, MaxEvidence)
}

func newFacts(leaving, stops, quarantine, evidence int) *Facts {
	return &Facts{
		leaving: boundedSet[string, Leaving]{
			items: map[string]Leaving{},
			limit: leaving,
			key:   func(l Leaving) string { return l.Target },
			join: func(a, b Leaving) Leaving {
				a.Generation = max(a.Generation, b.Generation)
				return a
			},
			equal: func(a, b Leaving) bool { return a == b },
			rank: func(a, b Leaving) int {
				return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Target, b.Target))
			},
		},
		stops: boundedSet[StopKey, Stop]{
			items: map[StopKey]Stop{},
			limit: stops,
			key:   func(s Stop) StopKey { return s.StopKey },
			join: func(a, b Stop) Stop {
				a.Reason = max(a.Reason, b.Reason)
				return a
			},
			equal: func(a, b Stop) bool { return a == b },
			rank: func(a, b Stop) int {
				return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Move, b.Move))
			},
		},
		progress: boundedSet[string, Progress]{
			items: map[string]Progress{},
			limit: MaxProgress,
			key:   func(p Progress) string { return p.Move },
			join: func(a, b Progress) Progress {
				if b.RowVersion > a.RowVersion {
					return b
				}
				return a
			},
			equal: func(a, b Progress) bool { return a == b },
			// The rank ignores the row version. Otherwise the version of a dropped
			// record would decide whether the record returns.
			rank: func(a, b Progress) int { return cmp.Compare(a.Move, b.Move) },
		},
		quarantine: boundedSet[uint64, Quarantine]{
			items: map[uint64]Quarantine{},
			limit: quarantine,
			key:   func(q Quarantine) uint64 { return q.Fingerprint },
			join:  joinQuarantine,
			equal: func(a, b Quarantine) bool {
				return a.Expires.Equal(b.Expires) && slices.Equal(a.CrashedTargets, b.CrashedTargets)
			},
			// The rank ignores the expiry. Otherwise an entry that is dropped and
			// later renewed would lose names of crashed targets, and the result
			// would depend on the order of merges.
			rank: func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) },
		},
		evidence: boundedSet[EvidenceKey, Evidence]{
			items: map[EvidenceKey]Evidence{},
			limit: evidence,
			key:   func(e Evidence) EvidenceKey { return e.EvidenceKey },
			join:  joinEvidence,
			equal: func(a, b Evidence) bool { return a == b },
			rank:  rankEvidence,
		},
	}
}

// Hash returns a hash of all facts except evidence, whose counters change all the
// time, and the validity of quarantine entries, which drifts with message delays.
func (f *Facts) Hash() uint64 {
	if !f.hashStale {
		return f.hash
	}
	f.hashStale = false
	f.hash = 0
	for _, l := range f.leaving.items {
		f.hash ^= xxhash.Sum64String(fmt.Sprintf("leaving %q %d", l.Target, l.Generation))
	}
	for _, s := range f.stops.items {
		f.hash ^= xxhash.Sum64String(fmt.Sprintf("stop %q %d %q", s.Move, s.Generation, s.Reason))
	}
	for _, p := range f.progress.items {
		f.hash ^= xxhash.Sum64String(fmt.Sprintf("progress %q %d", p.Move, p.RowVersion))
	}
	for fingerprint := range f.quarantine.items {
		f.hash ^= xxhash.Sum64String(fmt.Sprintf("quarantine %d", fingerprint))
	}
	return f.hash
}

// keys returns the keys of all facts except evidence.
func (f *Facts) keys() []recordKey {
	var keys []recordKey
	for target := range f.leaving.items {
		keys = append(keys, recordKey{kind: kindLeaving, name: target})
	}
	for stop := range f.stops.items {
		keys = append(keys, recordKey{kind: kindStop, name: stop.Move, number: uint64(stop.Generation)})
	}
	for move := range f.progress.items {
		keys = append(keys, recordKey{kind: kindProgress, name: move})
	}
	for fingerprint := range f.quarantine.items {
		keys = append(keys, recordKey{kind: kindQuarantine, number: fingerprint})
	}
	return keys
}

// normalize sorts the names of crashed targets, removes duplicates and limits
// their number.
func (q Quarantine) normalize() Quarantine {
	if len(q.CrashedTargets) == 0 {
		q.CrashedTargets = nil
		return q
	}
	crashed := slices.Clone(q.CrashedTargets)
	slices.Sort(crashed)
	crashed = slices.Compact(crashed)
	q.CrashedTargets = crashed[:min(len(crashed), MaxCrashedTargets)]
	return q
}

func joinQuarantine(a, b Quarantine) Quarantine {
	if b.Expires.After(a.Expires) {
		a.Expires = b.Expires
	}
	a.CrashedTargets = slices.Concat(a.CrashedTargets, b.CrashedTargets)
	return a.normalize()
}

func joinEvidence(a, b Evidence) Evidence {
	a.Requests = max(a.Requests, b.Requests)
	a.Failures = max(a.Failures, b.Failures)
	a.FirstToken = joinTimes(a.FirstToken, b.FirstToken)
	a.TokenInterval = joinTimes(a.TokenInterval, b.TokenInterval)
	return a
}

func joinTimes(a, b TimeSums) TimeSums {
	return TimeSums{max(a.Count, b.Count), max(a.LogSum, b.LogSum), max(a.LogSquareSum, b.LogSquareSum)}
}

func rankEvidence(a, b Evidence) int {
	return cmp.Or(
		cmp.Compare(a.Window, b.Window),
		cmp.Compare(a.Move, b.Move),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// MergeLeaving adds a leaving target and reports whether the facts changed.
func (f *Facts) MergeLeaving(l Leaving) bool { return f.markStale(f.leaving.merge(l)) }

// MergeStop adds a move stop and reports whether the facts changed.
func (f *Facts) MergeStop(s Stop) bool { return f.markStale(f.stops.merge(s)) }

// MergeProgress adds the state of a move's row and reports whether the facts changed.
func (f *Facts) MergeProgress(p Progress) bool { return f.markStale(f.progress.merge(p)) }

// MergeQuarantine adds a quarantine entry and reports whether the facts changed.
func (f *Facts) MergeQuarantine(q Quarantine) bool {
	return f.markStale(f.quarantine.merge(q.normalize()))
}

// markStale marks the hash as stale if the facts changed. It returns its argument.
func (f *Facts) markStale(changed bool) bool {
	f.hashStale = f.hashStale || changed
	return changed
}

// MergeEvidence adds counters and reports whether any counter increased.
func (f *Facts) MergeEvidence(e Evidence) bool { return f.evidence.merge(e) }

// Prune drops expired quarantine entries and the evidence of windows before
// oldest.
func (f *Facts) Prune(now time.Time, oldest int64) {
	before := len(f.quarantine.items)
	maps.DeleteFunc(f.quarantine.items, func(_ uint64, q Quarantine) bool { return !q.Expires.After(now) })
	f.markStale(len(f.quarantine.items) != before)
	maps.DeleteFunc(f.evidence.items, func(k EvidenceKey, _ Evidence) bool { return k.Window < oldest })
}

// Snapshot is a copy of all facts. Slices are in no particular order.
type Snapshot struct {
	Leaving    []Leaving
	Stops      []Stop
	Progress   []Progress
	Quarantine []Quarantine
	Evidence   []Evidence
}

// Snapshot returns a copy of the facts.
func (f *Facts) Snapshot() Snapshot {
	return Snapshot{
		Leaving:    slices.Collect(maps.Values(f.leaving.items)),
		Stops:      slices.Collect(maps.Values(f.stops.items)),
		Progress:   slices.Collect(maps.Values(f.progress.items)),
		Quarantine: slices.Collect(maps.Values(f.quarantine.items)),
		Evidence:   slices.Collect(maps.Values(f.evidence.items)),
	}
}
