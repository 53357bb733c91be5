package targets

import "sync"

// Holder keeps the newest Set that this process has seen.
type Holder struct {
	mu      sync.Mutex
	current *Set
	changed chan struct{}
	asking  asking
}

// NewHolder returns a Holder with an empty Set of version zero.
func NewHolder() *Holder {
	return &Holder{current: &Set{}, changed: make(chan struct{})}
}

// Current returns the newest Set; callers must not change it.
func (h *Holder) Current() *Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Offer adopts s when it is newer than the current Set and reports whether it
// did. An older or equal version is ignored, so a process never goes back.
func (h *Holder) Offer(s *Set) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == nil || s.Version <= h.current.Version {
		return false
	}
	h.current = s
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a newer Set is adopted.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
