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
	// counters in each window, so without it the traffic grows with the fleet:
	// 50 instances with one move sent 9 KB/s each.
	MaxEvidenceRecords = 3
	// MaxUrgentMembers bounds the members in an urgent message. Relaying all of
	// them at once would flood the regional link when a cut heals.
	MaxUrgentMembers = 4
)

// kind orders records by urgency: lower kinds are sent first.
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

// spread counts how often each changed record is still to be sent.
type spread struct {
	left map[recordKey]int
}

// sends is the number of times that a change is sent: about 3*log2(n).
func sends(instances int) int {
	return max(3, int(math.Ceil(3*math.Log2(float64(instances+1)))))
}

func (s *spread) add(key recordKey, times int) {
	s.left[key] = times
}

// pending counts the waiting records without evidence.
func (s *spread) pending() int {
	count := 0
	for key := range s.left {
		if key.kind != kindEvidence {
			count++
		}
	}
	return count
}

// take returns the keys for one message: by kind, then those sent least often.
// Fresh changes thus overtake those that most peers already know. Evidence is
// limited further.
func (s *spread) take(limit int) []recordKey {
	keys := make([]recordKey, 0, len(s.left))
	for key := range s.left {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b recordKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(s.left[b], s.left[a]))
	})
	evidence, _ := slices.BinarySearchFunc(keys, kindEvidence, func(key recordKey, k kind) int {
		return cmp.Compare(key.kind, k)
	})
	keys = keys[:min(limit, evidence+MaxEvidenceRecords, len(keys))]
	for _, key := range keys {
		if s.left[key]--; s.left[key] <= 0 {
			delete(s.left, key)
		}
	}
	return keys
}
