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
type reporting struct {
	t     *testing.T
	cloud *cloud.Cloud
	store *rowstore.Store
	all   []*gateway.Fleet
	calls int
}

// startUsageFixture starts n gateways that know each other, and a server.
func startReporting(t *testing.T, n int) *reporting {
	t.Helper()
	r := &reporting{t: t, cloud: cloud.New(usageLease)}
	listed := map[string]string{}
	for i := range n {
		listed[fmt.Sprintf("gateway-%d", i)] = ports.For(t)
	}
	for i := range n {
		name := fmt.Sprintf("gateway-%d", i)
		web := httptest.NewServer(r.cloud.Machine(name))
		t.Cleanup(web.Close)
		o := gateway.Options{Name: name, PeerListen: listed[name], Listed: listed, Store: r.store, Revoke: 5 * time.Second, Usage: settings.Usage{
			Addr: strings.TrimPrefix(web.URL, "http://"), Duties: "autoscale,metering", Window: usageWindow, Delay: usageDelay, Lease: usageLease,
		}}
		r.all = append(r.all, gateway.NewFleet(t, o))
		r.store = r.all[0].Store
	}
	r.all[0].Serve("i-1", gateway.Answer("whole"))
	r.all[0].Wait("usage to be reported", func() bool { return len(r.cloud.Reports()) > 0 })
	return r
}

// load sends the customer's requests to all of the given gateways for a time and returns how
// many succeeded.
func (r *reporting) load(d time.Duration, fleets []*gateway.Fleet) int64 {
	var answered int64
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, f := range fleets {
			r.calls++
			if got := f.Call("/safe/x", fmt.Sprintf("call-%d", r.calls)); got.Status == 200 {
				answered++
			}
		}
	}
	return answered
}

// reported returns the sum of the requests reported for the customer.
func (r *reporting) reported() int64 {
	var n int64
	for _, report := range r.cloud.Reports() {
		n += report.Counts["crew"]
	}
	return n
}

// expect waits until the reported requests match those answered, within a relative tolerance,
// and checks that the reports broke no rule of the platform.
func (r *reporting) expect(answered int64, off float64) {
	r.t.Helper()
	least, most := float64(answered)*(1-off), float64(answered)*(1+off)
	for end := time.Now().Add(2 * usageDelay); time.Now().Before(end) && float64(r.reported()) < least; {
		time.Sleep(50 * time.Millisecond)
	}
	if got := float64(r.reported()); got < least || got > most {
		r.t.Errorf("%v requests reported, %d answered", got, answered)
	}
	for _, broken := range r.cloud.Broken() {
		r.t.Error(broken)
	}
}

// Each window is reported once, by one gateway, with the requests of all gateways.
func TestUsageIsReported(t *testing.T) {
	t.Parallel()
	r := startReporting(t, 3)
	r.expect(r.load(3*time.Second, r.all), 0)
}

// The store loses the last seconds and the reporting gateway stops: no window is reported
// twice, and reporting continues.
func TestUsageAfterStopsAndAReturn(t *testing.T) {
	t.Parallel()
	r := startReporting(t, 3)
	answered := r.load(2*time.Second, r.all)
	r.expect(answered, 0)
	older := r.store.Copy()
	answered += r.load(1500*time.Millisecond, r.all)
	r.store.SetFault(rowstore.Busy)
	r.store.Return(older)
	time.Sleep(awayFor)
	r.store.SetFault(rowstore.Well)
	before := len(r.cloud.Reports())
	r.all[0].Wait("windows to be reported after the restore", func() bool { return len(r.cloud.Reports()) > before+2 })
	r.all[0].Stop()
	<-r.all[0].Stopped
	before = len(r.cloud.Reports())
	r.all[1].Wait("windows to be reported by the two other gateways", func() bool { return len(r.cloud.Reports()) > before+2 })
	for _, broken := range r.cloud.Broken() {
		t.Error(broken)
	}
}

// Calls to the platform are executed late, lost, or rejected for a time.
func TestUsageThroughFaultsOfThePlatform(t *testing.T) {
	t.Parallel()
	r := startReporting(t, 2)
	var answered int64
	for _, fault := range []cloud.Fault{cloud.Late, cloud.Lost, cloud.Busy, cloud.Silent, cloud.Late} {
		r.cloud.SetFault(fault)
		answered += r.load(1200*time.Millisecond, r.all)
		r.cloud.SetFault(cloud.Well)
		r.cloud.Land()
	}
	r.expect(answered, 0)
}

// A gateway without the metering duty neither calls the platform nor writes rows for duties.
func TestNothingIsReportedWhereNothingIsAsked(t *testing.T) {
	t.Parallel()
	c := cloud.New(0)
	web := httptest.NewServer(c.Machine("gateway-1"))
	t.Cleanup(web.Close)
	f := gateway.NewFleet(t, gateway.Options{Usage: settings.Usage{Addr: strings.TrimPrefix(web.URL, "http://"), Duties: "autoscale"}})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "a").Status == 200 })
	time.Sleep(2 * usageWindow)
	if c.Calls() != 0 || len(f.Store.Keys("duties")) != 0 {
		t.Errorf("%d calls, rows %v", c.Calls(), f.Store.Keys("duties"))
	}
}
