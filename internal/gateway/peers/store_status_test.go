package peers

import (
	"testing"
	"time"
)

func TestUnreachableStoreExcludesGatewaysFromTheOrder(t *testing.T) {
	a, b, _ := newMeshPair(t)
	a.Config.Following = func() Following { return Following{} }
	b.Config.Following = func() Following { return Following{} }
	deliver(t, a, b)
	deliver(t, b, a)
	if a.Before()+b.Before() != 0 {
		t.Errorf("%d peers precede a, %d precede b, although neither can reach the store", a.Before(), b.Before())
	}
}

func TestStoreStatusReachesPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	deliver(t, a, b)
	if b.Followed() || b.Ahead(0) != "" {
		t.Error("a doesn't poll and knows no servers")
	}
	a.Config.Following = func() Following { return Following{Able: true, Asks: true, Servers: 8} }
	deliver(t, a, b)
	if !b.Followed() || b.Ahead(7) == "" || b.Ahead(8) != "" {
		t.Errorf("peer polls store %v, peer with servers after 7 %q, after 8 %q", b.Followed(), b.Ahead(7), b.Ahead(8))
	}
	if b.Quarantined() {
		t.Error("a doesn't know the quarantined requests")
	}
	a.Config.Following = func() Following { return Following{Able: true, Asks: true, Servers: 8, Quarantine: true} }
	deliver(t, a, b)
	if !b.Quarantined() {
		t.Error("a knows the quarantined requests, but this isn't seen at b")
	}
	afterTimeout := time.Now().Add(2 * peerTimeout)
	if b.table.anyPolling(afterTimeout) || b.table.anyKnowsQuarantine(afterTimeout) || b.table.withNewerServers(afterTimeout, 7) != "" {
		t.Error("a silent peer is still used")
	}
}
