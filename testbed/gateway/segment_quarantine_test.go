package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// maxSegmentCrashes is how many servers may end under one segment: five until it has to be known,
// and three afterwards.
const maxSegmentCrashes = 5 + 3

// sendDeadly sends requests with the deadly segment, one after another through the gateways in turn, each
// with a body and a last segment of its own.
func sendDeadly(gateways []*gateway.Fixture, path, id string, count int, pause time.Duration, shared ...string) {
	for i := range count {
		segments := append(slices.Clone(shared), fmt.Sprintf("%x:5", 1000+i))
		postPrompt(gateways[i%len(gateways)], path, fmt.Sprintf("%s-%d", id, i), segments...)
		time.Sleep(pause)
	}
}

// checkCrashes fails the test if more servers crashed than may.
func checkCrashes(t *testing.T, servers *crashableServers) {
	t.Helper()
	if n := servers.crashes(); n > maxSegmentCrashes {
		t.Errorf("%d servers crashed, at most %d may", n, maxSegmentCrashes)
	}
}

// Guards against a prompt segment that crashes every server it runs on, in requests of which no two
// are alike: each is new, and the servers end one after another.
func TestSegmentThatCrashesServersIsQuarantined(t *testing.T) {
	prompts := map[string][]string{
		"first":        {"dead:20"},
		"middle":       {"1a:10", "dead:20", "2b:10"},
		"one of eight": {"1a:1", "2b:1", "3c:1", "4d:1", "5e:1", "dead:1", "6f:1"},
		"twice":        {"dead:20", "1a:10", "dead:20"},
	}
	for name, shared := range prompts {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := gateway.NewFixture(t, gateway.Options{})
				servers := startServersCrashingOn(f, 16, respondByRoute, hasSegment(deadlySegment))
				f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", "warm").Status == http.StatusOK })
				sendDeadly([]*gateway.Fixture{f}, path, "deadly", 24, 60*time.Millisecond, shared...)
				checkCrashes(t, servers)
				began := time.Now()
				got := postPrompt(f, path, "refused", append(slices.Clone(shared), "9999:5")...)
				if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || time.Since(began) > 100*time.Millisecond {
					t.Errorf("got %+v after %v, want an immediate rejection", got, time.Since(began))
				}
			})
		}
	}
}

// Guards against a server that ends after the first event of an answer, in the middle of one or
// between two: events that were forwarded don't show that the segment is sound.
func TestSegmentThatCrashesServersInTheirAnswerIsQuarantined(t *testing.T) {
	for name, begun := range map[string]string{"after an event": gateway.Event(1), "in an event": gateway.Event(1)[:7], "after the header": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFixture(t, gateway.Options{})
			servers := startServersCrashingOn(f, 16, respondByRoute, hasSegment(deadlySegment))
			servers.setLastWords(begun)
			f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", "warm").Status == http.StatusOK })
			sendDeadly([]*gateway.Fixture{f}, "/stream/x", "deadly", 24, 60*time.Millisecond, "1a:10", "dead:20")
			checkCrashes(t, servers)
		})
	}
}

// Guards against requests that are refused because they share their customer, route, first segment
// and other segments with those that crash servers.
func TestRequestsThatShareSoundSegmentsAreServed(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	servers := startServersCrashingOn(f, 8, gateway.Events(3, 0, 10*time.Millisecond), hasSegment(deadlySegment))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/stream/warm", "warm").Status == http.StatusOK })
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, late, lateServed := 0, 0, 0
	stop := make(chan struct{})
	for n := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				refused := servers.crashes() >= 3
				got := postPrompt(f, "/stream/x", fmt.Sprintf("sound-%d-%d", n, i), "1a:10", fmt.Sprintf("%x:10", 0x20+i%3), fmt.Sprintf("%x:5", 5000+100*n+i))
				ok := got.Status == http.StatusOK && got.Err == nil
				mu.Lock()
				if ok {
					served++
				}
				if refused {
					late++
					if ok {
						lateServed++
					}
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	for i := range 30 {
		postPrompt(f, "/stream/x", fmt.Sprintf("deadly-%d", i), "1a:10", fmt.Sprintf("%x:10", 0x20+i%3), "dead:20", fmt.Sprintf("%x:5", 1000+i))
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	checkCrashes(t, servers)
	if late < 40 || lateServed*10 < late*8 {
		t.Errorf("%d of %d sound requests served after the third crash (%d in all), want 8 of 10", lateServed, late, served)
	}
}

// Guards against a segment that always stands beside the deadly one being refused in its place, and
// with it the requests that have only the sound one.
func TestSegmentBesideDeadlyOneIsNotQuarantined(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	servers := startServersCrashingOn(f, 16, respondByRoute, hasSegment(deadlySegment))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", "warm").Status == http.StatusOK })
	sendDeadly([]*gateway.Fixture{f}, "/stream/x", "deadly", 24, 60*time.Millisecond, "1a:10", "dead:20")
	checkCrashes(t, servers)
	f.WaitFor("servers to be back", func() bool { return f.Post("/stream/x", "back").Status == http.StatusOK })
	for i := range 5 {
		if got := postPrompt(f, "/stream/x", fmt.Sprintf("beside-%d", i), "1a:10", fmt.Sprintf("%x:5", 2000+i)); got.Status != http.StatusOK {
			t.Errorf("a request with the sound segment only: got %+v", got)
		}
	}
	if got := postPrompt(f, "/stream/x", "deadly-alone", "dead:20", "3000:5"); got.Status == http.StatusOK {
		t.Errorf("got %+v", got)
	}
}

// Guards against gateways that each let the segment crash servers until they know it themselves,
// among them one that starts later.
func TestGatewaysShareSegmentQuarantine(t *testing.T) {
	t.Parallel()
	fixtures := gateway.StartGroup(t, 3, 0)
	servers := startServersCrashingOn(fixtures[0], 12, gateway.Respond("whole"), hasSegment(deadlySegment))
	for i, f := range fixtures {
		f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", fmt.Sprintf("warm-%d", i)).Status == http.StatusOK })
	}
	// Gateways share observed crashes within 100 ms.
	sendDeadly(fixtures, "/unsafe/x", "deadly", 24, 150*time.Millisecond, "1a:10", "dead:20")
	checkCrashes(t, servers)
	crashed := servers.crashes()
	late := gateway.NewFixture(t, gateway.Options{Name: "late", Revoke: 5 * time.Second, Store: fixtures[0].Store})
	late.WaitFor("the gateway to serve", func() bool { return late.Post("/unsafe/warm", "warm-late").Status == http.StatusOK })
	time.Sleep(time.Second)
	sendDeadly([]*gateway.Fixture{late}, "/unsafe/x", "deadly-late", 6, 0, "1a:10", "dead:20")
	if n := servers.crashes(); n != crashed {
		t.Errorf("%d servers crashed, %d more through a new gateway", n, n-crashed)
	}
}

// Guards against losing the quarantine of a segment when all gateways lose power at once.
func TestSegmentQuarantineSurvivesLossOfAllGateways(t *testing.T) {
	t.Parallel()
	before := gateway.NewFixture(t, gateway.Options{})
	servers := startServersCrashingOn(before, 12, respondByRoute, hasSegment(deadlySegment))
	before.WaitFor("the gateway to serve", func() bool { return before.Post("/unsafe/warm", "warm").Status == http.StatusOK })
	sendDeadly([]*gateway.Fixture{before}, "/unsafe/x", "deadly", 10, 50*time.Millisecond, "1a:10", "dead:20")
	checkCrashes(t, servers)
	crashed := servers.crashes()
	before.Stop()
	<-before.Stopped
	after := gateway.NewFixture(t, gateway.Options{Name: "gateway-2", Store: before.Store})
	after.WaitFor("the gateway to serve", func() bool { return after.Post("/unsafe/warm", "warm-after").Status == http.StatusOK })
	time.Sleep(time.Second)
	sendDeadly([]*gateway.Fixture{after}, "/unsafe/x", "deadly-after", 10, 0, "1a:10", "dead:20")
	if n := servers.crashes(); n != crashed {
		t.Errorf("%d servers crashed, %d more through a gateway that started later", n, n-crashed)
	}
}

// A response without a length or chunks that ends because its server has ended is neither complete
// nor evidence that its segments are sound.
func TestResponseEndedByCrashIsNotComplete(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFixture(t, gateway.Options{})
			servers := startServersCrashingOn(f, 16, closeDelimited(path), hasSegment(deadlySegment))
			servers.setLastWordsUntilClose(gateway.Event(1))
			f.WaitFor("the gateway to serve", func() bool { return f.Post(path, "warm").Status == http.StatusOK })
			for i := range 24 {
				got := postPrompt(f, path, fmt.Sprintf("deadly-%d", i), "1a:10", "dead:20", fmt.Sprintf("%x:5", 1000+i))
				if got.Status == http.StatusOK && got.Err == nil {
					t.Errorf("request %d: a response that its server's end broke off looks complete: %+v", i, got)
				}
				time.Sleep(60 * time.Millisecond)
			}
			checkCrashes(t, servers)
			f.WaitFor("servers to be back", func() bool { return f.Post(path, "back").Status == http.StatusOK })
			if got := postPrompt(f, path, "sound", "1a:10", "7:5"); got.Status != http.StatusOK || got.Err != nil {
				t.Errorf("a response that ends with its connection: got %+v", got)
			}
		})
	}
}

// closeDelimited returns a script that sends a complete response without a length or chunks, which
// ends with its connection.
func closeDelimited(path string) gateway.Script {
	body := "whole"
	if strings.HasPrefix(path, "/stream/") {
		body = gateway.Event(1) + gateway.Event(2)
	}
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		// If the write fails, the gateway has closed the connection.
		_, _ = c.Write([]byte(gateway.ResponseHead(r, http.StatusOK, "Connection: close") + body))
		return false
	}
}

// Operators can list what is quarantined and lift it, at one gateway for all, with its row in the store.
func TestOperatorsLiftQuarantine(t *testing.T) {
	t.Parallel()
	fixtures := gateway.StartGroup(t, 2, 0)
	servers := startServersCrashingOn(fixtures[0], 12, respondByRoute, hasSegment(deadlySegment))
	for i, f := range fixtures {
		f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/warm", fmt.Sprintf("warm-%d", i)).Status == http.StatusOK })
	}
	sendDeadly(fixtures[:1], "/stream/x", "deadly", 8, 60*time.Millisecond, "dead:20")
	crashed := servers.crashes()
	list := func(f *gateway.Fixture) string {
		return f.Do(f.AdminRequest(http.MethodGet, "/quarantine")).Body
	}
	fixtures[1].WaitFor("the other gateway to list the segment", func() bool {
		return strings.Contains(list(fixtures[1]), `"kind":"segment","id":"dead"`)
	})
	fixtures[0].WaitFor("the store to have the segment", func() bool { return slices.Contains(fixtures[0].Store.Keys("quarantined-segments"), "dead") })
	for path, want := range map[string]int{"/quarantine/segment/zz": 400, "/quarantine/other/dead": 400, "/quarantine/segment/beef": 404, "/quarantine/request/dead": 404} {
		if got := fixtures[1].Do(fixtures[1].AdminRequest(http.MethodDelete, path)); got.Status != want {
			t.Errorf("DELETE %s: status %d, want %d", path, got.Status, want)
		}
	}
	// The servers have been repaired.
	servers.setCrashesOn(func(*gateway.ReceivedRequest) bool { return false })
	if got := fixtures[1].Do(fixtures[1].AdminRequest(http.MethodDelete, "/quarantine/segment/dead")); got.Status != http.StatusNoContent {
		t.Errorf("DELETE: got %+v", got)
	}
	for i, f := range fixtures {
		f.WaitFor("the segment to be released", func() bool { return list(f) == "[]\n" })
		if got := postPrompt(f, "/stream/x", fmt.Sprintf("released-%d", i), "dead:20", "5000:5"); got.Status != http.StatusOK {
			t.Errorf("gateway %d: got %+v", i, got)
		}
	}
	fixtures[0].WaitFor("the store not to have the segment", func() bool { return !slices.Contains(fixtures[0].Store.Keys("quarantined-segments"), "dead") })
	if servers.crashes() != crashed {
		t.Errorf("%d servers crashed after the quarantine was lifted", servers.crashes()-crashed)
	}
}
