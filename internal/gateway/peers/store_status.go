package peers

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/follow"
)

// storeMode is whether a gateway can reach the platform's store and polls it, as sent in datagrams.
type storeMode uint8

const (
	// storeUnreachable means that the gateway's last call to the store failed.
	storeUnreachable storeMode = iota
	// notPolling means that the gateway leaves polling to other gateways.
	notPolling
	// polling means that the gateway polls the store and gets responses.
	polling
)

// StoreStatus is what a gateway has observed of the platform's store.
type StoreStatus struct {
	// Reachable is whether this gateway's last call to the store did not fail.
	Reachable bool
	// Polling is whether this gateway polls the store and gets responses.
	Polling bool
	// ServersPosition is the position after the newest known change of the list of backend
	// servers, whether from the store or from a peer; 0 if there is none.
	ServersPosition follow.Position
	// ServersConfirmedAt is the time on the boottime clock as of which the store had no change of the
	// list after ServersPosition; 0 if this gateway doesn't poll the store itself.
	ServersConfirmedAt time.Duration
	// QuarantineKnown is whether this gateway knows what is quarantined, either from the
	// store or from gateways that know them.
	QuarantineKnown bool
}

// mode returns the storeMode to send to other gateways.
func (s StoreStatus) mode() storeMode {
	switch {
	case s.Polling:
		return polling
	case s.Reachable:
		return notPolling
	default:
		return storeUnreachable
	}
}

// precedingPeers counts the live peers whose name hashes sort before that of name, except those
// that can't reach the store.
func (t *table) precedingPeers(now time.Time, name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for peerName, p := range t.peers {
		if p.isLive(now) && p.storeMode != storeUnreachable && hashName(peerName) < hashName(name) {
			count++
		}
	}
	return count
}

// anyPolling reports whether a live peer polls the store.
func (t *table) anyPolling(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.isLive(now) && p.storeMode == polling {
			return true
		}
	}
	return false
}

// anyTrialOwnerBefore reports whether a live peer that knows what is quarantined has a larger rendezvous
// hash for a key than the given one.
func (t *table) anyTrialOwnerBefore(now time.Time, key, hash uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if p.isLive(now) && p.quarantineKnown && rendezvousHash(key, name) > hash {
			return true
		}
	}
	return false
}

// anyKnowsQuarantine reports whether a live peer knows what is quarantined.
func (t *table) anyKnowsQuarantine(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.isLive(now) && p.quarantineKnown {
			return true
		}
	}
	return false
}

// withNewerServers returns the address of a live peer that knows changes of the list of backend
// servers after a position, picked arbitrarily if there are several; empty if there is none.
func (t *table) withNewerServers(now time.Time, position follow.Position) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.isLive(now) && p.serversPosition > position {
			return p.addr
		}
	}
	return ""
}
