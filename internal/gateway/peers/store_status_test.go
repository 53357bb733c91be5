package peers

import (
	"testing"
	"time"
)

// Guards against a gateway that can't reach the store being counted as preceding others, which would
// then leave polling to it.
func TestUnreachableStoreExcludesGatewaysFromTheOrder(t *testing.T) {
	a, b, _ := newMeshPair(t)
	a.Config.StoreStatus = func() StoreStatus { return StoreStatus{} }
	b.Config.StoreStatus = func() StoreStatus { return StoreStatus{} }
	deliver(t, a, b)
	deliver(t, b, a)
	if a.PrecedingPeers()+b.PrecedingPeers() != 0 {
		t.Errorf("%d peers precede a, %d precede b, although neither can reach the store", a.PrecedingPeers(), b.PrecedingPeers())
	}
}

func TestStoreStatusReachesPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	deliver(t, a, b)
	if b.PeerPollsStore() || b.PeerWithNewerServers(0) != "" {
		t.Error("a doesn't poll and knows no servers")
	}
	a.Config.StoreStatus = func() StoreStatus { return StoreStatus{Reachable: true, Polling: true, ServersPosition: 8} }
	deliver(t, a, b)
	if !b.PeerPollsStore() || b.PeerWithNewerServers(7) == "" || b.PeerWithNewerServers(8) != "" {
		t.Errorf("peer polls store %v, peer with servers after 7 %q, after 8 %q", b.PeerPollsStore(), b.PeerWithNewerServers(7), b.PeerWithNewerServers(8))
	}
	if b.PeerKnowsQuarantine() {
		t.Error("a doesn't know the quarantined requests")
	}
	a.Config.StoreStatus = func() StoreStatus {
		return StoreStatus{Reachable: true, Polling: true, ServersPosition: 8, QuarantineKnown: true}
	}
	deliver(t, a, b)
	if !b.PeerKnowsQuarantine() {
		t.Error("a knows the quarantined requests, but b doesn't know that it does")
	}
	afterTimeout := time.Now().Add(2 * peerTimeout)
	if b.table.anyPolling(afterTimeout) || b.table.anyKnowsQuarantine(afterTimeout) || b.table.withNewerServers(afterTimeout, 7) != "" {
		t.Error("a silent peer is still used")
	}
}
