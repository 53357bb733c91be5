package targets

import "sync"

// Cache holds the newest Set that this process has received. It is safe for
// concurrent use.
type Cache struct {
	mu      sync.Mutex
	current *Set
	changed chan struct{}
	fetch   fetchState
}

// NewCache returns a Cache that holds an empty Set of version zero.
func NewCache() *Cache {
	return &Cache{current: &Set{}, changed: make(chan struct{})}
}

// Current returns the newest Set. Callers must not modify it.
func (c *Cache) Current() *Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// UpdateIfNewer replaces the current Set by s if s has a higher version, and
// reports whether it did. A nil Set or one of the same or a lower version is
// ignored, so the version never decreases.
func (c *Cache) UpdateIfNewer(s *Set) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil || s.Version <= c.current.Version {
		return false
	}
	c.current = s
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the current Set is replaced.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
