// Package drain_test checks how soon gateways know what the store acknowledged: servers that drain, and new
// desired states.
package drain_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/ports"
	"github.com/applepier/applepier/testbed/rowstore"
)

// drainBound is the time after which a draining server must get no more requests.
const drainBound = 2 * time.Second

// startWithTwoServers starts n gateways as gateway.StartGroup does, with the servers i-1 and i-2, and waits
// until each gateway uses both. It returns the server i-1.
func startWithTwoServers(t *testing.T, n int) ([]*gateway.Fixture, *gateway.Server) {
	t.Helper()
	fixtures := gateway.StartGroup(t, n, 0)
	return fixtures, useTwoServers(t, fixtures)
}

// useTwoServers starts the servers i-1 and i-2, and waits until each gateway uses both. It returns the
// server i-1.
func useTwoServers(t *testing.T, fixtures []*gateway.Fixture) *gateway.Server {
	t.Helper()
	first := fixtures[0]
	draining := first.StartServer("i-1", gateway.Respond("whole"))
	first.StartServer("i-2", gateway.Respond("whole"))
	for i, f := range fixtures {
		f.WaitFor("both servers to be used", func() bool {
			f.Post("/safe/x", fmt.Sprintf("warm-%d", i))
			return first.ReachedTwoServers(fmt.Sprintf("warm-%d", i))
		})
	}
	// The pollers call the store again some time after a change.
	time.Sleep(time.Second)
	return draining
}

// expectNoRequests sends requests through each gateway and fails the test for each gateway that sends
// one to the server i-1. All fixtures' servers were started through first.
func expectNoRequests(t *testing.T, first *gateway.Fixture, fixtures []*gateway.Fixture) {
	t.Helper()
	for i, f := range fixtures {
		id := fmt.Sprintf("after-%d", i)
		for range 20 {
			f.Post("/safe/x", id)
		}
		if first.Reached(id, "i-1") {
			t.Errorf("gateway %d sends to a draining server", i)
		}
	}
}

// Guards against a list of backend servers that is older than the bound on draining: calls that the
// store has accepted may never be answered, while new calls are.
func TestDrainIsKnownWhenPendingCallsAreNeverAnswered(t *testing.T) {
	for name, tables := range map[string][]string{
		"server list":                   {"servers"},
		"server list and desired state": {"servers", "op"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixtures, draining := startWithTwoServers(t, 5)
			first := fixtures[0]
			for _, table := range tables {
				first.Store.SilencePendingFeeds(table)
			}
			first.ListServer(draining, "draining")
			time.Sleep(drainBound)
			expectNoRequests(t, first, fixtures)
		})
	}
}

// Guards against a poller that is believed to follow the server list though it stopped doing so: the
// pollers are killed one after the other, each just before a server drains.
func TestDrainIsKnownWhenPollersStopInSeries(t *testing.T) {
	fixtures, _ := startWithTwoServers(t, 6)
	first := fixtures[0]
	for i := range gateway.StorePollers {
		next := first.StartServer(fmt.Sprintf("next-%d", i), gateway.Respond("whole"))
		time.Sleep(time.Second)
		first.Store.SilencePendingFeeds("servers")
		first.ListServer(next, "draining")
		fixtures[i].Stop()
		time.Sleep(drainBound)
		for k, f := range fixtures[i+1:] {
			id := fmt.Sprintf("round-%d-%d", i, k)
			for range 20 {
				f.Post("/safe/x", id)
			}
			if first.Reached(id, next.Instance) {
				t.Errorf("round %d: gateway %d sends to a draining server", i, i+1+k)
			}
		}
	}
}

// Guards against a gateway whose list is never updated: it started while the store rejected it, got the
// list from another gateway, and receives changes from there only.
func TestStartingGatewayLearnsOfDrainsFromPeers(t *testing.T) {
	fixtures, draining := startWithTwoServers(t, 2)
	first := fixtures[0]
	// The others send it datagrams from the time at which it is listed.
	addr := ports.ReserveForTest(t)
	first.Store.Put("gateways", "late", []byte(addr))
	late := gateway.NewFixture(t, gateway.Options{Name: "late", PeerListen: addr, Store: first.Store, WithoutState: true, StoreBlocked: true})
	late.WaitFor("the new gateway to use both servers", func() bool {
		late.Post("/safe/x", "warm-late")
		return first.ReachedTwoServers("warm-late")
	})
	first.ListServer(draining, "draining")
	time.Sleep(drainBound)
	expectNoRequests(t, first, []*gateway.Fixture{late})
}

// Guards against gateways that learn of a drain too late because the store dropped its history: feeds say
// nothing for a second in which the server begins to drain, and are then cut off.
func TestDrainIsKnownAfterLossOfHistory(t *testing.T) {
	fixtures, draining := startWithTwoServers(t, 5)
	first := fixtures[0]
	first.Store.SetFault(rowstore.StaleFeeds)
	first.ListServer(draining, "draining")
	changed := time.Now()
	time.Sleep(time.Second)
	first.Store.SetFault(rowstore.NoFault)
	first.Store.TruncateHistory()
	time.Sleep(time.Until(changed.Add(drainBound)))
	expectNoRequests(t, first, fixtures)
}

// Guards against gateways that depend on one poller: while calls of some or all pollers get no response,
// from just before the change, each gateway must learn of a drain from those that get one.
func TestDrainIsKnownWhilePollersGetNoResponse(t *testing.T) {
	for blocked := 1; blocked <= gateway.StorePollers; blocked++ {
		t.Run(fmt.Sprint(blocked, " of ", gateway.StorePollers), func(t *testing.T) {
			t.Parallel()
			fixtures, draining := startWithTwoServers(t, 5)
			first := fixtures[0]
			for _, f := range fixtures[:blocked] {
				f.BlockStoreResponses(true)
			}
			first.ListServer(draining, "draining")
			time.Sleep(drainBound)
			expectNoRequests(t, first, fixtures)
		})
	}
}

// Flags of TestDrainIsKnownUnderRandomFaults, to play other seeds and more rounds by hand.
var (
	randomFaultsSeed   = flag.Uint64("drain-seed", 1, "seed of the faults beside drains")
	randomFaultsRounds = flag.Int("drain-rounds", 2, "number of drains")
)

// Guards against ways to an old server list that no other test plays: just before servers drain, pending
// calls fall silent, the history is lost, and all but one of the gateways get no responses from the store, in
// random combinations.
func TestDrainIsKnownUnderRandomFaults(t *testing.T) {
	const gateways = 5
	fixtures := gateway.StartGroup(t, gateways, 0)
	first := fixtures[0]
	first.StartServer("stays", gateway.Respond("whole"))
	random := rand.New(rand.NewPCG(*randomFaultsSeed, 1))
	for round := range *randomFaultsRounds {
		draining := first.StartServer(fmt.Sprint("next-", round), gateway.Respond("whole"))
		for i, f := range fixtures {
			id := fmt.Sprintf("warm-%d-%d", round, i)
			f.WaitFor("the new server to be used", func() bool { f.Post("/safe/x", id); return first.Reached(id, draining.Instance) })
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		var faults []string
		for _, table := range []string{"servers", "op", "gateways"} {
			if random.IntN(2) == 0 {
				first.Store.SilencePendingFeeds(table)
				faults = append(faults, table+" silent")
			}
		}
		if random.IntN(3) == 0 {
			first.Store.TruncateHistory()
			faults = append(faults, "history lost")
		}
		responding := random.IntN(gateways)
		for i, f := range fixtures {
			if i != responding && random.IntN(2) == 0 {
				f.BlockStoreResponses(true)
				faults = append(faults, fmt.Sprint("gateway ", i, " gets no responses"))
			}
		}
		first.ListServer(draining, "draining")
		time.Sleep(drainBound)
		for i, f := range fixtures {
			id := fmt.Sprintf("after-%d-%d", round, i)
			for range 20 {
				f.Post("/safe/x", id)
			}
			if first.Reached(id, draining.Instance) {
				t.Errorf("round %d, %v: gateway %d sends to a draining server", round, faults, i)
			}
			f.BlockStoreResponses(false)
		}
		// The gateways poll the store again, or hear from those that do.
		time.Sleep(drainBound)
	}
}

// Guards against a gateway that leaves the full read to pollers that get no responses: the only gateway that
// the store responds to isn't a poller, and the history is lost just before a server drains.
func TestDrainIsKnownWhenNoPollerGetsResponsesAfterLossOfHistory(t *testing.T) {
	fixtures, draining := startWithTwoServers(t, 5)
	first := fixtures[0]
	first.Store.SilencePendingFeeds("servers")
	first.Store.SilencePendingFeeds("gateways")
	first.Store.TruncateHistory()
	for _, f := range fixtures[:4] {
		f.BlockStoreResponses(true)
	}
	first.ListServer(draining, "draining")
	time.Sleep(drainBound)
	expectNoRequests(t, first, fixtures)
}
