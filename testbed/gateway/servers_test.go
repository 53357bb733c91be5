package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

// Failed connection attempts don't count against a route's attempts.
func TestUnreachableServersUseNoAttempt(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole")).Stop()
	f.StartServer("i-2", gateway.Respond("whole")).Stop()
	f.StartServer("i-3", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/x", "warm").Status == 200 })
	for _, id := range []string{"1", "2", "3", "4"} {
		if got := f.Post("/unsafe/x", id); got.Status != 200 {
			t.Errorf("status %d while one server is healthy", got.Status)
		}
	}
}

// A draining server receives no new requests.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	draining := f.StartServer("i-1", gateway.Respond("whole"))
	f.StartServer("i-2", gateway.Respond("whole"))
	f.WaitFor("both servers to be used", func() bool { f.Post("/safe/x", "warm"); return f.ReachedTwoServers("warm") })
	f.ListServer(draining, "draining")
	// A quarter of the two seconds within which operators require the change to take effect.
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		f.Post("/safe/x", "after")
	}
	if f.Reached("after", "i-1") {
		t.Error("a draining server received a request")
	}
}

// While the store is unavailable, the row of a live server expires and is written again, and
// that of a server that has left is written and then removed. Afterwards the change feed
// reports each change in order, and the last one counts.
func TestLastChangeOfServerRowCounts(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	stays, leaves := f.StartServer("i-1", gateway.Respond("whole")), f.StartServer("i-2", gateway.Respond("whole"))
	f.WaitFor("both servers to be used", func() bool { f.Post("/safe/x", "warm"); return f.ReachedTwoServers("warm") })
	f.Store.SetFault(rowstore.Unavailable)
	time.Sleep(1600 * time.Millisecond)
	f.Store.Delete("servers", stays.Instance)
	f.ListServer(stays, "ready")
	f.ListServer(leaves, "draining")
	f.Store.Delete("servers", leaves.Instance)
	f.Store.SetFault(rowstore.NoFault)
	time.Sleep(3500 * time.Millisecond)
	for range 10 {
		if got := f.Post("/safe/x", "after"); got.Status != 200 {
			t.Fatalf("status %d while a server is listed", got.Status)
		}
	}
	if f.Reached("after", leaves.Instance) {
		t.Error("a removed server received a request")
	}
}

// A request for an instance whose address another instance now uses isn't executed there.
func TestReusedAddressIsDetected(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	s := f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/x", "warm").Status == 200 })
	s.SetInstance("i-2")
	got := f.Post("/unsafe/x", "1")
	if got.Status != 503 || got.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 as another instance uses the address", got.Status)
	}
}

// Guards against a replaced server that attracts requests because it seems idle, and rejects
// them all: its row stays in the list for seconds after another instance has taken its
// address.
func TestReplacedServerGetsNoRequests(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	replaced := f.StartServer("i-1", gateway.Respond("whole"))
	f.StartServer("i-2", gateway.Respond("whole"))
	f.WaitFor("both servers to be used", func() bool { f.Post("/safe/x", "warm"); return f.ReachedTwoServers("warm") })
	replaced.SetInstance("i-3")
	rejected := 0
	for range 30 {
		if f.Post("/quick/x", "after").Status != 200 {
			rejected++
		}
	}
	if rejected > 1 {
		t.Errorf("%d requests were rejected by a replaced server", rejected)
	}
	f.ListServer(&gateway.Server{Instance: "i-1", Addr: replaced.Addr}, "ready")
	time.Sleep(100 * time.Millisecond)
	for range 20 {
		if got := f.Post("/quick/x", "again"); got.Status != 200 {
			t.Fatalf("status %d after the old row was written again", got.Status)
		}
	}
	f.ListServer(replaced, "ready")
	f.WaitFor("the new instance to be used", func() bool { f.Post("/safe/x", "new"); return f.Reached("new", "i-3") })
}

// Rows that disappeared while the store was unavailable are trusted for two seconds after it
// recovers. The gateway detects the recovery by the response to a long poll, which the store may
// hold for more than these two seconds, until the next change. If that change is the removal of
// a server, the server must receive no more requests.
func TestServerRemovedAfterStoreRecovery(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	leaves := f.StartServer("i-1", gateway.Respond("whole"))
	f.StartServer("i-2", gateway.Respond("whole"))
	f.WaitFor("both servers to be used", func() bool { f.Post("/safe/x", "warm"); return f.ReachedTwoServers("warm") })
	f.Store.SetFault(rowstore.Unavailable)
	time.Sleep(300 * time.Millisecond)
	f.Store.SetFault(rowstore.NoFault)
	time.Sleep(2800 * time.Millisecond)
	f.Store.Delete("servers", leaves.Instance)
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		f.Post("/safe/x", "after")
	}
	if f.Reached("after", leaves.Instance) {
		t.Error("a server that left after the store had recovered received a request")
	}
}
