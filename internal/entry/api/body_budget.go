package api

import (
	"sync"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/policy"
)

const (
	// maxHeld bounds the bytes of all bodies that an entry holds at once. Of
	// 128 MB some 25 MB are connections, time line and metrics at the target
	// size; with as much again for the bodies the collector lets the heap grow
	// to 100 MB, and the rest is for copies while bodies are sent on. The peak
	// there needs 9 MB: 8.8 requests a second of 100 KB for 10 seconds.
	maxBodyMemory = 24 << 20
	// heldUnnamed and heldLower keep a part of that back: the bodies of less
	// urgent tiers are taken up to heldLower, those whose class isn't known
	// before they have been read up to heldUnnamed, so that neither makes an
	// urgent tier's be refused. Each step is one body of the largest size.
	maxBodyMemoryUnknownClass = maxBodyMemory - maxBodyBytes
	maxBodyMemoryNonUrgent    = maxBodyMemoryUnknownClass - maxBodyBytes
)

// heldBytes counts the bytes of the bodies that are held.
type bodyBudget struct {
	mu   sync.Mutex
	used int64
}

// acquire takes n bytes if no more than bound are held then.
func (b *bodyBudget) tryAcquire(n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > limit {
		return false
	}
	b.used += n
	return true
}

func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// within reports whether no more than bound are held.
func (b *bodyBudget) within(limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used <= limit
}

// boundOf is up to how many held bytes a class's bodies are taken.
func bodyMemoryLimit(c targets.Class) int64 {
	if policy.Tier(c.Tier).Urgent() {
		return maxBodyMemory
	}
	return maxBodyMemoryNonUrgent
}

// boundOfNamed is boundOf the class that a caller names, before more is known.
func bodyMemoryLimitByName(set *targets.Set, name string) int64 {
	class, ok := set.Class(name)
	if !ok || class.Retired {
		return maxBodyMemoryUnknownClass
	}
	return bodyMemoryLimit(class)
}
