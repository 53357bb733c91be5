package api

import (
	"sync"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/policy"
)

const (
	// maxBodyMemory limits the bytes of all request bodies in memory. Of the entry's 128
	// MB, some 25 MB are connections, timeline and metrics at the target size. With as
	// much again for bodies, the garbage collector lets the heap grow to 100 MB; the rest
	// is for copies while bodies are forwarded. Peak load at the target size needs 9 MB:
	// 8.8 requests a second of 100 KB for 10 seconds.
	maxBodyMemory = 24 << 20
	// maxBodyMemoryUnknownClass and maxBodyMemoryNonUrgent reserve part of maxBodyMemory
	// for urgent tiers, so that other bodies cannot cause urgent ones to be refused.
	// Bodies of non-urgent tiers are limited by maxBodyMemoryNonUrgent, and bodies whose
	// class isn't known before they are read by maxBodyMemoryUnknownClass. Each step is
	// one body of maxBodyBytes.
	maxBodyMemoryUnknownClass = maxBodyMemory - maxBodyBytes
	maxBodyMemoryNonUrgent    = maxBodyMemoryUnknownClass - maxBodyBytes
)

// bodyBudget counts the bytes reserved for request bodies. It is safe for concurrent use.
type bodyBudget struct {
	mu       sync.Mutex
	reserved int64
}

// tryAcquire reserves n bytes and returns true if at most limit bytes are then reserved.
func (b *bodyBudget) tryAcquire(n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+n > limit {
		return false
	}
	b.reserved += n
	return true
}

func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
}

// within reports whether at most limit bytes are reserved.
func (b *bodyBudget) within(limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved <= limit
}

// bodyMemoryLimit returns how many bytes all bodies may take in total when a body of
// class c is accepted.
func bodyMemoryLimit(c targets.Class) int64 {
	if policy.Tier(c.Tier).Urgent() {
		return maxBodyMemory
	}
	return maxBodyMemoryNonUrgent
}

// bodyMemoryLimitByName returns the body memory limit for the class that a caller names,
// for use before the body is read. An unknown, retired or missing name gets
// maxBodyMemoryUnknownClass.
func bodyMemoryLimitByName(set *targets.Set, name string) int64 {
	class, ok := set.Class(name)
	if !ok || class.Retired {
		return maxBodyMemoryUnknownClass
	}
	return bodyMemoryLimit(class)
}
