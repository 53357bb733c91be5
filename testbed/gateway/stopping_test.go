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

// clientLoad sends requests on keep-alive connections, with random pauses, until the gateway
// accepts no new connection or the load is stopped.
type asking struct {
	t *testing.T
	f *gateway.Fleet
	// succeeded, rejected, closed and interrupted count the outcomes of requests.
	whole, refused, closed, cut atomic.Int64
}

// runClient sends requests one after another until stop is closed; name is the prefix of their
// IDs.
func (a *asking) caller(name string, over <-chan struct{}) {
	var c *conn
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		default:
		}
		if c == nil {
			opened, err := net.Dial("tcp", a.f.Front)
			if err != nil {
				return
			}
			c = wrap(a.t, opened)
			defer func() { _ = opened.Close() }()
		}
		time.Sleep(rand.N(30 * time.Millisecond))
		id := fmt.Sprintf("%s-%d", name, n)
		if !a.ask(c, id) {
			c = nil
		}
	}
}

// send sends one request on a route of random type. It reports whether the connection stays
// open.
func (a *asking) ask(c *conn, id string) bool {
	path := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"}[rand.N(4)]
	_, _ = c.Write([]byte(post(path, id, 4)))
	if rand.N(2) == 0 {
		time.Sleep(rand.N(5 * time.Millisecond))
	}
	_, _ = c.Write([]byte("body"))
	got := c.receive("POST")
	switch {
	case got.Err == nil && got.Status == 200 && !unsigned(got):
		a.whole.Add(1)
	case got.Err == nil && got.Status >= 400:
		a.refused.Add(1)
	case errors.Is(got.Err, os.ErrDeadlineExceeded), unsigned(got), len(a.f.Arrivals(id)) > 0:
		a.cut.Add(1)
		a.t.Errorf("%s %s reached %d servers, and its client got %+v", path, id, len(a.f.Arrivals(id)), got)
	default:
		a.closed.Add(1)
	}
	return got.Err == nil && got.Header.Get("Connection") != "close"
}

// report logs the outcomes.
func (a *asking) report() {
	a.t.Logf("%d served, %d rejected, %d closed and not forwarded, %d interrupted", a.whole.Load(), a.refused.Load(), a.closed.Load(), a.cut.Load())
}

// loadClients is the number of concurrent clients.
const askers = 60

// Requests that arrive during a shutdown are served or not forwarded at all.
func TestRequestsBesideTheStopAreServedOrNotHandedOn(t *testing.T) {
	f, server := served(t, gateway.Options{Grace: 4 * time.Second})
	server.Do(slowly)
	a := &asking{t: t, f: f}
	var all sync.WaitGroup
	for n := range askers {
		all.Go(func() { a.caller(fmt.Sprint("c", n), nil) })
	}
	f.Wait("the requests to be served", func() bool { return a.whole.Load() > 10*askers })
	f.Stop()
	all.Wait()
	a.report()
}

// A request whose header or body is still arriving when the gateway stops accepting
// connections is served or not forwarded at all.
func TestRequestHalfSentAtTheStopIsServedOrNotHandedOn(t *testing.T) {
	whole := post("/unsafe/x", "half", 4) + "body"
	for name, at := range map[string]int{"nothing": 0, "a byte": 1, "a part of the header": 20, "the header": strings.Index(whole, "body"), "a part of the body": len(whole) - 2} {
		for used, first := range map[string]bool{"a new connection": false, "a kept connection": true} {
			t.Run(name+" on "+used, func(t *testing.T) {
				t.Parallel()
				f, _ := served(t, gateway.Options{Grace: 4 * time.Second})
				c := connect(t, f)
				if first {
					c.send(head("POST", "/safe/x", "first"))
					if got := c.receive("POST"); got.Status != 200 {
						t.Fatalf("%+v", got)
					}
				}
				began := time.Now()
				c.send(whole[:at])
				f.Stop()
				f.Wait("the gateway to stop accepting connections", func() bool {
					probe, err := net.Dial("tcp", f.Front)
					if err == nil {
						_ = probe.Close()
					}
					return errors.Is(err, syscall.ECONNREFUSED)
				})
				_, err := io.WriteString(c, whole[at:])
				got := c.receive("POST")
				t.Logf("wrote the rest: %v; got %d, %v; forwarded %d times", err, got.Status, got.Err, len(f.Arrivals("half")))
				if unsigned(got) || got.Err != nil && len(f.Arrivals("half")) > 0 {
					t.Errorf("forwarded %d times, got %+v", len(f.Arrivals("half")), got)
				}
				// The shutdown takes as long as the route's timeout. A request whose header
				// was complete before the shutdown has timed out when its body arrives, and is
				// rejected as not executed.
				notRun := got.Status == http.StatusRequestTimeout || got.Status == http.StatusServiceUnavailable
				late := notRun && at >= strings.Index(whole, "body") &&
					time.Since(began) >= 2*time.Second && len(f.Arrivals("half")) == 0
				if got.Err == nil && got.Status != 200 && !late {
					t.Errorf("a valid request got %+v", got)
				}
			})
		}
	}
}
