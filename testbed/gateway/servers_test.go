package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

func TestUnreachableServersCostNoAttempt(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole")).Stop()
	f.Serve("i-2", gateway.Answer("whole")).Stop()
	f.Serve("i-3", gateway.Answer("whole"))
	f.Wait("it is served", func() bool { return f.Call("/unsafe/x", "warm").Status == 200 })
	for _, id := range []string{"1", "2", "3", "4"} {
		if got := f.Call("/unsafe/x", id); got.Status != 200 {
			t.Errorf("status %d while one server is well", got.Status)
		}
	}
}

func TestLeavingServersGetNothing(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	leaving := f.Serve("i-1", gateway.Answer("whole"))
	f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both are used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	f.List(leaving, "draining")
	time.Sleep(100 * time.Millisecond)
	for range 20 {
		f.Call("/safe/x", "after")
	}
	for _, a := range f.Arrivals("after") {
		if a.Server == "i-1" {
			t.Fatal("a server that is leaving got a request")
		}
	}
}

func TestLastChangeOfAnEntryCounts(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	stays, leaves := f.Serve("i-1", gateway.Answer("whole")), f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both are used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
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
	for _, a := range f.Arrivals("after") {
		if a.Server == leaves.Instance {
			t.Error("a server that has left got a request")
		}
	}
}

func TestReusedAddressIsNoticed(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	s := f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("it is served", func() bool { return f.Call("/unsafe/x", "warm").Status == 200 })
	s.Instance = "i-2"
	got := f.Call("/unsafe/x", "1")
	if got.Status != 503 || got.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, a server at the address that is another one doesn't run it", got.Status)
	}
}
