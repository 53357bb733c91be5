package peers

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/follow"
)

// following is whether a gateway asks the platform's store for news.
type following uint8

const (
	// turnedAway: the store didn't answer this gateway last.
	turnedAway following = iota
	// resting: others ask, as far as the gateway knows.
	resting
	// asking: it asks, and the store answers.
	asking
)

// Following is what a gateway knows of the platform's store first hand.
type Following struct {
	// Able says that the store didn't turn this gateway away last.
	Able bool
	// Asks says that it asks, and the store answers.
	Asks bool
	// Servers is the position after the newest change in the list of backend servers
	// that is known, from whomever; 0 for none.
	Servers follow.Position
	// Quarantine says that the requests that are quarantined are known, from the store or from
	// gateways that know them.
	Quarantine bool
}

func (f Following) packed() following {
	switch {
	case f.Asks:
		return asking
	case f.Able:
		return resting
	default:
		return turnedAway
	}
}

// before counts the live peers that the store isn't known to turn away, and whose names come
// before one by their hashes.
func (t *table) before(now time.Time, name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for other, p := range t.peers {
		if p.live(now) && p.follows != turnedAway && hash(other) < hash(name) {
			n++
		}
	}
	return n
}

// followed reports whether a live peer asks the store.
func (t *table) followed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.live(now) && p.follows == asking {
			return true
		}
	}
	return false
}

// quarantined reports whether a live peer knows which requests are quarantined.
func (t *table) quarantined(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.live(now) && p.quarantine {
			return true
		}
	}
	return false
}

// ahead returns the address of a live peer that knows of changes in the list of backend
// servers after a position; empty for none, one of several by chance.
func (t *table) ahead(now time.Time, at follow.Position) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.live(now) && p.servers > at {
			return p.addr
		}
	}
	return ""
}
