package membership

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of one message.
const (
	// MaxRecords bounds the records of all kinds.
	MaxRecords = 60
	// MaxEvidenceRecords bounds the evidence in one message. Each instance adds
	// counters in each window, so without this bound the traffic grows with the
	// fleet: 50 instances with one move sent 9 KB/s each.
	MaxEvidenceRecords = 3
	// MaxUrgentMembers bounds the members in an urgent message. Relaying all members
	// immediately would flood the regional link when a region partition ends.
	MaxUrgentMembers = 4
)

// kind is the kind of a record. Lower kinds are more urgent and are sent first.
type kind uint8

const (
	kindStop kind = iota
	kindProgress
	kindLeaving
	kindQuarantine
	kindMember
	kindEvidence
)

// recordKey identifies a record of any kind.
type recordKey struct {
	kind     kind
	name     string
	number   uint64
	evidence EvidenceKey
}

// sendQueue holds the number of remaining sends of each changed record.
type sendQueue struct {
	remaining map[recordKey]int
}

// sendsPerChange returns the number of times that a change is sent: about
// 3*log2(n) for n instances.
func sendsPerChange(instances int) int {
	return max(3, int(math.Ceil(3*math.Log2(float64(instances+1)))))
}

func (s *sendQueue) add(key recordKey, times int) {
	s.remaining[key] = times
}

// pending returns the number of queued records that are not evidence.
func (s *sendQueue) pending() int {
	count := 0
	for key := range s.remaining {
		if key.kind != kindEvidence {
			count++
		}
	}
	return count
}

// take removes and returns the keys for one message, ordered by kind and then by
// descending number of remaining sends. New changes therefore precede those that
// most peers already have. MaxEvidenceRecords limits evidence further.
func (s *sendQueue) take(limit int) []recordKey {
	keys := make([]recordKey, 0, len(s.remaining))
	for key := range s.remaining {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b recordKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(s.remaining[b], s.remaining[a]))
	})
	evidence, _ := slices.BinarySearchFunc(keys, kindEvidence, func(key recordKey, k kind) int {
		return cmp.Compare(key.kind, k)
	})
	keys = keys[:min(limit, evidence+MaxEvidenceRecords, len(keys))]
	for _, key := range keys {
		if s.remaining[key]--; s.remaining[key] <= 0 {
			delete(s.remaining, key)
		}
	}
	return keys
}
