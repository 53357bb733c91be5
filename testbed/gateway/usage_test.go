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
	calls    int
}

// startUsageFixture starts n gateways that know each other, and a server.
func startUsageFixture(t *testing.T, n int) *usageFixture {
	t.Helper()
	r := &usageFixture{t: t, cloud: cloud.New(usageLease)}
	listed := map[string]string{}
	for i := range n {
		listed[fmt.Sprintf("gateway-%d", i)] = ports.ReserveForTest(t)
	}
	for i := range n {
		name := fmt.Sprintf("gateway-%d", i)
		web := httptest.NewServer(r.cloud.HandlerFor(name))
		t.Cleanup(web.Close)
		o := gateway.Options{Name: name, PeerListen: listed[name], ListedGateways: listed, Store: r.store, Revoke: 5 * time.Second, Usage: settings.UsageReporting{
			Addr: strings.TrimPrefix(web.URL, "http://"), Duties: "autoscale,metering", Window: usageWindow, Delay: usageDelay, Lease: usageLease,
		}}
		r.fixtures = append(r.fixtures, gateway.NewFixture(t, o))
		r.store = r.fixtures[0].Store
	}
	r.fixtures[0].StartServer("i-1", gateway.Respond("whole"))
	r.fixtures[0].WaitFor("usage to be reported", func() bool { return len(r.cloud.Reports()) > 0 })
	return r
}

// load sends the customer's requests to all of the given gateways for a time and returns how
// many succeeded.
func (r *usageFixture) load(d time.Duration, fixtures []*gateway.Fixture) int64 {
	var served int64
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, f := range fixtures {
			r.calls++
			if got := f.Post("/safe/x", fmt.Sprintf("call-%d", r.calls)); got.Status == 200 {
				served++
			}
		}
	}
	return served
}

// reported returns the sum of the requests reported for the customer.
func (r *usageFixture) reported() int64 {
	var n int64
	for _, report := range r.cloud.Reports() {
		n += report.Counts["crew"]
	}
	return n
}

// expect waits until the reported requests match those served, within a relative tolerance,
// and checks that the reports broke no rule of the platform.
func (r *usageFixture) expect(served int64, tolerance float64) {
	r.t.Helper()
	least, most := float64(served)*(1-tolerance), float64(served)*(1+tolerance)
	for end := time.Now().Add(2 * usageDelay); time.Now().Before(end) && float64(r.reported()) < least; {
		time.Sleep(50 * time.Millisecond)
	}
	if got := float64(r.reported()); got < least || got > most {
		r.t.Errorf("%v requests reported, %d served", got, served)
	}
	for _, violation := range r.cloud.Violations() {
		r.t.Error(violation)
	}
}

// Each window is reported once, by one gateway, with the requests of all gateways.
func TestUsageIsReported(t *testing.T) {
	t.Parallel()
	r := startUsageFixture(t, 3)
	r.expect(r.load(3*time.Second, r.fixtures), 0)
}

// The store loses the last seconds and the reporting gateway stops: no window is reported
// twice, and reporting continues.
func TestUsageAfterStopAndStoreRestore(t *testing.T) {
	t.Parallel()
	r := startUsageFixture(t, 3)
	served := r.load(2*time.Second, r.fixtures)
	r.expect(served, 0)
	backup := r.store.Snapshot()
	served += r.load(1500*time.Millisecond, r.fixtures)
	r.store.SetFault(rowstore.Unavailable)
	r.store.Restore(backup)
	time.Sleep(outage)
	r.store.SetFault(rowstore.NoFault)
	before := len(r.cloud.Reports())
	r.fixtures[0].WaitFor("windows to be reported after the restore", func() bool { return len(r.cloud.Reports()) > before+2 })
	r.fixtures[0].Stop()
	<-r.fixtures[0].Stopped
	before = len(r.cloud.Reports())
	r.fixtures[1].WaitFor("windows to be reported by the two other gateways", func() bool { return len(r.cloud.Reports()) > before+2 })
	for _, violation := range r.cloud.Violations() {
		t.Error(violation)
	}
}

// Calls to the platform are executed late, lost, or rejected for a time.
func TestUsageDuringPlatformFaults(t *testing.T) {
	t.Parallel()
	r := startUsageFixture(t, 2)
	var served int64
	for _, fault := range []cloud.Fault{cloud.Delayed, cloud.ResponseLost, cloud.Throttled, cloud.RequestLost, cloud.Delayed} {
		r.cloud.SetFault(fault)
		served += r.load(1200*time.Millisecond, r.fixtures)
		r.cloud.SetFault(cloud.NoFault)
		r.cloud.RunDelayed()
	}
	r.expect(served, 0)
}

// A gateway without the metering duty neither calls the platform nor writes rows for duties.
func TestNoReportsWithoutMeteringDuty(t *testing.T) {
	t.Parallel()
	c := cloud.New(0)
	web := httptest.NewServer(c.HandlerFor("gateway-1"))
	t.Cleanup(web.Close)
	f := gateway.NewFixture(t, gateway.Options{Usage: settings.UsageReporting{Addr: strings.TrimPrefix(web.URL, "http://"), Duties: "autoscale"}})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "a").Status == 200 })
	time.Sleep(2 * usageWindow)
	if c.CallCount() != 0 || len(f.Store.Keys("duties")) != 0 {
		t.Errorf("%d calls, rows %v", c.CallCount(), f.Store.Keys("duties"))
	}
}
