package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// maxCrashes is how many servers one request may crash before it is quarantined.
const mostCrashes = 3

// respondByRoute sends a complete response of the kind that the request's route expects.
func wholeOf(c net.Conn, a *gateway.Arrival) bool {
	if strings.HasPrefix(a.Target, "/stream/") || strings.HasPrefix(a.Target, "/resume/") {
		return gateway.Events(3, 0, 0)(c, a)
	}
	return gateway.Answer("whole")(c, a)
}

// Guards against a request that crashes every server it runs on: retries took one server after
// another away from all other clients.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFleet(t, gateway.Options{})
			m := newMortal(f, 8, wholeOf)
			f.Wait("the gateway to serve", func() bool { return f.Call("/unsafe/warm", "warm").Status == http.StatusOK })
			for i := range 12 {
				got := ask(f, path, fmt.Sprintf("deadly-%d", i), deadly)
				if got.Status == http.StatusOK {
					t.Fatalf("got %+v", got)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if n := m.crashes(); n != mostCrashes {
				t.Errorf("%d servers crashed, at most %d may", n, mostCrashes)
			}
			began := time.Now()
			got := ask(f, path, "held-back", deadly)
			if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || time.Since(began) > 100*time.Millisecond {
				t.Errorf("got %+v after %v, want an immediate rejection", got, time.Since(began))
			}
			for _, other := range []struct{ path, body string }{{path, "harmless"}, {path + "y", deadly + "!"}} {
				if got := ask(f, other.path, "other", other.body); got.Status != http.StatusOK {
					t.Errorf("%s with another body: got %+v", other.path, got)
				}
			}
		})
	}
}

// Guards against gateways that count only the crashes they see themselves: each would let the
// request crash three servers.
func TestGatewaysQuarantineTogether(t *testing.T) {
	t.Parallel()
	fleets := startAlike(t, 3, 0)
	m := newMortal(fleets[0], 10, gateway.Answer("whole"))
	for i, f := range fleets {
		f.Wait("the gateway to serve", func() bool { return f.Call("/unsafe/warm", fmt.Sprintf("warm-%d", i)).Status == http.StatusOK })
	}
	for i := range 12 {
		ask(fleets[i%len(fleets)], "/unsafe/x", fmt.Sprintf("deadly-%d", i), deadly)
		// Gateways share observed crashes within 100 ms.
		time.Sleep(150 * time.Millisecond)
	}
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, mostCrashes)
	}
	// A new gateway has observed none of the crashes.
	late := gateway.NewFleet(t, gateway.Options{Name: "late", Revoke: 5 * time.Second, Store: fleets[0].Store})
	late.Wait("the gateway to serve", func() bool { return late.Call("/unsafe/warm", "warm-late").Status == http.StatusOK })
	time.Sleep(time.Second)
	ask(late, "/unsafe/x", "deadly-late", deadly)
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, one more through a new gateway", n)
	}
}

// Guards against quarantining requests that ran on the same servers as the crashing one and
// failed with it each time.
func TestRequestsBesideADeadlyOneAreAnswered(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	m := newMortal(f, 6, gateway.Events(20, 0, 20*time.Millisecond))
	f.Wait("the gateway to serve", func() bool { return f.Call("/resume/warm", "warm").Status == http.StatusOK })
	var callers sync.WaitGroup
	whole, refused := make([]int, 12), make([]int, 12)
	for n := range whole {
		callers.Go(func() {
			for i := range 8 {
				switch got := ask(f, fmt.Sprintf("/resume/%d", n), fmt.Sprintf("beside-%d-%d", n, i), "harmless"); {
				case got.Status == http.StatusOK && got.Err == nil:
					whole[n]++
				case got.Status == http.StatusServiceUnavailable:
					refused[n]++
				}
			}
		})
	}
	for i := range 30 {
		ask(f, "/safe/x", fmt.Sprintf("deadly-%d", i), deadly)
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, mostCrashes)
	}
	for n := range whole {
		if refused[n] > 0 || whole[n] < 6 {
			t.Errorf("client %d: %d of 8 complete, %d rejected", n, whole[n], refused[n])
		}
	}
}

// Guards against a fourth crash where a harmless request ran on the same server as the
// crashing one each time. After the second crash the two aren't sent to the same server again,
// even if the other server is in another zone.
func TestSuspectsThatShareTheirCrashesAreKeptApart(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	m := newMortal(f, 1, func(c net.Conn, a *gateway.Arrival) bool {
		if strings.HasPrefix(a.Target, "/stream/") {
			return gateway.Events(80, 0, 25*time.Millisecond)(c, a)
		}
		return gateway.Answer("whole")(c, a)
	})
	var callers sync.WaitGroup
	defer callers.Wait()
	// startHarmless starts a harmless request and returns the server that runs it.
	beside := func(id string) string {
		callers.Go(func() { ask(f, "/stream/x", id, "harmless") })
		f.Wait("the request to run", func() bool { return len(f.Arrivals(id)) > 0 })
		return f.Arrivals(id)[0].Server
	}
	f.Wait("the gateway to serve", func() bool { return f.Call("/unsafe/x", "warm").Status == http.StatusOK })
	for i := range mostCrashes - 1 {
		beside(fmt.Sprintf("beside-%d", i))
		ask(f, "/unsafe/x", fmt.Sprintf("deadly-%d", i), deadly)
		callers.Wait()
		f.Wait("a server to be back", func() bool { return f.Call("/unsafe/x", fmt.Sprintf("back-%d", i)).Status == http.StatusOK })
	}
	near := beside("beside-last")
	far := f.Serve("far", gateway.Answer("whole"))
	f.Store.PutJSON("servers", far.Instance, map[string]any{
		"service": "plain", "addr": far.Addr, "zone": "y", "version": "v1", "slots": 8, "state": "ready", "seq": 2, "warmup-left-ms": 0,
	})
	f.Wait("the gateway to know both servers", func() bool { return strings.Contains(metricsOf(t, f), "applepier_backend_servers 2\n") })
	ask(f, "/unsafe/x", "deadly-last", deadly)
	if sent := f.Arrivals("deadly-last"); len(sent) != 1 || sent[0].Server == near {
		t.Errorf("sent to %v, the other suspect runs on %s", sent, near)
	}
	if m.crashes() != mostCrashes-1 {
		t.Errorf("%d servers crashed", m.crashes())
	}
}

// A server that breaks off responses but keeps running hasn't crashed: its requests failed and
// may succeed on a later attempt, so none is quarantined.
func TestBrokenAnswersOfAServerThatRunsQuarantineNothing(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	for i := range 4 {
		f.Serve(fmt.Sprintf("i-%d", i), gateway.Drop)
	}
	f.Wait("the servers to be listed", func() bool { f.Call("/unsafe/x", "broken"); return len(f.Arrivals("broken")) > 8 })
	if got := f.Call("/unsafe/x", "again"); got.Status != http.StatusBadGateway || len(f.Arrivals("again")) != 1 {
		t.Errorf("got %+v, sent %d times", got, len(f.Arrivals("again")))
	}
}

// Guards against losing the quarantine when all gateways lose power at once.
func TestWhatIsQuarantinedOutlivesAllGateways(t *testing.T) {
	t.Parallel()
	before := gateway.NewFleet(t, gateway.Options{})
	m := newMortal(before, 8, wholeOf)
	before.Wait("the gateway to serve", func() bool { return before.Call("/unsafe/warm", "warm").Status == http.StatusOK })
	for i := range 6 {
		ask(before, "/unsafe/x", fmt.Sprintf("deadly-%d", i), deadly)
		time.Sleep(50 * time.Millisecond)
	}
	before.Stop()
	<-before.Stopped
	after := gateway.NewFleet(t, gateway.Options{Name: "gateway-2", Store: before.Store})
	after.Wait("the gateway to serve", func() bool { return after.Call("/unsafe/warm", "warm-after").Status == http.StatusOK })
	time.Sleep(time.Second)
	for i := range 6 {
		ask(after, "/unsafe/x", fmt.Sprintf("deadly-after-%d", i), deadly)
	}
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, mostCrashes)
	}
}
