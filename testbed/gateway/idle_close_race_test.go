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
func respondSlowly(c net.Conn, r *gateway.ReceivedRequest) bool {
	select {
	case <-time.After(20 * time.Millisecond):
	case <-r.Closed:
		return false
	}
	return gateway.Respond("whole")(c, r)
}

const (
	// idleCallers is the number of connections in each of idleRounds rounds that stay idle
	// until the gateway is about to close them.
	idleCallers = 150
	idleRounds  = 8
	// sendJitter is the maximum time before the expected close at which a caller sends its
	// request.
	sendJitter = 4 * time.Millisecond
)

// measureIdleTime returns how long the gateway keeps an idle connection after the end of a
// response.
func measureIdleTime(t *testing.T, f *gateway.Fixture) time.Duration {
	t.Helper()
	c := dialRaw(t, f)
	c.send(requestHead("POST", "/unsafe/x", "kept"))
	if got := c.receive("POST"); got.Status != 200 {
		t.Fatalf("first request: got %+v", got)
	}
	idleSince := time.Now()
	_ = c.SetReadDeadline(idleSince.Add(readTimeout))
	if _, err := c.reader.Peek(1); !errors.Is(err, io.EOF) {
		t.Fatalf("idle connection: %v, want EOF", err)
	}
	return time.Since(idleSince)
}

// A request that arrives while the gateway closes its idle connection is served or not
// forwarded at all.
func TestRequestsDuringIdleCloseAreNotInterrupted(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f, server := newServingFixture(t, gateway.Options{Log: zap.New(core)})
	applyIdleTimeout(f, 2, time.Millisecond)
	idleTime := measureIdleTime(t, f)
	server.SetScript(respondSlowly)
	var succeeded, closed, interrupted atomic.Int64
	sendAtClose := func(c *rawConn, id string) {
		_, _ = c.Write([]byte(requestHead("POST", "/unsafe/x", "before-"+id)))
		if got := c.receive("POST"); got.Status != 200 {
			t.Errorf("first request on the connection of %s: got %+v", id, got)
			return
		}
		time.Sleep(idleTime - rand.N(sendJitter))
		_, _ = c.Write([]byte(requestHead("POST", "/unsafe/x", id)))
		got := c.receive("POST")
		switch {
		case got.Err == nil && !unsignedSuccess(got):
			succeeded.Add(1)
		case unsignedSuccess(got), len(f.ReceivedRequests(id)) > 0:
			interrupted.Add(1)
			t.Errorf("%s reached a server, and its caller got %+v", id, got)
			for _, entry := range logs.FilterField(zap.String("request", id)).All() {
				t.Logf("%s: %s %v after %v", id, entry.Message, entry.ContextMap()["reason"], entry.ContextMap()["took"])
			}
		default:
			closed.Add(1)
		}
	}
	for round := range idleRounds {
		var callers sync.WaitGroup
		for n := range idleCallers {
			c := dialRaw(t, f)
			callers.Go(func() { sendAtClose(c, fmt.Sprintf("crosses-%d-%d", n, round)) })
		}
		callers.Wait()
	}
	t.Logf("%d served, %d closed and not forwarded, %d interrupted", succeeded.Load(), closed.Load(), interrupted.Load())
}
