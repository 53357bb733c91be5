package drain_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

const (
	// groupSize is the number of gateways; StorePollers of them poll the store for all.
	groupSize = 5
	// watchTime is how long requests are sent after a drain or, if gateways were suspended, after the end
	// of that.
	watchTime = drainBound + 1500*time.Millisecond
	// lateReadDelay is how late reads are answered, lateChange how long after the loss of the history the
	// server drains: after the reads began, before their responses.
	lateReadDelay = 1200 * time.Millisecond
	lateChange    = 600 * time.Millisecond
	// silentTime is how long feeds may say nothing, suspension how long gateways are suspended: longer
	// than the bound on draining.
	silentTime = time.Second
	suspension = 3 * time.Second
)

// listAgeCase is one trial: gateways that share a store, a server that drains, and faults beside it.
type listAgeCase struct {
	*testing.T
	fixtures []*gateway.Fixture
	// children are the gateways' processes; nil if they run in this one.
	children []*gateway.Child
	store    *rowstore.Store
	drain    func()
}

// pollers returns the processes of the gateways that poll the store.
func (c *listAgeCase) pollers() []*gateway.Child { return c.children[:gateway.StorePollers] }

// must fails the test if err is set.
func (c *listAgeCase) must(err error) {
	c.Helper()
	if err != nil {
		c.Fatal(err)
	}
}

// listAgeFault is a fault beside a drain.
type listAgeFault struct {
	name string
	// inChildren is whether the gateways run in child processes.
	inChildren bool
	// play injects the fault and lets the server drain.
	play func(c *listAgeCase)
	// ended names the gateways, by index, that don't run any more, and suspended those that were suspended
	// for the time suspension from the drain on.
	ended, suspended func(gateway int) bool
}

// isPoller reports whether a gateway, by its index, polls the store.
func isPoller(i int) bool { return i < gateway.StorePollers }

// none holds for no gateway.
func none(int) bool { return false }

// silence returns a fault: the pending calls for tables are never answered.
func silence(tables ...string) func(*listAgeCase) {
	return func(c *listAgeCase) {
		for _, table := range tables {
			c.store.SilencePendingFeeds(table)
		}
		c.drain()
	}
}

// cutOff returns a fault: gateways with an index from first to before end get no responses.
func cutOff(first, end int) func(*listAgeCase) {
	return func(c *listAgeCase) {
		for _, f := range c.fixtures[first:end] {
			f.BlockStoreResponses(true)
		}
		c.drain()
	}
}

var listAgeFaults = []listAgeFault{
	{name: "no fault", play: func(c *listAgeCase) { c.drain() }},
	{name: "silent calls for the list", play: silence("servers")},
	{name: "silent calls for the list and the desired state", play: silence("servers", "op")},
	{name: "silent calls for all tables", play: silence("servers", "op", "gateways")},
	{name: "history dropped", play: func(c *listAgeCase) { c.store.TruncateHistory(); c.drain() }},
	{name: "history dropped after a silent second", play: func(c *listAgeCase) {
		c.store.SetFault(rowstore.StaleFeeds)
		c.drain()
		time.Sleep(silentTime)
		c.store.SetFault(rowstore.NoFault)
		c.store.TruncateHistory()
	}},
	{name: "history dropped, pages late", play: func(c *listAgeCase) {
		c.store.DelayReads("servers", lateReadDelay)
		c.store.TruncateHistory()
		time.Sleep(lateChange)
		c.drain()
	}},
	{name: "pollers cut off", play: cutOff(0, gateway.StorePollers)},
	{name: "all but the last cut off", play: cutOff(0, groupSize-1)},
	{name: "pollers killed", inChildren: true, ended: isPoller, play: func(c *listAgeCase) {
		for _, child := range c.pollers() {
			c.must(child.Kill())
		}
		c.drain()
	}},
	{name: "pollers frozen", inChildren: true, suspended: isPoller, play: func(c *listAgeCase) {
		for _, child := range c.pollers() {
			c.must(child.Signal(syscall.SIGSTOP))
		}
		c.drain()
		time.Sleep(suspension)
		for _, child := range c.pollers() {
			c.must(child.Signal(syscall.SIGCONT))
		}
	}},
}

// Guards against a gateway whose list is older than the bound on draining, whatever the fault beside the
// drain: requests go through each gateway all the time, and the last one that reaches the draining server
// shows the age. For a gateway that was suspended the time counts from the end of that.
func TestAgeOfListByFault(t *testing.T) {
	for _, fault := range listAgeFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			c := &listAgeCase{T: t}
			if fault.inChildren {
				c.fixtures, c.children = gateway.StartChildGroup(t, groupSize)
				t.Cleanup(func() {
					for _, child := range c.children {
						// Those that were killed are gone; the others must not stay suspended.
						_ = child.Signal(syscall.SIGCONT)
					}
				})
			} else {
				c.fixtures = gateway.StartGroup(t, groupSize, 0)
			}
			first := c.fixtures[0]
			c.store = first.Store
			draining := useTwoServers(t, c.fixtures)
			if fault.ended == nil {
				fault.ended = none
			}
			if fault.suspended == nil {
				fault.suspended = none
			}
			ctx, cancel := context.WithCancel(t.Context())
			var sending sync.WaitGroup
			for i, f := range c.fixtures {
				sending.Go(func() { f.SendUntil(ctx, fmt.Sprintf("age-%d", i)) })
			}
			var drainedAt time.Time
			c.drain = func() { first.ListServer(draining, "draining"); drainedAt = time.Now() }
			fault.play(c)
			time.Sleep(watchTime)
			cancel()
			sending.Wait()
			for i := range c.fixtures {
				checkListAge(t, first, i, fault, drainedAt)
			}
		})
	}
}

// checkListAge logs when the last request of a gateway, by its index, reached the server i-1, and fails the
// test if that was later than the bound.
func checkListAge(t *testing.T, first *gateway.Fixture, i int, fault listAgeFault, drainedAt time.Time) {
	t.Helper()
	since := drainedAt
	if fault.suspended(i) {
		since = drainedAt.Add(suspension)
	}
	age, sent, late := time.Duration(0), 0, 0
	for _, r := range first.ReceivedRequests(fmt.Sprintf("age-%d", i)) {
		sent++
		if r.Server != "i-1" {
			continue
		}
		age = max(age, r.At.Sub(since))
		if r.At.Sub(since) > drainBound {
			late++
		}
	}
	t.Logf("gateway %d: %v, %d requests in all, %d late", i, age.Round(time.Millisecond), sent, late)
	if late > 0 {
		t.Errorf("gateway %d sent %d requests to a draining server later than %v, the last one %v after the drain", i, late, drainBound, age)
	}
	if sent == 0 && !fault.ended(i) {
		t.Errorf("gateway %d sent nothing, so nothing was tested", i)
	}
}
