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
const maxCrashes = 3

// respondByRoute sends a complete response of the kind that the request's route expects.
func respondByRoute(c net.Conn, r *gateway.ReceivedRequest) bool {
	if strings.HasPrefix(r.Target, "/stream/") || strings.HasPrefix(r.Target, "/resume/") {
		return gateway.Events(3, 0, 0)(c, r)
	}
	return gateway.Respond("whole")(c, r)
}

// Guards against a request that crashes every server it runs on: its retries crash one server
// after another, until none is left for other callers.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFixture(t, gateway.Options{})
			servers := startCrashableServers(f, 8, respondByRoute)
			f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", "warm").Status == http.StatusOK })
			for i := range 12 {
				got := postBody(f, path, fmt.Sprintf("deadly-%d", i), crashBody)
				if got.Status == http.StatusOK {
					t.Fatalf("got %+v", got)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if n := servers.crashes(); n != maxCrashes {
				t.Errorf("%d servers crashed, at most %d may", n, maxCrashes)
			}
			began := time.Now()
			got := postBody(f, path, "held-back", crashBody)
			if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || time.Since(began) > 100*time.Millisecond {
				t.Errorf("got %+v after %v, want an immediate rejection", got, time.Since(began))
			}
			for _, other := range []struct{ path, body string }{{path, "harmless"}, {path + "y", crashBody + "!"}} {
				if got := postBody(f, other.path, "other", other.body); got.Status != http.StatusOK {
					t.Errorf("%s with another body: got %+v", other.path, got)
				}
			}
		})
	}
}

// Guards against gateways that count only the crashes they see themselves: each would let the
// request crash three servers.
func TestGatewaysShareQuarantine(t *testing.T) {
	t.Parallel()
	fixtures := gateway.StartGroup(t, 3, 0)
	servers := startCrashableServers(fixtures[0], 10, gateway.Respond("whole"))
	for i, f := range fixtures {
		f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", fmt.Sprintf("warm-%d", i)).Status == http.StatusOK })
	}
	for i := range 12 {
		postBody(fixtures[i%len(fixtures)], "/unsafe/x", fmt.Sprintf("deadly-%d", i), crashBody)
		// Gateways share observed crashes within 100 ms.
		time.Sleep(150 * time.Millisecond)
	}
	if n := servers.crashes(); n != maxCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, maxCrashes)
	}
	// A new gateway has observed none of the crashes.
	late := gateway.NewFixture(t, gateway.Options{Name: "late", Revoke: 5 * time.Second, Store: fixtures[0].Store})
	late.WaitFor("the gateway to serve", func() bool { return late.Post("/unsafe/warm", "warm-late").Status == http.StatusOK })
	time.Sleep(time.Second)
	postBody(late, "/unsafe/x", "deadly-late", crashBody)
	if n := servers.crashes(); n != maxCrashes {
		t.Errorf("%d servers crashed, one more through a new gateway", n)
	}
}

// Guards against quarantining requests that ran on the same servers as the crashing one and
// failed with it each time.
func TestRequestsOnCrashedServersAreNotQuarantined(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	servers := startCrashableServers(f, 6, gateway.Events(20, 0, 20*time.Millisecond))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/resume/warm", "warm").Status == http.StatusOK })
	var callers sync.WaitGroup
	completed, rejected := make([]int, 12), make([]int, 12)
	for n := range completed {
		callers.Go(func() {
			for i := range 8 {
				switch got := postBody(f, fmt.Sprintf("/resume/%d", n), fmt.Sprintf("beside-%d-%d", n, i), "harmless"); {
				case got.Status == http.StatusOK && got.Err == nil:
					completed[n]++
				case got.Status == http.StatusServiceUnavailable:
					rejected[n]++
				}
			}
		})
	}
	for i := range 30 {
		postBody(f, "/safe/x", fmt.Sprintf("deadly-%d", i), crashBody)
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	if n := servers.crashes(); n != maxCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, maxCrashes)
	}
	for n := range completed {
		if rejected[n] > 0 || completed[n] < 6 {
			t.Errorf("caller %d: %d of 8 complete, %d rejected", n, completed[n], rejected[n])
		}
	}
}

// Guards against a fourth crash when a harmless request ran on the same server as the crashing
// one each time, so that both are suspects. After the second crash the two are sent to different
// servers, even if one of these is in another zone, so that the next crash distinguishes them.
func TestSuspectsOfTheSameCrashesRunOnSeparateServers(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	servers := startCrashableServers(f, 1, func(c net.Conn, r *gateway.ReceivedRequest) bool {
		if strings.HasPrefix(r.Target, "/stream/") {
			return gateway.Events(80, 0, 25*time.Millisecond)(c, r)
		}
		return gateway.Respond("whole")(c, r)
	})
	var callers sync.WaitGroup
	defer callers.Wait()
	// startHarmless starts a harmless request and returns the server that runs it.
	startHarmless := func(id string) string {
		callers.Go(func() { postBody(f, "/stream/x", id, "harmless") })
		f.WaitFor("the request to run", func() bool { return len(f.ReceivedRequests(id)) > 0 })
		return f.ReceivedRequests(id)[0].Server
	}
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/x", "warm").Status == http.StatusOK })
	for i := range maxCrashes - 1 {
		startHarmless(fmt.Sprintf("beside-%d", i))
		postBody(f, "/unsafe/x", fmt.Sprintf("deadly-%d", i), crashBody)
		callers.Wait()
		f.WaitFor("a server to be back", func() bool { return f.Post("/unsafe/x", fmt.Sprintf("back-%d", i)).Status == http.StatusOK })
	}
	occupied := startHarmless("beside-last")
	otherZone := f.StartServer("far", gateway.Respond("whole"))
	f.Store.PutJSON("servers", otherZone.Instance, map[string]any{
		"service": "plain", "addr": otherZone.Addr, "zone": "y", "version": "v1", "slots": 8, "state": "ready", "seq": 2, "warmup-left-ms": 0,
	})
	f.WaitFor("the gateway to know both servers", func() bool { return strings.Contains(readMetrics(t, f), "applepier_backend_servers 2\n") })
	postBody(f, "/unsafe/x", "deadly-last", crashBody)
	if sent := f.ReceivedRequests("deadly-last"); len(sent) != 1 || sent[0].Server == occupied {
		t.Errorf("sent %d times, want once and not to %s, where the other suspect runs", len(sent), occupied)
	}
	if servers.crashes() != maxCrashes-1 {
		t.Errorf("%d servers crashed, want %d", servers.crashes(), maxCrashes-1)
	}
}

// A server that closes connections without a response but keeps running hasn't crashed: its
// requests failed and may succeed on a later attempt, so none is quarantined.
func TestInterruptedResponsesOfRunningServersQuarantineNothing(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	for i := range 4 {
		f.StartServer(fmt.Sprintf("i-%d", i), gateway.CloseConnection)
	}
	f.WaitFor("the servers to be listed", func() bool { f.Post("/unsafe/x", "broken"); return len(f.ReceivedRequests("broken")) > 8 })
	if got := f.Post("/unsafe/x", "again"); got.Status != http.StatusBadGateway || len(f.ReceivedRequests("again")) != 1 {
		t.Errorf("got %+v, sent %d times", got, len(f.ReceivedRequests("again")))
	}
}

// Guards against losing the quarantine when all gateways lose power at once.
func TestQuarantineSurvivesLossOfAllGateways(t *testing.T) {
	t.Parallel()
	before := gateway.NewFixture(t, gateway.Options{})
	servers := startCrashableServers(before, 8, respondByRoute)
	before.WaitFor("the gateway to serve", func() bool { return before.Post("/unsafe/warm", "warm").Status == http.StatusOK })
	for i := range 6 {
		postBody(before, "/unsafe/x", fmt.Sprintf("deadly-%d", i), crashBody)
		time.Sleep(50 * time.Millisecond)
	}
	before.Stop()
	<-before.Stopped
	after := gateway.NewFixture(t, gateway.Options{Name: "gateway-2", Store: before.Store})
	after.WaitFor("the gateway to serve", func() bool { return after.Post("/unsafe/warm", "warm-after").Status == http.StatusOK })
	time.Sleep(time.Second)
	for i := range 6 {
		postBody(after, "/unsafe/x", fmt.Sprintf("deadly-after-%d", i), crashBody)
	}
	if n := servers.crashes(); n != maxCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, maxCrashes)
	}
}
