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
	maxHeld = 24 << 20
	// heldUnnamed and heldLower keep a part of that back: the bodies of less
	// urgent tiers are taken up to heldLower, those whose class isn't known
	// before they have been read up to heldUnnamed, so that neither makes an
	// urgent tier's be refused. Each step is one body of the largest size.
	heldUnnamed = maxHeld - maxBody
	heldLower   = heldUnnamed - maxBody
)

// heldBytes counts the bytes of the bodies that are held.
type heldBytes struct {
	mu   sync.Mutex
	used int64
}

// acquire takes n bytes if no more than bound are held then.
func (h *heldBytes) acquire(n, bound int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used+n > bound {
		return false
	}
	h.used += n
	return true
}

func (h *heldBytes) release(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used -= n
}

// within reports whether no more than bound are held.
func (h *heldBytes) within(bound int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used <= bound
}

// boundOf is up to how many held bytes a class's bodies are taken.
func boundOf(c targets.Class) int64 {
	if policy.Tier(c.Tier).Urgent() {
		return maxHeld
	}
	return heldLower
}

// boundOfNamed is boundOf the class that a caller names, before more is known.
func boundOfNamed(set *targets.Set, name string) int64 {
	class, ok := set.Class(name)
	if !ok || class.Retired {
		return heldUnnamed
	}
	return boundOf(class)
}
