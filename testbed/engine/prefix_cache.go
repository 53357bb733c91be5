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
	mu       sync.Mutex
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndStore returns the number of leading prompt tokens that are cached,
// and caches the full blocks of the prompt.
func (c *prefixCache) lookupAndStore(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBlocks := 0
	matching := true
	for _, block := range prefixHashes(prompt) {
		matching = c.touch(block) && matching
		if matching {
			cachedBlocks++
		}
	}
	return cachedBlocks * blockTokens
}

// clear removes all blocks.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
}

// touch marks a block as most recently used, inserting it if necessary, and
// reports whether it was cached before.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.lru.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.lru.PushFront(block)
	if c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		delete(c.blocks, c.lru.Remove(oldest).(uint64))
	}
	return false
}

// prefixHashes returns a hash of each prefix of the prompt that ends at a full
// block.
func prefixHashes(prompt string) []uint64 {
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
