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

const (
	// lateGrace is the time from the signal until the gateway's process is ended.
	lateGrace = 8 * time.Second
	// slowWork is how long the server takes for a request to /long or /resumed, and rejectAfter after which time
	// it rejects one to /rejected.
	slowWork    = 4 * time.Second
	rejectAfter = 3500 * time.Millisecond
	// maxRefusalWait is how long a caller may wait for a refusal, which needs no server.
	maxRefusalWait = 500 * time.Millisecond
)

// lateRoutes are routes whose timeout is longer than the grace period, and one with a short timeout.
const lateRoutes = `,{"name":"long","host":"h.example","prefix":"/long/","type":"unsafe","timeout-ms":15000,"service":"plain","attempts":1}
	,{"name":"rejected","host":"h.example","prefix":"/rejected/","type":"unsafe","timeout-ms":15000,"service":"plain","attempts":2}
	,{"name":"resumed","host":"h.example","prefix":"/resumed/","type":"stream","timeout-ms":15000,"service":"plain","attempts":2,"resumable":true}
	,{"name":"learned","host":"h.example","prefix":"/learned/","type":"unsafe","timeout-ms":15000,"service":"plain","attempts":1}
	,{"name":"limited","host":"h.example","prefix":"/limited/","type":"unsafe","timeout-ms":6000,"service":"plain","attempts":1}
	,{"name":"brief","host":"h.example","prefix":"/brief/","type":"unsafe","timeout-ms":1000,"service":"plain","attempts":1}`

// respondLate is the script of the server.
func respondLate(c net.Conn, r *gateway.ReceivedRequest) bool {
	switch {
	case strings.HasPrefix(r.Target, "/long"), strings.HasPrefix(r.Target, "/limited"), strings.HasPrefix(r.Target, "/resumed"):
		time.Sleep(slowWork)
	case strings.HasPrefix(r.Target, "/rejected"):
		time.Sleep(rejectAfter)
		return gateway.Reject(http.StatusServiceUnavailable)(c, r)
	}
	return gateway.Respond("whole")(c, r)
}

// Guards against a request that arrives late in a planned stop, is sent to a server although it can't be done
// in the time that is left, and cut without an answer. It gets a refusal before it is sent; what can be done is
// done.
func TestLateRequestsDuringShutdown(t *testing.T) {
	cases := []struct {
		path string
		// at is when the request is complete, after the signal. Before, only the part of it up to split is sent.
		at    time.Duration
		split string
		// status is what the caller gets, sends how often the request is sent to a server.
		status, sends int
	}{
		{"/long/x", 0, "all", 200, 1},
		{"/long/x", 1000 * time.Millisecond, "nothing", 200, 1},
		{"/long/x", 2400 * time.Millisecond, "head", 200, 1},
		{"/long/x", 4800 * time.Millisecond, "head", 503, 0},
		{"/long/x", 5000 * time.Millisecond, "part of head", 503, 0},
		{"/long/x", 7000 * time.Millisecond, "head", 503, 0},
		{"/limited/x", 4800 * time.Millisecond, "head", 503, 0},
		{"/resumed/x", 5000 * time.Millisecond, "head", 503, 0},
		{"/rejected/x", 1000 * time.Millisecond, "nothing", 503, 1},
		{"/learned/x", 5000 * time.Millisecond, "head", 200, 1},
		{"/learned/x", 7000 * time.Millisecond, "part of head", 200, 1},
		{"/brief/x", 5000 * time.Millisecond, "part of head", 200, 1},
		{"/brief/x", 7300 * time.Millisecond, "part of head", 503, 0},
	}
	f, server := newServingFixture(t, gateway.Options{Grace: lateGrace})
	f.StartServer("i-2", respondLate)
	server.SetScript(respondLate)
	f.PutState(2, lateRoutes, "")
	f.WaitFor("the routes to be in force", func() bool { return f.Post("/learned/x", "warm").Status == http.StatusOK })
	for i := range 20 {
		f.Post("/learned/x", fmt.Sprintf("learned-%d", i))
	}
	f.Stop()
	stopped := time.Now()
	var callers sync.WaitGroup
	for i, c := range cases {
		callers.Go(func() {
			id := fmt.Sprintf("late-%d", i)
			request := postHead(c.path, id, 4) + "body"
			split := map[string]int{"all": len(request), "nothing": 0, "head": len(request) - 2, "part of head": 30}[c.split]
			// The connection is opened as late as its listener allows.
			time.Sleep(min(c.at, 2400*time.Millisecond))
			caller := dialRaw(t, f)
			caller.send(request[:split])
			time.Sleep(time.Until(stopped.Add(c.at)))
			caller.send(request[split:])
			began := time.Now()
			got := caller.receive("POST")
			took := time.Since(began)
			sends := len(f.ReceivedRequests(id))
			if got.Err != nil || got.Status != c.status || sends != c.sends || got.Status == 200 && got.Body != "whole" {
				t.Errorf("%s complete at %v: %d, %q, %v after %v, sent %d times; want %d, sent %d times", c.path, c.at, got.Status, got.Body, got.Err, took, sends, c.status, c.sends)
			}
			if got.Status == http.StatusServiceUnavailable {
				if got.Header.Get("Retry-After") == "" || got.Header.Get("Connection") != "close" || c.sends == 0 && took > maxRefusalWait {
					t.Errorf("%s complete at %v: refused after %v with %v", c.path, c.at, took, got.Header)
				}
			}
		})
	}
	callers.Wait()
}
