package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

// Failed connection attempts don't count against a route's attempts.
func TestUnreachableServersCostNoAttempt(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole")).Stop()
	f.Serve("i-2", gateway.Answer("whole")).Stop()
	f.Serve("i-3", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/unsafe/x", "warm").Status == 200 })
	for _, id := range []string{"1", "2", "3", "4"} {
		if got := f.Call("/unsafe/x", id); got.Status != 200 {
			t.Errorf("status %d while one server is healthy", got.Status)
		}
	}
}

// A draining server receives no new requests.
func TestLeavingServersGetNothing(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	leaving := f.Serve("i-1", gateway.Answer("whole"))
	f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both servers to be used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	f.List(leaving, "draining")
	// A quarter of the two seconds within which operators require the change to take effect.
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		f.Call("/safe/x", "after")
	}
	if usedServer(f, "after", "i-1") {
		t.Error("a draining server received a request")
	}
}

// While the store is unavailable, the row of a live server expires and is written again, and
// that of a server that has left is written and then removed. Afterwards the change feed
// reports each change in order, and the last one counts.
func TestLastChangeOfAnEntryCounts(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	stays, leaves := f.Serve("i-1", gateway.Answer("whole")), f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both servers to be used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	f.Store.SetFault(rowstore.Busy)
	time.Sleep(1600 * time.Millisecond)
	f.Store.Remove("servers", stays.Instance)
	f.List(stays, "ready")
	f.List(leaves, "draining")
	f.Store.Remove("servers", leaves.Instance)
	f.Store.SetFault(rowstore.Well)
	time.Sleep(3500 * time.Millisecond)
	for range 10 {
		if got := f.Call("/safe/x", "after"); got.Status != 200 {
			t.Fatalf("status %d while a server is listed", got.Status)
		}
	}
	if usedServer(f, "after", leaves.Instance) {
		t.Error("a removed server received a request")
	}
}

// A request for an instance whose address another instance now uses isn't executed there.
func TestReusedAddressIsNoticed(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	s := f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/unsafe/x", "warm").Status == 200 })
	s.Become("i-2")
	got := f.Call("/unsafe/x", "1")
	if got.Status != 503 || got.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 as another instance uses the address", got.Status)
	}
}

// Guards against a replaced server that attracts requests because it seems idle, and rejects
// them all: its row stays in the list for seconds after another instance has taken its
// address.
func TestReplacedServerIsLeftAlone(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	replaced := f.Serve("i-1", gateway.Answer("whole"))
	f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both servers to be used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	replaced.Become("i-3")
	refused := 0
	for range 30 {
		if f.Call("/quick/x", "after").Status != 200 {
			refused++
		}
	}
	if refused > 1 {
		t.Errorf("%d requests were rejected by a replaced server", refused)
	}
	f.List(&gateway.Server{Instance: "i-1", Addr: replaced.Addr}, "ready")
	time.Sleep(100 * time.Millisecond)
	for range 20 {
		if got := f.Call("/quick/x", "again"); got.Status != 200 {
			t.Fatalf("status %d after the old row was written again", got.Status)
		}
	}
	f.List(replaced, "ready")
	f.Wait("the new instance to be used", func() bool { f.Call("/safe/x", "new"); return usedServer(f, "new", "i-3") })
}

// Rows that disappeared while the store was unavailable are trusted for two seconds after it
// recovers. The store may hold the call that shows the recovery for longer, until there is a
// change. A server that leaves after the recovery must receive no more requests.
func TestServerThatLeavesAfterTheStoreIsBack(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	leaves := f.Serve("i-1", gateway.Answer("whole"))
	f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both servers to be used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	f.Store.SetFault(rowstore.Busy)
	time.Sleep(300 * time.Millisecond)
	f.Store.SetFault(rowstore.Well)
	time.Sleep(2800 * time.Millisecond)
	f.Store.Remove("servers", leaves.Instance)
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		f.Call("/safe/x", "after")
	}
	if usedServer(f, "after", leaves.Instance) {
		t.Error("a server that left after the store had recovered received a request")
	}
}
