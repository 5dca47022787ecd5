package engine

import "container/list"

// blockCache holds the prefix blocks that remain in memory after their request.
// Blocks that a running stream uses are pinned and cannot be evicted.
type blockCache struct {
	entries map[uint64]*list.Element
	recent  *list.List // front: most recently used
	pinned  int        // entries with pins
}

type blockEntry struct {
	hash   uint64
	parent uint64 // 0 for the first block of a prompt
	pins   int
}

func newBlockCache() *blockCache {
	return &blockCache{entries: make(map[uint64]*list.Element), recent: list.New()}
}

func (c *blockCache) len() int {
	return len(c.entries)
}

// match returns the number of leading blocks that are cached.
func (c *blockCache) match(blocks []uint64) int {
	for i, hash := range blocks {
		if c.entries[hash] == nil {
			return i
		}
	}
	return len(blocks)
}

// pin protects cached blocks from eviction and marks them as recently used. The
// first block is marked last, so that the end of a prompt is evicted before its
// start.
func (c *blockCache) pin(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		element := c.entries[blocks[i]]
		entry := element.Value.(*blockEntry)
		if entry.pins == 0 {
			c.pinned++
		}
		entry.pins++
		c.recent.MoveToFront(element)
	}
}

func (c *blockCache) unpin(blocks []uint64) {
	for _, hash := range blocks {
		entry := c.entries[hash].Value.(*blockEntry)
		entry.pins--
		if entry.pins == 0 {
			c.pinned--
		}
	}
}

// insert adds the missing blocks and returns them.
func (c *blockCache) insert(blocks []uint64) []uint64 {
	var added []uint64
	var parent uint64
	for _, hash := range blocks {
		if c.entries[hash] == nil {
			c.entries[hash] = c.recent.PushFront(&blockEntry{hash: hash, parent: parent})
			added = append(added, hash)
		}
		parent = hash
	}
	return added
}

// evictable returns the number of blocks that are not pinned.
func (c *blockCache) evictable() int {
	return len(c.entries) - c.pinned
}

// evict removes up to count unpinned blocks, least recently used first.
func (c *blockCache) evict(count int) []uint64 {
	var removed []uint64
	for element := c.recent.Back(); element != nil && len(removed) < count; {
		entry := element.Value.(*blockEntry)
		previous := element.Prev()
		if entry.pins == 0 {
			c.recent.Remove(element)
			delete(c.entries, entry.hash)
			removed = append(removed, entry.hash)
		}
		element = previous
	}
	return removed
}

// chain returns the cached blocks from the start of the prompt up to hash, or nil
// if any block on the way is missing.
func (c *blockCache) chain(hash uint64) []uint64 {
	var reversed []uint64
	for hash != 0 {
		element := c.entries[hash]
		if element == nil {
			return nil
		}
		reversed = append(reversed, hash)
		hash = element.Value.(*blockEntry).parent
	}
	blocks := make([]uint64, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		blocks = append(blocks, reversed[i])
	}
	return blocks
}
