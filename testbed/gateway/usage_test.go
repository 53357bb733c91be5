package gateway_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/cloud"
	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/ports"
	"github.com/applepier/applepier/testbed/rowstore"
)

const (
	// usageWindow is the period that one usage report covers, usageDelay the time after its end
	// within which the report is due, and usageLease the duration of the reporter's lease.
	usageWindow = time.Second
	usageDelay  = 4 * time.Second
	usageLease  = time.Second
)

// usageFixture is a set of gateways that share a store and report usage to one platform.
type usageFixture struct {
	t        *testing.T
	cloud    *cloud.Cloud
	store    *rowstore.Store
	fixtures []*gateway.Fixture
	// calls is the number of requests sent; it is part of their IDs.
	calls int
}

// startUsageFixture starts n gateways that know each other, and a server.
func startUsageFixture(t *testing.T, n int) *usageFixture {
	t.Helper()
	u := &usageFixture{t: t, cloud: cloud.New(usageLease)}
	listed := map[string]string{}
	for i := range n {
		listed[fmt.Sprintf("gateway-%d", i)] = ports.ReserveForTest(t)
	}
	for i := range n {
		name := fmt.Sprintf("gateway-%d", i)
		platformServer := httptest.NewServer(u.cloud.HandlerFor(name))
		t.Cleanup(platformServer.Close)
		o := gateway.Options{Name: name, PeerListen: listed[name], ListedGateways: listed, Store: u.store, Revoke: 5 * time.Second, Usage: settings.UsageReporting{
			Addr: strings.TrimPrefix(platformServer.URL, "http://"), Duties: "autoscale,metering", Window: usageWindow, Delay: usageDelay, Lease: usageLease,
		}}
		u.fixtures = append(u.fixtures, gateway.NewFixture(t, o))
		u.store = u.fixtures[0].Store
	}
	u.fixtures[0].StartServer("i-1", gateway.Respond("whole"))
	u.fixtures[0].WaitFor("usage to be reported", func() bool { return len(u.cloud.Reports()) > 0 })
	return u
}

// load sends the customer's requests to all of the given gateways for the duration d and returns
// how many succeeded.
func (u *usageFixture) load(d time.Duration, fixtures []*gateway.Fixture) int64 {
	var served int64
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, f := range fixtures {
			u.calls++
			if got := f.Post("/safe/x", fmt.Sprintf("call-%d", u.calls)); got.Status == 200 {
				served++
			}
		}
	}
	return served
}

// reported returns the sum of the requests reported for the customer.
func (u *usageFixture) reported() int64 {
	var n int64
	for _, report := range u.cloud.Reports() {
		n += report.Counts["crew"]
	}
	return n
}

// expectReported waits until the reported requests match those served, within a relative tolerance,
// and checks that the reports broke no rule of the platform.
func (u *usageFixture) expectReported(served int64, tolerance float64) {
	u.t.Helper()
	least, most := float64(served)*(1-tolerance), float64(served)*(1+tolerance)
	for end := time.Now().Add(2 * usageDelay); time.Now().Before(end) && float64(u.reported()) < least; {
		time.Sleep(50 * time.Millisecond)
	}
	if got := float64(u.reported()); got < least || got > most {
		u.t.Errorf("%v requests reported, %d served", got, served)
	}
	for _, violation := range u.cloud.Violations() {
		u.t.Error(violation)
	}
}

// Each window is reported once, by one gateway, with the requests of all gateways.
func TestUsageIsReported(t *testing.T) {
	t.Parallel()
	u := startUsageFixture(t, 3)
	u.expectReported(u.load(3*time.Second, u.fixtures), 0)
}

// The store loses the last seconds and the reporting gateway stops: no window is reported
// twice, and reporting continues.
func TestUsageAfterStopAndStoreRestore(t *testing.T) {
	t.Parallel()
	u := startUsageFixture(t, 3)
	served := u.load(2*time.Second, u.fixtures)
	u.expectReported(served, 0)
	snapshot := u.store.Snapshot()
	served += u.load(1500*time.Millisecond, u.fixtures)
	u.store.SetFault(rowstore.Unavailable)
	u.store.Restore(snapshot)
	time.Sleep(outage)
	u.store.SetFault(rowstore.NoFault)
	before := len(u.cloud.Reports())
	u.fixtures[0].WaitFor("windows to be reported after the restore", func() bool { return len(u.cloud.Reports()) > before+2 })
	u.fixtures[0].Stop()
	<-u.fixtures[0].Stopped
	before = len(u.cloud.Reports())
	u.fixtures[1].WaitFor("windows to be reported by the two other gateways", func() bool { return len(u.cloud.Reports()) > before+2 })
	for _, violation := range u.cloud.Violations() {
		t.Error(violation)
	}
}

// While calls to the platform are executed late, lost or rejected, each request is still reported
// exactly once.
func TestUsageDuringPlatformFaults(t *testing.T) {
	t.Parallel()
	u := startUsageFixture(t, 2)
	var served int64
	for _, fault := range []cloud.Fault{cloud.Delayed, cloud.ResponseLost, cloud.Throttled, cloud.RequestLost, cloud.Delayed} {
		u.cloud.SetFault(fault)
		served += u.load(1200*time.Millisecond, u.fixtures)
		u.cloud.SetFault(cloud.NoFault)
		u.cloud.RunDelayed()
	}
	u.expectReported(served, 0)
}

// A gateway without the metering duty neither calls the platform nor writes rows for duties.
func TestNoReportsWithoutMeteringDuty(t *testing.T) {
	t.Parallel()
	c := cloud.New(0)
	platformServer := httptest.NewServer(c.HandlerFor("gateway-1"))
	t.Cleanup(platformServer.Close)
	f := gateway.NewFixture(t, gateway.Options{Usage: settings.UsageReporting{Addr: strings.TrimPrefix(platformServer.URL, "http://"), Duties: "autoscale"}})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "a").Status == 200 })
	time.Sleep(2 * usageWindow)
	if c.CallCount() != 0 || len(f.Store.Keys("duties")) != 0 {
		t.Errorf("%d calls to the platform and duty rows %v, want none", c.CallCount(), f.Store.Keys("duties"))
	}
}
