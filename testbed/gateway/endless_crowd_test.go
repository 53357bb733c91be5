package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

const (
	// smallestVMMB is the memory of the smallest VM on which a gateway runs. A process that exceeds it is
	// ended, and with it all requests.
	smallestVMMB = 134
	// badServers of a service send bytes without end, all of them but one.
	badServers = 11
	// othersRate and othersTime are the requests a second to another service meanwhile, and for how long.
	othersRate = 100
	othersTime = 4 * time.Second
)

// calmRoute is a route to a service of its own, for requests that don't concern the servers of others.
const calmRoute = `,{"name":"calm","host":"h.example","prefix":"/calm/","type":"unsafe","timeout-ms":2000,"service":"calm","attempts":1}`

// Guards against a gateway whose memory is exhausted by bytes without end, and the requests to another service
// that end with it, where most servers of a service send them at once.
func TestEndlessBytesOfManyServers(t *testing.T) {
	program := buildProgram(t)
	cases := append(endlessCases(), endlessCase{name: "after a response", path: "/safe/x", forwarded: true})
	for _, c := range cases {
		if c.pause > forwardedPause {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			script := endlessAfterResponse
			if c.begin != nil {
				script = endless(true, c.begin, c.unit, c.pause)
			}
			f, g := startEndlessCrowd(t, program, script)
			sendBesideOthers(t, f, func() {
				const requests = 160
				var callers sync.WaitGroup
				for i := range requests {
					callers.Go(func() { discardResponse(t, f, c.path, fmt.Sprintf("request-%d", i)) })
					time.Sleep(othersTime / requests)
				}
				callers.Wait()
			})
			checkPeakMemory(t, g)
		})
	}
}

// Guards against the same where the callers don't read the bytes that are forwarded to them.
func TestEndlessBytesForCallersThatDoNotRead(t *testing.T) {
	program := buildProgram(t)
	for _, c := range endlessCases() {
		if !c.forwarded {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, g := startEndlessCrowd(t, program, endless(true, c.begin, c.unit, c.pause))
			sendBesideOthers(t, f, func() {
				const callers = 600
				for i := range callers {
					caller := dialRaw(t, f)
					caller.send(requestHead("POST", c.path, fmt.Sprintf("unread-%d", i), "Content-Length: 0"))
					time.Sleep(othersTime / callers)
				}
			})
			checkPeakMemory(t, g)
		})
	}
}

// discardResponse sends a request and reads its response without keeping it.
func discardResponse(t *testing.T, f *gateway.Fixture, path, id string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	// Without a response, or only with a part of one: most servers send nothing else.
	resp, err := client.Do(f.Request(t.Context(), http.MethodPost, path, id, nil))
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Guards against a gateway whose memory is exhausted by a store that responds to each call without end.
func TestEndlessBytesOfStore(t *testing.T) {
	f, g := startEndlessCrowd(t, buildProgram(t), gateway.Respond("whole"))
	f.Store.SetFault(rowstore.EndlessBodies)
	sendBesideOthers(t, f, func() {})
	checkPeakMemory(t, g)
}

// endlessAfterResponse sends a complete response and then, while no request is waiting, bytes without end.
func endlessAfterResponse(c net.Conn, r *gateway.ReceivedRequest) bool {
	if _, err := io.WriteString(c, gateway.ResponseHead(r, 200, "Content-Length: 5", "Keep-Alive: timeout=60")+"whole"); err != nil {
		return false
	}
	// The connection is kept first.
	time.Sleep(50 * time.Millisecond)
	return gateway.Endless(gateway.BeginWith(""), strings.Repeat("x", 1024), 0, endlessLimit)(c, r)
}

// startEndlessCrowd starts a gateway in a process of its own, badServers that respond with the script, and a
// sound server of the same service and of another one.
func startEndlessCrowd(t *testing.T, program string, script gateway.Script) (*gateway.Fixture, *shippedGateway) {
	t.Helper()
	g := newShippedGateway(t, program)
	f := gateway.NewFixture(t, gateway.Options{Run: g.run, RetryRatio: 4, MemoryMB: smallestVMMB})
	f.PutState(2, calmRoute, "")
	for i := range badServers {
		f.StartServer(fmt.Sprintf("i-bad-%d", i), script)
	}
	f.StartServer("i-good", func(c net.Conn, r *gateway.ReceivedRequest) bool {
		if strings.HasPrefix(r.Target, "/resume") {
			return gateway.Events(3, 0, 0)(c, r)
		}
		return gateway.Respond("whole")(c, r)
	})
	calm := f.StartServer("i-calm", gateway.Respond("calm"))
	f.Store.PutJSON("servers", calm.Instance, map[string]any{
		"service": "calm", "addr": calm.Addr, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "seq": 2, "warmup-left-ms": 0,
	})
	f.WaitFor("the gateway to know all servers", func() bool { return usableServers(t, f) == badServers+2 })
	f.WaitFor("the other service to be used", func() bool { return f.Post("/calm/x", "warm-calm").Status == http.StatusOK })
	return f, g
}

// sendBesideOthers calls send while requests to the other service are sent, which must all be served.
func sendBesideOthers(t *testing.T, f *gateway.Fixture, send func()) {
	t.Helper()
	var others, sending sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]int{}
	sending.Go(send)
	sent := 0
	ticker := time.NewTicker(time.Second / othersRate)
	defer ticker.Stop()
	for end := time.Now().Add(othersTime); time.Now().Before(end); sent++ {
		<-ticker.C
		id := fmt.Sprintf("other-%d", sent)
		others.Go(func() {
			if got := f.Post("/calm/x", id); got.Status != http.StatusOK || got.Body != "calm" || got.Err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed[fmt.Sprintf("%d %q %v", got.Status, got.Body, got.Err)]++
			}
		})
	}
	others.Wait()
	sending.Wait()
	if len(failed) > 0 {
		t.Errorf("of %d requests to the other service failed: %v", sent, failed)
	}
}

// checkPeakMemory checks that the gateway has not used more memory than the smallest VM has.
func checkPeakMemory(t *testing.T, g *shippedGateway) {
	t.Helper()
	peak, err := g.peakMemoryMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %.0f MB", peak)
	if peak > smallestVMMB {
		t.Errorf("peak memory %.0f MB, the smallest VM has %d", peak, smallestVMMB)
	}
}
