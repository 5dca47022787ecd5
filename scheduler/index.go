package scheduler

import (
	"container/list"
	"slices"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

// Limits of the prefix index.
const (
	// DefaultPrefixEntries bounds the index of a whole group. With twice as many,
	// a group of 1,100 targets took 24 of the 32 MB that an instance may use.
	DefaultPrefixEntries = 32768
	// maxTargetEntries bounds the entries of one target.
	maxTargetEntries = 8192
	// gapRetention is how long entries that were not confirmed since a gap in the
	// event sequence are kept.
	gapRetention = 60 * time.Second
	// maxGaps bounds the gaps that are recorded separately; a further gap replaces
	// the newest.
	maxGaps = 256
)

// holders lists, for each indexed hash, the targets that hold the block.
type holders map[uint64][]*targetState

// prefixIndex is the estimated content of one target's prefix cache.
type prefixIndex struct {
	owner   *targetState
	shared  holders
	entries map[uint64]*indexEntry
	// used holds blocks that tickets named, announced those that only the target's
	// events named; both are ordered from the most recent. Events name every block
	// and tickets only a few, so announced blocks may use at most half of the
	// entries.
	used, announced list.List
	limit           int
	// blocks counts the cache blocks that the used entries stand for, and
	// cacheBlocks those that the target's cache can hold (0: unknown).
	blocks, cacheBlocks int
	sequence            int64
	gaps                []time.Time
	dropBefore          time.Time
}

type indexEntry struct {
	hash      uint64
	confirmed time.Time
	// ready is when the prefill of the prompt that contains the block is expected
	// to end. An engine does not share the blocks of a prompt that it still
	// computes.
	ready time.Time
	// blocks is the number of cache blocks since the previous sampled hash.
	blocks   int
	isUsed   bool
	position *list.Element
}

func newPrefixIndex(owner *targetState, shared holders) *prefixIndex {
	return &prefixIndex{owner: owner, shared: shared, entries: make(map[uint64]*indexEntry), limit: maxTargetEntries}
}

func (x *prefixIndex) setLimit(limit int) {
	x.limit = max(prefix.MaxTicketHashes, min(limit, maxTargetEntries))
	x.evict()
}

func (x *prefixIndex) setCacheBlocks(total int) {
	if total > 0 {
		x.cacheBlocks = total
		x.evict()
	}
}

// match returns the prompt tokens that the target is estimated to have cached. A
// block counts only if all shorter sampled blocks are held too.
func (x *prefixIndex) match(now time.Time, hashes []uint64) int {
	tokens, divisor := 0, 1
	for i, hash := range hashes {
		e, ok := x.entries[hash]
		if !ok || e.ready.After(now) {
			break
		}
		stale, valid := x.freshness(now, e)
		if !valid {
			x.remove(e)
			break
		}
		if stale {
			divisor = 2
		}
		tokens = max(tokens, prefix.SampledTokens(i)/divisor)
	}
	return tokens
}

// freshness reports whether the entry has not been confirmed since a gap (stale)
// and whether it still counts (valid).
func (x *prefixIndex) freshness(now time.Time, e *indexEntry) (stale, valid bool) {
	if len(x.gaps) == 0 && x.dropBefore.IsZero() {
		return false, true
	}
	for len(x.gaps) > 0 && now.Sub(x.gaps[0]) > gapRetention {
		x.dropBefore = x.gaps[0]
		x.gaps = x.gaps[1:]
	}
	if e.confirmed.Before(x.dropBefore) {
		return false, false
	}
	return len(x.gaps) > 0 && e.confirmed.Before(x.gaps[len(x.gaps)-1]), true
}

// recordPrompt records the blocks of a prompt that was granted to or served by the
// target and whose prefill is expected to end, or has ended, at ready.
func (x *prefixIndex) recordPrompt(now, ready time.Time, hashes []uint64) {
	// The longest block comes first: longer blocks need the shorter ones, which
	// must be evicted last.
	for i, hash := range slices.Backward(hashes) {
		e := x.recordUse(now, hash, (1<<i+1)/2)
		if e.ready.IsZero() || ready.Before(e.ready) {
			e.ready = ready
		}
	}
	x.evict()
}

// undo removes the blocks that were recorded only for the grant at the given time.
func (x *prefixIndex) undo(granted time.Time, hashes []uint64) {
	for _, hash := range hashes {
		if e, ok := x.entries[hash]; ok && e.confirmed.Equal(granted) {
			x.remove(e)
		}
	}
}

func (x *prefixIndex) recordUse(now time.Time, hash uint64, blocks int) *indexEntry {
	e, ok := x.entries[hash]
	switch {
	case !ok:
		e = &indexEntry{hash: hash, blocks: blocks, isUsed: true}
		e.position = x.used.PushFront(e)
		x.blocks += blocks
		x.insert(e)
	case e.isUsed:
		x.used.MoveToFront(e.position)
	default:
		x.announced.Remove(e.position)
		e.isUsed, e.blocks = true, blocks
		e.position = x.used.PushFront(e)
		x.blocks += blocks
	}
	e.confirmed = now
	return e
}

// observe applies the target's cache events.
func (x *prefixIndex) observe(now time.Time, events []CacheEvent) {
	for _, event := range events {
		if !x.advance(now, event.Sequence) {
			continue
		}
		switch event.Kind {
		case CacheStored:
			for _, hash := range event.Blocks {
				x.announce(now, hash)
			}
		case CacheRemoved:
			for _, hash := range event.Blocks {
				if e, ok := x.entries[hash]; ok {
					x.remove(e)
				}
			}
		case CacheCleared:
			x.clear()
		}
	}
	x.evict()
}

// advance checks the sequence number. It returns false for an event that was
// applied before.
func (x *prefixIndex) advance(now time.Time, sequence int64) bool {
	switch {
	case x.sequence == 0 || sequence == x.sequence+1:
	case sequence == 1 && x.sequence > 1:
		// The sequence starts again: the target was restarted with an empty cache.
		x.clear()
	case sequence <= x.sequence:
		return false
	default:
		x.recordGap(now)
	}
	x.sequence = sequence
	return true
}

func (x *prefixIndex) recordGap(now time.Time) {
	if n := len(x.gaps); n == maxGaps || (n > 0 && x.gaps[n-1].Equal(now)) {
		x.gaps[n-1] = now
		return
	}
	x.gaps = append(x.gaps, now)
}

func (x *prefixIndex) announce(now time.Time, hash uint64) {
	e, ok := x.entries[hash]
	if !ok {
		e = &indexEntry{hash: hash}
		e.position = x.announced.PushFront(e)
		x.insert(e)
	}
	e.confirmed, e.ready = now, now
}

func (x *prefixIndex) insert(e *indexEntry) {
	x.entries[e.hash] = e
	x.shared[e.hash] = append(x.shared[e.hash], x.owner)
}

func (x *prefixIndex) remove(e *indexEntry) {
	delete(x.entries, e.hash)
	if e.isUsed {
		x.used.Remove(e.position)
		x.blocks -= e.blocks
	} else {
		x.announced.Remove(e.position)
	}
	owners := x.shared[e.hash]
	i := slices.Index(owners, x.owner)
	last := len(owners) - 1
	owners[i], owners[last] = owners[last], nil
	if last == 0 {
		delete(x.shared, e.hash)
		return
	}
	x.shared[e.hash] = owners[:last]
}

func (x *prefixIndex) evict() {
	for x.announced.Len() > 0 && (x.announced.Len() > x.limit/2 || len(x.entries) > x.limit) {
		x.remove(x.announced.Back().Value.(*indexEntry))
	}
	for x.used.Len() > 0 && (x.used.Len() > x.limit || (x.cacheBlocks > 0 && x.blocks > x.cacheBlocks)) {
		x.remove(x.used.Back().Value.(*indexEntry))
	}
}

func (x *prefixIndex) clear() {
	for _, e := range x.entries {
		x.remove(e)
	}
	x.gaps = nil
}
