package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// blockTokens is the number of prompt tokens per cached block.
const blockTokens = 16

// prefixCache is an LRU cache of prompt blocks. A block's hash covers the block
// and everything before it, so that only common prefixes match.
type prefixCache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndStore returns the number of leading prompt tokens that are cached,
// and caches the full blocks of the prompt.
func (c *prefixCache) visit(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	matching := true
	for _, block := range hashBlocks(prompt) {
		matching = c.touch(block) && matching
		if matching {
			cached++
		}
	}
	return cached * blockTokens
}

// clear removes all blocks.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
}

// touch marks a block as most recently used, inserting it if necessary, and
// reports whether it was cached before.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.size {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
	return false
}

// prefixHashes returns a hash of each prefix of the prompt that ends at a full
// block.
func hashBlocks(prompt string) []uint64 {
	const blockBytes = blockTokens * bytesPerToken
	hash := fnv.New64a()
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for len(prompt) >= blockBytes {
		_, _ = hash.Write([]byte(prompt[:blockBytes]))
		hashes = append(hashes, hash.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}
