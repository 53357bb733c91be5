package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against every gateway polling the store: each change of the server list costs one
// call per poller, so with hundreds of gateways a restart of the servers would cost thousands
// of calls.
func TestFewGatewaysPollTheStore(t *testing.T) {
	const gateways, changes = 8, 12
	fixtures := gateway.StartGroup(t, gateways, 0)
	first := fixtures[0]
	before := first.Store.RequestCount()
	var last string
	for i := range changes {
		last = fmt.Sprintf("i-%d", i)
		first.StartServer(last, gateway.Respond("whole"))
		time.Sleep(400 * time.Millisecond)
	}
	calls := first.Store.RequestCount() - before
	// The pollers call again after each change. Five seconds of confirmations and of the other
	// gateways' calls for other tables add less than four calls per gateway.
	if maxCalls := gateway.StorePollers*changes + 4*gateways; calls > maxCalls {
		t.Errorf("%d calls for %d changes by %d gateways, at most %d expected", calls, changes, gateways, maxCalls)
	}
	for i, f := range fixtures {
		f.WaitFor(fmt.Sprintf("gateway %d to use the last server", i), func() bool {
			id := fmt.Sprintf("last-%d", i)
			f.Post("/safe/x", id)
			return first.Reached(id, last)
		})
	}
}

// Guards against a missed change when all polling gateways stop at once, just before a server
// starts to drain.
func TestOthersPollWhenThePollersAreLost(t *testing.T) {
	fixtures := gateway.StartGroup(t, 6, 0)
	first := fixtures[0]
	draining := first.StartServer("i-1", gateway.Respond("whole"))
	first.StartServer("i-2", gateway.Respond("whole"))
	remaining := fixtures[gateway.StorePollers:]
	for i, f := range remaining {
		f.WaitFor("both servers to be used", func() bool {
			f.Post("/safe/x", fmt.Sprintf("warm-%d", i))
			return first.ReachedTwoServers(fmt.Sprintf("warm-%d", i))
		})
	}
	for _, f := range fixtures[:gateway.StorePollers] {
		f.Stop()
	}
	for _, f := range fixtures[:gateway.StorePollers] {
		<-f.Stopped
	}
	first.ListServer(draining, "draining")
	// A draining server must receive no new requests after two seconds.
	time.Sleep(2 * time.Second)
	for i, f := range remaining {
		id := fmt.Sprintf("after-%d", i)
		for range 20 {
			f.Post("/safe/x", id)
		}
		if first.Reached(id, "i-1") {
			t.Errorf("gateway %d sends to a draining server", i)
		}
	}
}

// A gateway that receives messages from less than half of the others may be in a partition that
// is cut off from the store too. Only its own calls to the store show that, so it polls; if the
// calls fail, it reports that it isn't ready, so that callers use other gateways.
func TestPartitionedGatewaysPollTheStore(t *testing.T) {
	const gateways, changes = 8, 8
	fixtures := gateway.StartGroup(t, gateways, gateways+1)
	before := fixtures[0].Store.RequestCount()
	for i := range changes {
		fixtures[0].StartServer(fmt.Sprintf("i-%d", i), gateway.Respond("whole"))
		time.Sleep(400 * time.Millisecond)
	}
	if calls := fixtures[0].Store.RequestCount() - before; calls < gateways*changes {
		t.Errorf("%d calls for %d changes by %d gateways, want at least one call per change and gateway, as each receives messages from less than half", calls, changes, gateways)
	}
}

// Guards against a new gateway causing calls by all others: if they called the store whenever it
// sends them what it has read, a rolling restart of the gateways would multiply the calls.
func TestNewGatewayCausesNoCallsByOthers(t *testing.T) {
	const gateways, startCalls, watchSeconds = 12, 8, 2
	fixtures := gateway.StartGroup(t, gateways, 0)
	first := fixtures[0]
	// The server list and the store's position have advanced since the others started.
	first.StartServer("i-1", gateway.Respond("whole"))
	time.Sleep(time.Second)
	// The new gateway sorts last by its name, so it isn't a poller.
	first.Store.Put("other", "row", []byte("x"))
	before, reads := first.Store.RequestCount(), map[string]int{}
	tables := []string{"op", "servers", "gateways", "quarantine"}
	for _, table := range tables {
		reads[table] = first.Store.ReadCount(table)
	}
	othersReads := make([]map[string]int, gateways-gateway.StorePollers)
	for i, f := range fixtures[gateway.StorePollers:] {
		othersReads[i] = map[string]int{}
		for _, table := range tables {
			othersReads[i][table] = f.StoreReads(table)
		}
	}
	gateway.NewFixture(t, gateway.Options{Name: "late-7", Revoke: 5 * time.Second, Store: first.Store})
	// The pollers read the gateway list again two seconds after the new row; that call may or
	// may not fall into the measured time.
	time.Sleep(watchSeconds*time.Second - 200*time.Millisecond)
	// The pollers confirm their state about once a second, and the list too since another table has
	// changed; they are notified of the new row.
	if calls, maxCalls := first.Store.RequestCount()-before, startCalls+2*gateway.StorePollers*(watchSeconds+1); calls > maxCalls {
		t.Errorf("%d calls for the start of one gateway beside %d, at most %d expected", calls, gateways, maxCalls)
		for _, table := range tables {
			t.Logf("%d reads of %s", first.Store.ReadCount(table)-reads[table], table)
		}
	}
	for i, f := range fixtures[gateway.StorePollers:] {
		for _, table := range tables {
			if calls := f.StoreReads(table) - othersReads[i][table]; calls > 0 {
				t.Errorf("%d reads of %s by a gateway that isn't a poller", calls, table)
			}
		}
	}
}

// Guards against a stale state when the store stops responding to the pollers only: another
// gateway must apply a new desired state within the required two seconds after its
// acknowledgement.
func TestOthersPollWhenTheStoreStopsRespondingToPollers(t *testing.T) {
	t.Parallel()
	const within = 2 * time.Second
	fixtures := gateway.StartGroup(t, gateway.StorePollers+1, 0)
	last := fixtures[gateway.StorePollers]
	last.StartServer("i-1", gateway.Respond("whole"))
	last.WaitFor("the last gateway to serve", func() bool { return last.Post("/safe/x", "warm").Status == 200 })
	// The last gateway stops polling once it has received the list from others.
	time.Sleep(time.Second)
	for _, f := range fixtures[:gateway.StorePollers] {
		f.BlockStoreResponses(true)
	}
	last.PutState(2, `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`, "")
	acknowledged := time.Now()
	last.WaitFor("the new route to take effect", func() bool { return last.Post("/new/x", "new").Status == 200 })
	if took := time.Since(acknowledged); took > within {
		t.Errorf("the new route took effect after %v, want at most %v", took, within)
	}
}
