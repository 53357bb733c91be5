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

func TestDesiredStateIsFollowed(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("it is served", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
	route := `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`
	f.Desire(2, route, "")
	f.Wait("a new route is in force", func() bool { return f.Call("/new/x", "n").Status == 200 })
	f.Store.Put("op", "config", []byte(`{"version":3,"routes":[{"type":"odd"}]}`))
	f.Desire(1, "", "")
	f.Store.Forget()
	time.Sleep(200 * time.Millisecond)
	if got := f.Call("/new/x", "m"); got.Status != 200 {
		t.Errorf("status %d after a state that can't be read and an older one", got.Status)
	}
	f.Desire(4, "", "")
	f.Wait("a dropped route is gone", func() bool { return f.Call("/new/x", "o").Status == 404 })
}

func TestUnknownStateAnswersNotRun(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{Unready: true})
	f.Wait("it listens", func() bool { return f.Call("/safe/x", "1").Status != 0 })
	if got := f.Call("/safe/x", "2"); got.Status != 503 || got.Header.Get("Retry-After") == "" || f.Ready() {
		t.Errorf("status %d, ready %v, without a desired state", got.Status, f.Ready())
	}
}

// A key that is taken away where the gateway can't hear of it: requests with a
// key are refused once the state may be too old, others are served.
func TestRevokedKeysStopWorkingWhileTheStoreIsAway(t *testing.T) {
	for name, fault := range map[string]rowstore.Fault{
		"refuses": rowstore.Busy, "throttles": rowstore.Throttled, "is silent": rowstore.Silent, "resets": rowstore.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const within = 3 * time.Second
			f := gateway.NewFleet(t, gateway.Options{Revoke: within})
			f.Serve("i-1", gateway.Answer("whole"))
			f.Wait("it is served", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
			f.Store.SetFault(fault)
			cut := time.Now()
			f.Desire(2, "", "")
			for time.Since(cut) < within+time.Second {
				sent := time.Since(cut)
				if got := f.Call("/safe/x", "k"); got.Status == 200 && sent > within {
					t.Fatalf("a request sent %v after the key may have been taken away ran", sent)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := f.Call("/safe/x", "k"); got.Status != 503 || got.Header.Get("Retry-After") == "" {
				t.Errorf("status %d for a request with a key", got.Status)
			}
			if got := f.Call("/open/x", "o"); got.Status != 200 {
				t.Errorf("status %d for one that needs none", got.Status)
			}
			f.Store.SetFault(rowstore.Well)
			f.Wait("it is served again", func() bool { return f.Call("/safe/x", "b").Status == 200 })
		})
	}
}

func TestGracefulStop(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{Grace: 4 * time.Second})
	f.Serve("i-1", gateway.Events(30, 0, 70*time.Millisecond))
	f.Wait("it is listed", func() bool { return len(f.Arrivals("warm")) > 0 || f.Call("/stream/x", "warm").Status == 200 })
	ended := make(chan gateway.Got, 1)
	go func() { ended <- f.Call("/stream/x", "running") }()
	f.Wait("it runs", func() bool { return len(f.Arrivals("running")) > 0 })
	f.Stop()
	f.Wait("it isn't ready", func() bool { return !f.Ready() })
	for what, got := range map[string]gateway.Got{
		"what came before the balancer has noticed": f.Call("/stream/x", "during"), "what ran at the signal": <-ended,
	} {
		if got.Err != nil || !strings.HasSuffix(got.Body, gateway.Event(30)) {
			t.Errorf("%s: %v, ends %q", what, got.Err, got.Body[max(0, len(got.Body)-40):])
		}
	}
	select {
	case <-f.Stopped:
	case <-time.After(5 * time.Second):
		t.Error("the gateway hasn't ended within its grace period")
	}
}

// A gateway that somebody took for gone enters itself again.
func TestGatewayStaysListed(t *testing.T) {
	f := gateway.NewFleet(t, gateway.Options{})
	listed := func() bool { return slices.Equal(f.Store.Keys("gateways"), []string{"gateway-1"}) }
	f.Wait("the gateway is listed", listed)
	f.Store.Remove("gateways", "gateway-1")
	f.Wait("it is listed again", listed)
}

// A gateway that is cut off alone sends its callers to others; one that is cut
// off as all are goes on with what it may still serve.
func TestCutOffGatewayIsNotReady(t *testing.T) {
	const within = 2500 * time.Millisecond
	alone := gateway.NewFleet(t, gateway.Options{Revoke: within})
	one := gateway.NewFleet(t, gateway.Options{Revoke: within, Listed: map[string]string{
		"gateway-2": "127.0.0.1:9", "gateway-3": "127.0.0.1:9", "gateway-4": "127.0.0.1:9",
	}})
	// The list of gateways is read at the start.
	time.Sleep(300 * time.Millisecond)
	alone.Store.SetFault(rowstore.Silent)
	one.Store.SetFault(rowstore.Silent)
	one.Wait("the one among four isn't ready", func() bool { return !one.Ready() })
	resp, err := http.DefaultClient.Do(one.Request(t.Context(), http.MethodPost, "/safe/x", "k", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("status %d, connection closed %v for a request with a key", resp.StatusCode, resp.Close)
	}
	alone.Wait("the only one refuses keys", func() bool { return alone.Call("/safe/x", "k").Status == 503 })
	if !alone.Ready() {
		t.Error("the only gateway isn't ready while the store is away")
	}
	one.Store.SetFault(rowstore.Well)
	one.Wait("it is ready again", one.Ready)
}

// A gateway that starts while the store turns it away has the desired state and
// the servers from one that is served, changes included, and its proofs.
func TestGatewayLearnsFromOthers(t *testing.T) {
	const within = 2500 * time.Millisecond
	addr := ports.For(t)
	late := gateway.NewFleet(t, gateway.Options{Name: "gateway-2", PeerListen: addr, Revoke: within, Unready: true, Fault: rowstore.Busy})
	served := gateway.NewFleet(t, gateway.Options{Revoke: within, Listed: map[string]string{"gateway-2": addr}})
	served.Serve("i-1", gateway.Answer("whole"))
	served.Wait("it is served", func() bool { return served.Call("/safe/x", "warm").Status == 200 })
	late.Wait("it serves", func() bool { return late.Call("/safe/x", "a").Status == 200 })
	served.Desire(2, `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`, "")
	late.Wait("it has the new route", func() bool { return late.Call("/new/x", "b").Status == 200 })
	if late.Ready() {
		t.Error("it is ready though the store answers others and not it")
	}
	late.Wait("its state is proved", func() bool { return late.Call("/safe/x", "p").Status == 200 })
	for end := time.Now().Add(2 * within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := late.Call("/safe/x", "c"); got.Status != 200 {
			t.Fatalf("status %d (%s) while another gateway proves the state, the other one answers %d", got.Status, got.Body, served.Call("/safe/x", "e").Status)
		}
	}
	served.Store.SetFault(rowstore.Busy)
	late.Wait("keys are refused when nobody can prove it", func() bool { return late.Call("/safe/x", "d").Status == 503 })
	late.Wait("it is ready where all are turned away", late.Ready)
	late.Store.SetFault(rowstore.Well)
	late.Desire(3, "", "")
	late.Wait("it serves by the store", func() bool { return late.Ready() && late.Call("/safe/x", "e").Status != 503 })
}

// A store that comes back from an older copy gives its versions out again. Who asks from
// a position that the new history has reached meanwhile hears of nothing that came
// before it: a server that started, a key that was taken away.
func TestNothingIsMissedAfterTheStoreReturnsFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{Revoke: 5 * time.Second})
	f.Serve("i-1", gateway.Answer("whole"))
	older := f.Store.Copy()
	for i := range 4 {
		f.Store.Put("other", fmt.Sprintf("row-%d", i), nil)
	}
	f.Serve("i-2", gateway.Answer("whole"))
	f.Wait("both are used", func() bool { f.Call("/safe/x", "warm"); return usedBoth(f, "warm") })
	// It is away for a moment, and what was lost is written again beside what is new.
	f.Store.SetFault(rowstore.Busy)
	f.Store.Return(older)
	f.Serve("i-3", gateway.Answer("whole"))
	for i := range 6 {
		f.Store.Put("other", fmt.Sprintf("row-%d", i), nil)
	}
	f.Store.SetFault(rowstore.Well)
	f.Wait("a server is used that started meanwhile", func() bool {
		f.Call("/safe/x", "after")
		return usedServer(f, "after", "i-3")
	})
}
