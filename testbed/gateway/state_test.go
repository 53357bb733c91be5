package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/ports"
	"github.com/applepier/applepier/testbed/rowstore"
)

// New versions of the desired state take effect; malformed and older ones are ignored.
func TestDesiredStateIsFollowed(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
	route := `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`
	f.Desire(2, route, "")
	f.Wait("the new route to take effect", func() bool { return f.Call("/new/x", "n").Status == 200 })
	f.Store.Put("op", "config", []byte(`{"version":3,"routes":[{"type":"odd"}]}`))
	f.Desire(1, "", "")
	f.Store.Forget()
	time.Sleep(200 * time.Millisecond)
	if got := f.Call("/new/x", "m"); got.Status != 200 {
		t.Errorf("status %d after a malformed state and an older one", got.Status)
	}
	f.Desire(4, "", "")
	f.Wait("the removed route to disappear", func() bool { return f.Call("/new/x", "o").Status == 404 })
}

// Without a desired state the gateway isn't ready and rejects requests as not executed.
func TestUnknownStateAnswersNotRun(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{Unready: true})
	f.Wait("the gateway to listen", func() bool { return f.Call("/safe/x", "1").Status != 0 })
	if got := f.Call("/safe/x", "2"); got.Status != 503 || got.Header.Get("Retry-After") == "" || f.Ready() {
		t.Errorf("status %d, ready %v, without a desired state", got.Status, f.Ready())
	}
}

// When a key is revoked while the gateway can't reach the store, requests with keys are
// rejected once the state may be stale. Public routes are still served.
func TestRevokedKeysStopWorkingWhileTheStoreIsAway(t *testing.T) {
	for name, fault := range map[string]rowstore.Fault{
		"refuses": rowstore.Busy, "throttles": rowstore.Throttled, "is silent": rowstore.Silent, "resets": rowstore.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const within = 3 * time.Second
			f := gateway.NewFleet(t, gateway.Options{Revoke: within})
			f.Serve("i-1", gateway.Answer("whole"))
			f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
			f.Store.SetFault(fault)
			cut := time.Now()
			f.Desire(2, "", "")
			for time.Since(cut) < within+time.Second {
				sent := time.Since(cut)
				if got := f.Call("/safe/x", "k"); got.Status == 200 && sent > within {
					t.Fatalf("a request sent %v after the key may have been revoked was served", sent)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := f.Call("/safe/x", "k"); got.Status != 503 || got.Header.Get("Retry-After") == "" {
				t.Errorf("status %d for a request with a key", got.Status)
			}
			if got := f.Call("/open/x", "o"); got.Status != 200 {
				t.Errorf("status %d on a public route", got.Status)
			}
			f.Store.SetFault(rowstore.Well)
			f.Wait("the gateway to serve again", func() bool { return f.Call("/safe/x", "b").Status == 200 })
		})
	}
}

// During the grace period running requests finish, and new ones are served until the load
// balancer has noticed the shutdown.
func TestGracefulStop(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{Grace: 4 * time.Second})
	f.Serve("i-1", gateway.Events(30, 0, 70*time.Millisecond))
	f.Wait("the server to be listed", func() bool { return len(f.Arrivals("warm")) > 0 || f.Call("/stream/x", "warm").Status == 200 })
	ended := make(chan gateway.Got, 1)
	go func() { ended <- f.Call("/stream/x", "running") }()
	f.Wait("the request to run", func() bool { return len(f.Arrivals("running")) > 0 })
	f.Stop()
	f.Wait("the gateway to report that it isn't ready", func() bool { return !f.Ready() })
	for what, got := range map[string]gateway.Got{
		"a request before the load balancer has noticed": f.Call("/stream/x", "during"), "the request that was running at the signal": <-ended,
	} {
		if got.Err != nil || !strings.HasSuffix(got.Body, gateway.Event(30)) {
			t.Errorf("%s: %v, ends %q", what, got.Err, got.Body[max(0, len(got.Body)-40):])
		}
	}
	select {
	case <-f.Stopped:
	case <-time.After(5 * time.Second):
		t.Error("the gateway hasn't stopped within its grace period")
	}
}

// A gateway whose row was removed lists itself again.
func TestGatewayStaysListed(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	listed := func() bool { return slices.Equal(f.Store.Keys("gateways"), []string{"gateway-1"}) }
	f.Wait("the gateway to be listed", listed)
	f.Store.Remove("gateways", "gateway-1")
	f.Wait("the gateway to be listed again", listed)
}

// A gateway that alone has lost the store reports that it isn't ready, so that its clients go
// to others. If all gateways have lost it, each keeps serving what it may.
func TestCutOffGatewayIsNotReady(t *testing.T) {
	const within = 2500 * time.Millisecond
	alone := gateway.NewFleet(t, gateway.Options{Revoke: within})
	one := gateway.NewFleet(t, gateway.Options{Revoke: within, Listed: map[string]string{
		"gateway-2": "127.0.0.1:9", "gateway-3": "127.0.0.1:9", "gateway-4": "127.0.0.1:9",
	}})
	// The gateway reads the list of gateways at its start.
	time.Sleep(300 * time.Millisecond)
	alone.Store.SetFault(rowstore.Silent)
	one.Store.SetFault(rowstore.Silent)
	one.Wait("the gateway among four to report that it isn't ready", func() bool { return !one.Ready() })
	resp, err := http.DefaultClient.Do(one.Request(t.Context(), http.MethodPost, "/safe/x", "k", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("status %d, connection closed %v for a request with a key", resp.StatusCode, resp.Close)
	}
	alone.Wait("the only gateway to reject keys", func() bool { return alone.Call("/safe/x", "k").Status == 503 })
	if !alone.Ready() {
		t.Error("the only gateway isn't ready while the store is unavailable")
	}
	one.Store.SetFault(rowstore.Well)
	one.Wait("the gateway to be ready again", one.Ready)
}

// A gateway that starts while the store rejects its calls receives the desired state, the
// servers, later changes and the freshness proofs from another gateway.
func TestGatewayLearnsFromOthers(t *testing.T) {
	const within = 2500 * time.Millisecond
	addr := ports.For(t)
	late := gateway.NewFleet(t, gateway.Options{Name: "gateway-2", PeerListen: addr, Revoke: within, Unready: true, Fault: rowstore.Busy})
	served := gateway.NewFleet(t, gateway.Options{Revoke: within, Listed: map[string]string{"gateway-2": addr}})
	served.Serve("i-1", gateway.Answer("whole"))
	served.Wait("the gateway to serve", func() bool { return served.Call("/safe/x", "warm").Status == 200 })
	late.Wait("the new gateway to serve", func() bool { return late.Call("/safe/x", "a").Status == 200 })
	served.Desire(2, `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`, "")
	late.Wait("the new gateway to have the new route", func() bool { return late.Call("/new/x", "b").Status == 200 })
	if late.Ready() {
		t.Error("the gateway is ready though only others reach the store")
	}
	late.Wait("the gateway's state to be proved fresh", func() bool { return late.Call("/safe/x", "p").Status == 200 })
	for end := time.Now().Add(2 * within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := late.Call("/safe/x", "c"); got.Status != 200 {
			t.Fatalf("status %d (%s) while another gateway proves the state fresh, which returns %d", got.Status, got.Body, served.Call("/safe/x", "e").Status)
		}
	}
	served.Store.SetFault(rowstore.Busy)
	late.Wait("keys to be rejected when no gateway can prove the state fresh", func() bool { return late.Call("/safe/x", "d").Status == 503 })
	late.Wait("the gateway to be ready when the store rejects all", late.Ready)
	late.Store.SetFault(rowstore.Well)
	late.Desire(3, "", "")
	late.Wait("the gateway to serve from the store's state", func() bool { return late.Ready() && late.Call("/safe/x", "e").Status != 503 })
}

// A store restored from an older backup assigns its versions again. A gateway that continues
// from a position that the new history has already passed would miss all earlier changes, such
// as a new server or a revoked key.
func TestNothingIsMissedAfterTheStoreReturnsFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{Revoke: 5 * time.Second})
	f.Serve("i-1", gateway.Answer("whole"))
	older := f.Store.Copy()
	for i := range 4 {
		f.Store.Put("other", fmt.Sprintf("row-%d", i), nil)
	}
	f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both servers to be used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	// The store is unavailable for a moment, and lost rows are written again along with new
	// ones.
	f.Store.SetFault(rowstore.Busy)
	f.Store.Return(older)
	f.Serve("i-3", gateway.Answer("whole"))
	for i := range 6 {
		f.Store.Put("other", fmt.Sprintf("row-%d", i), nil)
	}
	f.Store.SetFault(rowstore.Well)
	f.Wait("the server that started meanwhile to be used", func() bool {
		f.Call("/safe/x", "after")
		return usedServer(f, "after", "i-3")
	})
}
