package targets

import "time"

// askAgain is how long a question for a Set may go unanswered before another
// peer is asked. A Set of the target size takes a few milliseconds; asking
// again sooner would fetch it several times over, since a change is announced
// by many peers at almost the same moment.
const askAgain = 200 * time.Millisecond

// asking remembers the last question for a newer Set.
type asking struct {
	// newest is the newest version that a peer has told of.
	newest uint64
	at     time.Time
}

// Ask notes that a peer has told of a version, and reports whether to ask that
// peer for its Set: when the version is newer than the current one and no
// other peer was asked just now.
func (h *Holder) Ask(version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.current.Version {
		return false
	}
	now := time.Now()
	known := version <= h.asking.newest
	h.asking.newest = max(h.asking.newest, version)
	if known && now.Sub(h.asking.at) < askAgain {
		return false
	}
	h.asking.at = now
	return true
}

// Behind reports whether a peer has told of a version newer than the current
// one. Whoever is behind for long tells its peers its version, so that one of
// them announces the newer one again.
func (h *Holder) Behind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asking.newest > h.current.Version
}
