package routes

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the newest Snapshot that this process has seen. It never goes back to an older
// version. All methods are safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
	// confirmedAt is the latest time at which the current Snapshot was known to be the newest, in
	// nanoseconds of the clock that the callers use; 0 if there is none.
	confirmedAt atomic.Int64
	// mu makes changing the Snapshot and its confirmation time one atomic step for Update and
	// Confirm. Readers do not acquire it.
	mu sync.Mutex
}

// Current returns the newest Snapshot, or nil if none is known.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the version of the current Snapshot, or 0 if none is known.
func (h *Holder) Version() uint64 {
	if s := h.Current(); s != nil {
		return s.Version
	}
	return 0
}

// Update makes s the current Snapshot if it is newer, and reports whether it did. confirmedAt is a
// time at which no newer version than s was in force. For the current version Update only records
// the confirmation, and for an older one it does nothing.
func (h *Holder) Update(s *Snapshot, confirmedAt time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := h.Version()
	if s.Version < version {
		return false
	}
	if s.Version > version {
		h.current.Store(s)
	}
	h.confirm(confirmedAt)
	return s.Version > version
}

// Confirm records that no newer version than the given one was in force at confirmedAt. It does
// nothing if that version is not the current one.
func (h *Holder) Confirm(version uint64, confirmedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != 0 && version == h.Version() {
		h.confirm(confirmedAt)
	}
}

// confirm raises confirmedAt, which never goes back. h.mu must be held.
func (h *Holder) confirm(confirmedAt time.Duration) {
	if int64(confirmedAt) > h.confirmedAt.Load() {
		h.confirmedAt.Store(int64(confirmedAt))
	}
}

// ConfirmedAt returns the latest time at which the current Snapshot was known to be the newest, or 0
// if there is none. The clock is the one that callers of Update and Confirm use.
func (h *Holder) ConfirmedAt() time.Duration { return time.Duration(h.confirmedAt.Load()) }
