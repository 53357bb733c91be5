package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// blockTokens is how many prompt tokens one cached block holds.
const blockTokens = 16

// prefixCache remembers the blocks of prompts it has seen, up to a number,
// and forgets the least recently used first. A block's hash covers all that
// is before it, so that only common beginnings match.
type prefixCache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// visit returns how many of the prompt's tokens are cached, from its
// beginning on, and caches the whole prompt.
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

// clear forgets everything.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
}

// touch marks a block as used and reports whether it was there.
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

// hashBlocks hashes the beginnings of a prompt, one for each full block.
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
