package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// respondSlowly responds after 20 ms, so that a connection closed while the request is in
// flight is closed before the response.
func slowly(c net.Conn, a *gateway.Arrival) bool {
	select {
	case <-time.After(20 * time.Millisecond):
	case <-a.Left:
		return false
	}
	return gateway.Answer("whole")(c, a)
}

const (
	// idleClients is the number of connections that stay idle until the gateway is about to
	// close them, and idleRounds how often each does.
	crossers  = 150
	crossings = 8
	// sendJitter is the range over which the times of their requests are spread.
	spread = 4 * time.Millisecond
)

// measureIdleTime returns how long the gateway keeps an idle connection after the end of a
// response.
func kept(t *testing.T, f *gateway.Fleet) time.Duration {
	t.Helper()
	c := connect(t, f)
	c.send(head("POST", "/unsafe/x", "kept"))
	if got := c.receive("POST"); got.Status != 200 {
		t.Fatalf("%+v", got)
	}
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(patience))
	if _, err := c.in.Peek(1); !errors.Is(err, io.EOF) {
		t.Fatalf("idle connection: %v, want EOF", err)
	}
	return time.Since(began)
}

// A request that arrives while the gateway closes its idle connection is served or not
// forwarded at all.
func TestRequestsThatCrossTheCloseForIdlenessAreNotCut(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	f, server := served(t, gateway.Options{Log: zap.New(core)})
	limitIdle(f, 2, time.Millisecond)
	rest := kept(t, f)
	server.Do(slowly)
	var whole, closed, cut atomic.Int64
	cross := func(c *conn, id string) {
		_, _ = c.Write([]byte(head("POST", "/unsafe/x", "before-"+id)))
		if got := c.receive("POST"); got.Status != 200 {
			t.Errorf("before %s: %+v", id, got)
			return
		}
		time.Sleep(rest - rand.N(spread))
		_, _ = c.Write([]byte(head("POST", "/unsafe/x", id)))
		got := c.receive("POST")
		switch {
		case got.Err == nil && !unsigned(got):
			whole.Add(1)
		case unsigned(got), len(f.Arrivals(id)) > 0:
			cut.Add(1)
			t.Errorf("%s reached a server, and its client got %+v", id, got)
			for _, line := range lines.FilterField(zap.String("request", id)).All() {
				t.Logf("%s: %s %v after %v", id, line.Message, line.ContextMap()["reason"], line.ContextMap()["took"])
			}
		default:
			closed.Add(1)
		}
	}
	for round := range crossings {
		var all sync.WaitGroup
		for n := range crossers {
			c := connect(t, f)
			all.Go(func() { cross(c, fmt.Sprintf("crosses-%d-%d", n, round)) })
		}
		all.Wait()
	}
	t.Logf("%d served, %d closed and not forwarded, %d interrupted", whole.Load(), closed.Load(), cut.Load())
}
