package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against a price that has no effect in a running gateway: with one, requests stay in the
// gateway's zone while its server is idle, and without one some go to the other zone's server. With one,
// the other zone still serves when the own one has no server.
func TestZonePriceKeepsRequestsInZone(t *testing.T) {
	t.Parallel()
	price := 20.0
	for _, c := range []struct {
		price  *float64
		status string
	}{{nil, `"price":null`}, {&price, `"price":20`}} {
		f := gateway.NewFixture(t, gateway.Options{ZonePrice: c.price})
		near, far := f.StartServer("near", gateway.Respond("whole")), f.StartServer("far", gateway.Respond("whole"))
		f.Store.PutJSON("servers", far.Instance, map[string]any{
			"service": "plain", "addr": far.Addr, "zone": "y", "version": "v1", "slots": 8, "state": "ready", "seq": 2, "warmup-left-ms": 0,
		})
		f.WaitFor("the gateway to know both servers", func() bool { return strings.Contains(readMetrics(t, f), "applepier_backend_servers 2\n") })
		toFar := 0
		for i := range 60 {
			id := fmt.Sprintf("request-%d", i)
			if got := f.Post("/unsafe/x", id); got.Status != http.StatusOK {
				t.Fatalf("got %+v", got)
			}
			if f.ReceivedRequests(id)[0].Server == "far" {
				toFar++
			}
		}
		if (toFar == 0) != (c.price != nil) {
			t.Errorf("%s: %d of 60 requests to the other zone", c.status, toFar)
		}
		if got := readZones(t, f); !strings.Contains(got, c.status) {
			t.Errorf("status %s, want %s", got, c.status)
		}
		f.ListServer(near, "draining")
		f.WaitFor("the other zone to serve", func() bool { f.Post("/unsafe/x", "after"); return f.Reached("after", "far") })
	}
}

// readZones returns the gateway's status of zones.
func readZones(t *testing.T, f *gateway.Fixture) string {
	t.Helper()
	response, err := http.DefaultClient.Do(f.AdminRequest(http.MethodGet, "/zones"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
