package routes

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the newest Set that this process has seen. It never goes back
// to an older version. All methods may be called concurrently.
type Holder struct {
	current atomic.Pointer[Set]
	// provenAt is the moment, in nanoseconds of the clock that the callers
	// use, at which the current Set was the newest; 0 when it never was.
	provenAt atomic.Int64
	// mu makes a change of version and its proof one step.
	mu sync.Mutex
}

// Current returns the newest Set, or nil while none is known.
func (h *Holder) Current() *Set { return h.current.Load() }

// Version is the current Set's version; 0 while none is known.
func (h *Holder) Version() uint64 {
	if s := h.Current(); s != nil {
		return s.Version
	}
	return 0
}

// Offer adopts s when it is newer than the current Set, and reports whether it
// did. The moment is one at which no newer version than s was in force.
func (h *Holder) Offer(s *Set, moment time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := h.Version()
	if s.Version < version {
		return false
	}
	if s.Version > version {
		h.current.Store(s)
	}
	h.prove(moment)
	return s.Version > version
}

// Prove notes that no newer version than the given one was in force at the
// moment; it counts only if that version is the current one.
func (h *Holder) Prove(version uint64, moment time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != 0 && version == h.Version() {
		h.prove(moment)
	}
}

func (h *Holder) prove(moment time.Duration) {
	if int64(moment) > h.provenAt.Load() {
		h.provenAt.Store(int64(moment))
	}
}

// ProvenAt is the latest moment at which the current Set is known to have been
// the newest.
func (h *Holder) ProvenAt() time.Duration { return time.Duration(h.provenAt.Load()) }
