package peers

import (
	"testing"
	"time"
)

func TestGatewaysThatAreTurnedAwayComeBeforeNobody(t *testing.T) {
	a, b, _ := meshes(t)
	a.Config.Following = func() Following { return Following{} }
	b.Config.Following = func() Following { return Following{} }
	pass(t, a, b)
	pass(t, b, a)
	if a.Before()+b.Before() != 0 {
		t.Errorf("%d come before a, %d before b, and the store answers neither", a.Before(), b.Before())
	}
}

func TestWhoAsksTheStoreIsKnown(t *testing.T) {
	a, b, _ := meshes(t)
	pass(t, a, b)
	if b.Followed() || b.Ahead(0) != "" {
		t.Error("a rests and knows of no servers")
	}
	a.Config.Following = func() Following { return Following{Able: true, Asks: true, Servers: 8} }
	pass(t, a, b)
	if !b.Followed() || b.Ahead(7) == "" || b.Ahead(8) != "" {
		t.Errorf("followed %v, ahead of 7 %q, of 8 %q", b.Followed(), b.Ahead(7), b.Ahead(8))
	}
	if b.Quarantined() {
		t.Error("a doesn't know which requests are quarantined")
	}
	a.Config.Following = func() Following { return Following{Able: true, Asks: true, Servers: 8, Quarantine: true} }
	pass(t, a, b)
	if !b.Quarantined() {
		t.Error("a knows which requests are quarantined")
	}
	later := time.Now().Add(2 * silentAfter)
	if b.table.followed(later) || b.table.quarantined(later) || b.table.ahead(later, 7) != "" {
		t.Error("who fell silent is relied on")
	}
}
