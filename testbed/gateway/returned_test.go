package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

// awayFor is for how long the store is away before it comes back.
const awayFor = 300 * time.Millisecond

// comeBack has the store come back from an older copy after a moment away.
func comeBack(f *gateway.Fleet, older rowstore.Copy) {
	f.Store.SetFault(rowstore.Busy)
	f.Store.Return(older)
	time.Sleep(awayFor)
	f.Store.SetFault(rowstore.Well)
}

// A key that was taken away before the return stays taken away, though the store holds
// the state of before; the operators' newer state is in force once they write it again.
func TestRevokedKeyStaysRevokedAfterAReturn(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{Revoke: 5 * time.Second})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Desire(2, "", `,"key-2"`)
	withKey := func(id string) int {
		req := f.Request(t.Context(), "POST", "/safe/x", id, nil)
		req.Header.Set("Authorization", "Bearer key-2")
		return f.Do(req).Status
	}
	f.Wait("the second key is valid", func() bool { return withKey("valid") == 200 })
	older := f.Store.Copy()
	f.Desire(3, "", "")
	f.Wait("it is taken away", func() bool { return withKey("gone") == 401 })
	comeBack(f, older)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status := withKey("back"); status == 200 {
			t.Fatalf("status %d for a key that was taken away", status)
		}
	}
	f.Desire(3, "", "")
	f.Wait("the first key is served", func() bool { return f.Call("/safe/x", "again").Status == 200 })
}

// After a return those that ask the store read the list for all: at hundreds of gateways
// the store would have to answer as many reads at once. Each may have to try twice.
func TestFewReadTheListAfterAReturn(t *testing.T) {
	const gateways, tries = 10, 2
	fleets := startAlike(t, gateways, 0)
	first := fleets[0]
	first.Serve("i-1", gateway.Answer("whole"))
	older := first.Store.Copy()
	first.Serve("i-2", gateway.Answer("whole"))
	time.Sleep(time.Second)
	before := first.Store.Reads("servers")
	comeBack(first, older)
	first.Serve("i-3", gateway.Answer("whole"))
	began := time.Now()
	for i, f := range fleets {
		id := fmt.Sprintf("new-%d", i)
		f.Wait(fmt.Sprintf("gateway %d uses the new server", i), func() bool {
			f.Call("/safe/x", id)
			return usedServer(first, id, "i-3")
		})
	}
	took := time.Since(began)
	time.Sleep(2 * time.Second)
	reads := first.Store.Reads("servers") - before
	if reads > tries*storeAskers {
		t.Errorf("%d gateways read the list after the return, %d ask the store", reads, storeAskers)
	}
	t.Logf("%d reads of %d gateways, all act on the new list after %v", reads, gateways, took)
}
