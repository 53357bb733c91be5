package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// callerLoad sends requests on keep-alive connections, with random pauses, until the gateway
// accepts no new connection or the load is stopped.
type callerLoad struct {
	t *testing.T
	f *gateway.Fixture
	// succeeded, rejected, closed and interrupted count the outcomes of requests.
	succeeded, rejected, closed, interrupted atomic.Int64
}

// runCaller sends requests one after another until stop is closed; name is the prefix of their
// IDs.
func (l *callerLoad) runCaller(name string, stop <-chan struct{}) {
	var c *rawConn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			opened, err := net.Dial("tcp", l.f.GatewayAddr)
			if err != nil {
				return
			}
			c = newRawConn(l.t, opened)
			defer func() { _ = opened.Close() }()
		}
		time.Sleep(rand.N(30 * time.Millisecond))
		id := fmt.Sprintf("%s-%d", name, n)
		if !l.send(c, id) {
			c = nil
		}
	}
}

// send sends one request on a route of random type. It reports whether the connection stays
// open.
func (l *callerLoad) send(c *rawConn, id string) bool {
	path := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"}[rand.N(4)]
	_, _ = c.Write([]byte(postHead(path, id, 4)))
	if rand.N(2) == 0 {
		time.Sleep(rand.N(5 * time.Millisecond))
	}
	_, _ = c.Write([]byte("body"))
	got := c.receive("POST")
	switch {
	case got.Err == nil && got.Status == 200 && !unsignedSuccess(got):
		l.succeeded.Add(1)
	case got.Err == nil && got.Status >= 400:
		l.rejected.Add(1)
	case errors.Is(got.Err, os.ErrDeadlineExceeded), unsignedSuccess(got), len(l.f.ReceivedRequests(id)) > 0:
		l.interrupted.Add(1)
		l.t.Errorf("%s %s reached %d servers, and its caller got %+v", path, id, len(l.f.ReceivedRequests(id)), got)
	default:
		l.closed.Add(1)
	}
	return got.Err == nil && got.Header.Get("Connection") != "close"
}

// report logs the outcomes.
func (l *callerLoad) report() {
	l.t.Logf("%d served, %d rejected, %d closed and not forwarded, %d interrupted", l.succeeded.Load(), l.rejected.Load(), l.closed.Load(), l.interrupted.Load())
}

// loadCallers is the number of concurrent callers.
const loadCallers = 60

// Requests that arrive during a shutdown are served or not forwarded at all.
func TestRequestsDuringShutdown(t *testing.T) {
	f, server := newServingFixture(t, gateway.Options{Grace: 4 * time.Second})
	server.SetScript(respondSlowly)
	load := &callerLoad{t: t, f: f}
	var callers sync.WaitGroup
	for n := range loadCallers {
		callers.Go(func() { load.runCaller(fmt.Sprint("c", n), nil) })
	}
	f.WaitFor("the requests to be served", func() bool { return load.succeeded.Load() > 10*loadCallers })
	f.Stop()
	callers.Wait()
	load.report()
}

// A request whose header or body is still arriving when the gateway stops accepting
// connections is served or not forwarded at all.
func TestPartialRequestDuringShutdown(t *testing.T) {
	request := postHead("/unsafe/x", "half", 4) + "body"
	for name, split := range map[string]int{"nothing": 0, "a byte": 1, "a part of the header": 20, "the header": strings.Index(request, "body"), "a part of the body": len(request) - 2} {
		for connKind, keepAlive := range map[string]bool{"a new connection": false, "a keep-alive connection": true} {
			t.Run(name+" on "+connKind, func(t *testing.T) {
				t.Parallel()
				f, _ := newServingFixture(t, gateway.Options{Grace: 4 * time.Second})
				c := dialRaw(t, f)
				if keepAlive {
					c.send(requestHead("POST", "/safe/x", "first"))
					if got := c.receive("POST"); got.Status != 200 {
						t.Fatalf("first request: got %+v", got)
					}
				}
				began := time.Now()
				c.send(request[:split])
				f.Stop()
				f.WaitFor("the gateway to stop accepting connections", func() bool {
					probe, err := net.Dial("tcp", f.GatewayAddr)
					if err == nil {
						_ = probe.Close()
					}
					return errors.Is(err, syscall.ECONNREFUSED)
				})
				_, err := io.WriteString(c, request[split:])
				got := c.receive("POST")
				t.Logf("wrote the rest: %v; got %d, %v; forwarded %d times", err, got.Status, got.Err, len(f.ReceivedRequests("half")))
				if unsignedSuccess(got) || got.Err != nil && len(f.ReceivedRequests("half")) > 0 {
					t.Errorf("forwarded %d times, got %+v", len(f.ReceivedRequests("half")), got)
				}
				// The shutdown takes as long as the route's timeout. A request whose header
				// was complete before the shutdown has timed out when its body arrives, and is
				// rejected as not executed.
				notRun := got.Status == http.StatusRequestTimeout || got.Status == http.StatusServiceUnavailable
				late := notRun && split >= strings.Index(request, "body") &&
					time.Since(began) >= 2*time.Second && len(f.ReceivedRequests("half")) == 0
				if got.Err == nil && got.Status != 200 && !late {
					t.Errorf("a valid request got %+v", got)
				}
			})
		}
	}
}
