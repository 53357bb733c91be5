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
func TestDesiredStateChanges(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
	route := `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`
	f.PutState(2, route, "")
	f.WaitFor("the new route to take effect", func() bool { return f.Post("/new/x", "n").Status == 200 })
	f.Store.Put("op", "config", []byte(`{"version":3,"routes":[{"type":"odd"}]}`))
	f.PutState(1, "", "")
	f.Store.TruncateHistory()
	time.Sleep(200 * time.Millisecond)
	if got := f.Post("/new/x", "m"); got.Status != 200 {
		t.Errorf("status %d after a malformed state and an older one", got.Status)
	}
	f.PutState(4, "", "")
	f.WaitFor("the removed route to disappear", func() bool { return f.Post("/new/x", "o").Status == 404 })
}

// Without a desired state the gateway isn't ready and rejects requests as not executed.
func TestMissingStateRejectsRequests(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{WithoutState: true})
	f.WaitFor("the gateway to listen", func() bool { return f.Post("/safe/x", "1").Status != 0 })
	if got := f.Post("/safe/x", "2"); got.Status != 503 || got.Header.Get("Retry-After") == "" || f.Ready() {
		t.Errorf("status %d, ready %v, without a desired state", got.Status, f.Ready())
	}
}

// When a key is revoked while the gateway can't reach the store, requests with keys are
// rejected once the state may be stale. Public routes are still served.
func TestRevokedKeysStopWorkingWithoutStore(t *testing.T) {
	for name, fault := range map[string]rowstore.Fault{
		"rejects": rowstore.Unavailable, "throttles": rowstore.Throttled, "doesn't respond": rowstore.Unresponsive, "resets": rowstore.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const within = 3 * time.Second
			f := gateway.NewFixture(t, gateway.Options{Revoke: within})
			f.StartServer("i-1", gateway.Respond("whole"))
			f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
			f.Store.SetFault(fault)
			outageStart := time.Now()
			f.PutState(2, "", "")
			for time.Since(outageStart) < within+time.Second {
				sent := time.Since(outageStart)
				if got := f.Post("/safe/x", "k"); got.Status == 200 && sent > within {
					t.Fatalf("a request sent %v after the key may have been revoked was served", sent)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := f.Post("/safe/x", "k"); got.Status != 503 || got.Header.Get("Retry-After") == "" {
				t.Errorf("status %d for a request with a key", got.Status)
			}
			if got := f.Post("/open/x", "o"); got.Status != 200 {
				t.Errorf("status %d on a public route", got.Status)
			}
			f.Store.SetFault(rowstore.NoFault)
			f.WaitFor("the gateway to serve again", func() bool { return f.Post("/safe/x", "b").Status == 200 })
		})
	}
}

// During the grace period running requests finish, and new ones are served until the load
// balancer has noticed the shutdown.
func TestGracefulStop(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{Grace: 4 * time.Second})
	f.StartServer("i-1", gateway.Events(30, 0, 70*time.Millisecond))
	f.WaitFor("the server to be listed", func() bool { return len(f.ReceivedRequests("warm")) > 0 || f.Post("/stream/x", "warm").Status == 200 })
	ended := make(chan gateway.Response, 1)
	go func() { ended <- f.Post("/stream/x", "running") }()
	f.WaitFor("the request to run", func() bool { return len(f.ReceivedRequests("running")) > 0 })
	f.Stop()
	f.WaitFor("the gateway to report that it isn't ready", func() bool { return !f.Ready() })
	for what, got := range map[string]gateway.Response{
		"a request before the load balancer has noticed": f.Post("/stream/x", "during"), "the request that was running at the signal": <-ended,
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
func TestRemovedGatewayListsItselfAgain(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	listed := func() bool { return slices.Equal(f.Store.Keys("gateways"), []string{"gateway-1"}) }
	f.WaitFor("the gateway to be listed", listed)
	f.Store.Delete("gateways", "gateway-1")
	f.WaitFor("the gateway to be listed again", listed)
}

// A gateway that can't reach the store while others may reports that it isn't ready, so that its
// callers use the others. If no gateway can reach it, here because there is only one, it stays
// ready and serves what it may.
func TestGatewayWithoutStoreIsNotReady(t *testing.T) {
	const within = 2500 * time.Millisecond
	alone := gateway.NewFixture(t, gateway.Options{Revoke: within})
	amongFour := gateway.NewFixture(t, gateway.Options{Revoke: within, ListedGateways: map[string]string{
		"gateway-2": "127.0.0.1:9", "gateway-3": "127.0.0.1:9", "gateway-4": "127.0.0.1:9",
	}})
	// The gateway reads the list of gateways at its start.
	time.Sleep(300 * time.Millisecond)
	alone.Store.SetFault(rowstore.Unresponsive)
	amongFour.Store.SetFault(rowstore.Unresponsive)
	amongFour.WaitFor("the gateway among four to report that it isn't ready", func() bool { return !amongFour.Ready() })
	resp, err := http.DefaultClient.Do(amongFour.Request(t.Context(), http.MethodPost, "/safe/x", "k", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("status %d, connection closed %v for a request with a key", resp.StatusCode, resp.Close)
	}
	alone.WaitFor("the only gateway to reject keys", func() bool { return alone.Post("/safe/x", "k").Status == 503 })
	if !alone.Ready() {
		t.Error("the only gateway isn't ready while the store is unavailable")
	}
	amongFour.Store.SetFault(rowstore.NoFault)
	amongFour.WaitFor("the gateway to be ready again", amongFour.Ready)
}

// A gateway that starts while the store rejects its calls receives the desired state, the
// servers, later changes and the confirmations of its state from another gateway.
func TestGatewayGetsStateFromOthers(t *testing.T) {
	const within = 2500 * time.Millisecond
	addr := ports.ReserveForTest(t)
	starting := gateway.NewFixture(t, gateway.Options{Name: "gateway-2", PeerListen: addr, Revoke: within, WithoutState: true, StoreFault: rowstore.Unavailable})
	connected := gateway.NewFixture(t, gateway.Options{Revoke: within, ListedGateways: map[string]string{"gateway-2": addr}})
	connected.StartServer("i-1", gateway.Respond("whole"))
	connected.WaitFor("the gateway to serve", func() bool { return connected.Post("/safe/x", "warm").Status == 200 })
	starting.WaitFor("the new gateway to serve", func() bool { return starting.Post("/safe/x", "a").Status == 200 })
	connected.PutState(2, `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`, "")
	starting.WaitFor("the new gateway to have the new route", func() bool { return starting.Post("/new/x", "b").Status == 200 })
	if starting.Ready() {
		t.Error("the gateway is ready though it can't reach the store and another gateway can")
	}
	starting.WaitFor("the gateway's state to be confirmed", func() bool { return starting.Post("/safe/x", "p").Status == 200 })
	for end := time.Now().Add(2 * within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := starting.Post("/safe/x", "c"); got.Status != 200 {
			t.Fatalf("status %d (%s) while another gateway confirms the state and itself returns %d", got.Status, got.Body, connected.Post("/safe/x", "e").Status)
		}
	}
	connected.Store.SetFault(rowstore.Unavailable)
	starting.WaitFor("keys to be rejected when no gateway can confirm the state", func() bool { return starting.Post("/safe/x", "d").Status == 503 })
	starting.WaitFor("the gateway to be ready when the store rejects all", starting.Ready)
	starting.Store.SetFault(rowstore.NoFault)
	starting.PutState(3, "", "")
	starting.WaitFor("the gateway to serve from the store's state", func() bool { return starting.Ready() && starting.Post("/safe/x", "e").Status != 503 })
}

// A store restored from an older snapshot assigns its versions again. A gateway that continues
// from a position that the new history has already passed would miss all earlier changes, such
// as a new server or a revoked key.
func TestNoChangeIsMissedAfterStoreRestore(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{Revoke: 5 * time.Second})
	f.StartServer("i-1", gateway.Respond("whole"))
	snapshot := f.Store.Snapshot()
	for i := range 4 {
		f.Store.Put("other", fmt.Sprintf("row-%d", i), nil)
	}
	f.StartServer("i-2", gateway.Respond("whole"))
	f.WaitFor("both servers to be used", func() bool { f.Post("/safe/x", "warm"); return f.ReachedTwoServers("warm") })
	// The store is unavailable for a moment, and lost rows are written again along with new
	// ones.
	f.Store.SetFault(rowstore.Unavailable)
	f.Store.Restore(snapshot)
	f.StartServer("i-3", gateway.Respond("whole"))
	for i := range 6 {
		f.Store.Put("other", fmt.Sprintf("row-%d", i), nil)
	}
	f.Store.SetFault(rowstore.NoFault)
	f.WaitFor("the server that started meanwhile to be used", func() bool {
		f.Post("/safe/x", "after")
		return f.Reached("after", "i-3")
	})
}
