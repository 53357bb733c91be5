package gateway_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against calls by all gateways where any table of the store changes: the responses for the desired
// state then don't confirm the list of servers, and the pollers must confirm it early enough that it isn't
// overdue at the others, or hundreds of them would call the store at once.
func TestChangesOfOtherTablesCauseNoCallsByOthers(t *testing.T) {
	t.Parallel()
	const gateways, changes, interval = 12, 40, 300 * time.Millisecond
	fixtures := gateway.StartGroup(t, gateways, 0)
	first := fixtures[0]
	// The list and the store's position have advanced since the gateways started.
	first.StartServer("i-1", gateway.Respond("whole"))
	time.Sleep(time.Second)
	before := make([]int, gateways)
	for i, f := range fixtures {
		before[i] = f.StoreReads("servers")
	}
	for range changes {
		first.Store.Put("other", "row", []byte("x"))
		time.Sleep(interval)
	}
	for i, f := range fixtures {
		calls := f.StoreReads("servers") - before[i]
		t.Logf("gateway %d: %d reads of the list in %v", i, calls, changes*interval)
		if i >= gateway.StorePollers && calls > 0 {
			t.Errorf("gateway %d isn't a poller and read the list %d times while other tables changed", i, calls)
		}
	}
}
