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

// mostCrashes is how many servers may end under a deadly request.
const mostCrashes = 3

// wholeOf is a whole answer of the kind that a request's route asks for.
func wholeOf(c net.Conn, a *gateway.Arrival) bool {
	if strings.HasPrefix(a.Target, "/stream/") || strings.HasPrefix(a.Target, "/resume/") {
		return gateway.Events(3, 0, 0)(c, a)
	}
	return gateway.Answer("whole")(c, a)
}

// A request that crashes the servers that run it came again after each crash, and took
// one server after the other away from all other callers.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFleet(t, gateway.Options{})
			m := newMortal(f, 8, wholeOf)
			f.Wait("it is served", func() bool { return f.Call("/unsafe/warm", "warm").Status == http.StatusOK })
			for i := range 12 {
				got := ask(f, path, fmt.Sprintf("deadly-%d", i), deadly)
				if got.Status == http.StatusOK {
					t.Fatalf("got %+v", got)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if n := m.crashes(); n != mostCrashes {
				t.Errorf("%d servers crashed, %d may", n, mostCrashes)
			}
			began := time.Now()
			got := ask(f, path, "held-back", deadly)
			if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || time.Since(began) > 100*time.Millisecond {
				t.Errorf("got %+v after %v, want a refusal at once: it doesn't run", got, time.Since(began))
			}
			for _, other := range []struct{ path, body string }{{path, "harmless"}, {path + "y", deadly + "!"}} {
				if got := ask(f, other.path, "other", other.body); got.Status != http.StatusOK {
					t.Errorf("%s with another body: got %+v", other.path, got)
				}
			}
		})
	}
}

// Gateways that know only of their own crashes let the request end three servers each.
func TestGatewaysQuarantineTogether(t *testing.T) {
	t.Parallel()
	fleets := startAlike(t, 3, 0)
	m := newMortal(fleets[0], 10, gateway.Answer("whole"))
	for i, f := range fleets {
		f.Wait("it is served", func() bool { return f.Call("/unsafe/warm", fmt.Sprintf("warm-%d", i)).Status == http.StatusOK })
	}
	for i := range 12 {
		ask(fleets[i%len(fleets)], "/unsafe/x", fmt.Sprintf("deadly-%d", i), deadly)
		// What one gateway has seen is told to the others within a tenth of a second.
		time.Sleep(150 * time.Millisecond)
	}
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, %d may", n, mostCrashes)
	}
	// A gateway that starts has seen none of it.
	late := gateway.NewFleet(t, gateway.Options{Name: "late", Revoke: 5 * time.Second, Store: fleets[0].Store})
	late.Wait("it is served", func() bool { return late.Call("/unsafe/warm", "warm-late").Status == http.StatusOK })
	time.Sleep(time.Second)
	ask(late, "/unsafe/x", "deadly-late", deadly)
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, one more through a gateway that has just started", n)
	}
}

// What ran beside a request that crashes servers broke off with it each time. It must not
// be quarantined with it.
func TestRequestsBesideADeadlyOneAreAnswered(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	m := newMortal(f, 6, gateway.Events(20, 0, 20*time.Millisecond))
	f.Wait("it is served", func() bool { return f.Call("/resume/warm", "warm").Status == http.StatusOK })
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
		t.Errorf("%d servers crashed, %d may", n, mostCrashes)
	}
	for n := range whole {
		if refused[n] > 0 || whole[n] < 6 {
			t.Errorf("caller %d: %d of 8 whole, %d refused", n, whole[n], refused[n])
		}
	}
}

// Guards against a fourth server ending where a harmless request ran beside the deadly one at
// each crash: after the second the two don't run at the same server any more, though the other
// one is farther away.
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
	// beside has the harmless request run, and returns the server that has it.
	beside := func(id string) string {
		callers.Go(func() { ask(f, "/stream/x", id, "harmless") })
		f.Wait("it runs", func() bool { return len(f.Arrivals(id)) > 0 })
		return f.Arrivals(id)[0].Server
	}
	f.Wait("it is served", func() bool { return f.Call("/unsafe/x", "warm").Status == http.StatusOK })
	for i := range mostCrashes - 1 {
		beside(fmt.Sprintf("beside-%d", i))
		ask(f, "/unsafe/x", fmt.Sprintf("deadly-%d", i), deadly)
		callers.Wait()
		f.Wait("a server is back", func() bool { return f.Call("/unsafe/x", fmt.Sprintf("back-%d", i)).Status == http.StatusOK })
	}
	near := beside("beside-last")
	far := f.Serve("far", gateway.Answer("whole"))
	f.Store.PutJSON("servers", far.Instance, map[string]any{
		"service": "plain", "addr": far.Addr, "zone": "y", "version": "v1", "slots": 8, "state": "ready", "seq": 2, "warmup-left-ms": 0,
	})
	f.Wait("it is known", func() bool { return strings.Contains(metricsOf(t, f), "applepier_backend_servers 2\n") })
	ask(f, "/unsafe/x", "deadly-last", deadly)
	if sent := f.Arrivals("deadly-last"); len(sent) != 1 || sent[0].Server == near {
		t.Errorf("sent to %v, beside the other suspect at %s", sent, near)
	}
	if m.crashes() != mostCrashes-1 {
		t.Errorf("%d servers crashed", m.crashes())
	}
}

// A server that breaks off answers and goes on hasn't crashed: its requests came to
// nothing and may do better next time.
func TestBrokenAnswersOfAServerThatRunsQuarantineNothing(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	for i := range 4 {
		f.Serve(fmt.Sprintf("i-%d", i), gateway.Drop)
	}
	f.Wait("it is listed", func() bool { f.Call("/unsafe/x", "broken"); return len(f.Arrivals("broken")) > 8 })
	if got := f.Call("/unsafe/x", "again"); got.Status != http.StatusBadGateway || len(f.Arrivals("again")) != 1 {
		t.Errorf("got %+v, sent %d times", got, len(f.Arrivals("again")))
	}
}

// All gateways lost power at once; what they knew of the request went with them.
func TestWhatIsQuarantinedOutlivesAllGateways(t *testing.T) {
	t.Parallel()
	before := gateway.NewFleet(t, gateway.Options{})
	m := newMortal(before, 8, wholeOf)
	before.Wait("it is served", func() bool { return before.Call("/unsafe/warm", "warm").Status == http.StatusOK })
	for i := range 6 {
		ask(before, "/unsafe/x", fmt.Sprintf("deadly-%d", i), deadly)
		time.Sleep(50 * time.Millisecond)
	}
	before.Stop()
	<-before.Stopped
	after := gateway.NewFleet(t, gateway.Options{Name: "gateway-2", Store: before.Store})
	after.Wait("it is served", func() bool { return after.Call("/unsafe/warm", "warm-after").Status == http.StatusOK })
	time.Sleep(time.Second)
	for i := range 6 {
		ask(after, "/unsafe/x", fmt.Sprintf("deadly-after-%d", i), deadly)
	}
	if n := m.crashes(); n != mostCrashes {
		t.Errorf("%d servers crashed, %d may", n, mostCrashes)
	}
}
