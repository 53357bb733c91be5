package gateway_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// closeMargin is the maximum delay after the idle timeout until the gateway closes the
// connection: the gateway's own margin of a second plus timer slack. The tests sleep for it
// because the absence of a close can't be observed.
const closeMargin = 1200 * time.Millisecond

// A raised idle timeout applies to connections that are idle already: their callers rely on
// the timeout in effect.
func TestRaisedIdleTimeoutServesNextRequest(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	const lower, higher = 100 * time.Millisecond, 15 * time.Second
	f.SetIdleTimeout(2, lower)
	conn := dialKeepAlive(t, f)
	conn.mustServe(t, "first")
	f.SetIdleTimeout(3, higher)
	time.Sleep(time.Until(conn.idleSince.Add(lower + closeMargin)))
	idle := time.Since(conn.idleSince)
	conn.send(postHead("/unsafe/x", "second", 0))
	if status, err := conn.receiveResponse(); err != nil || status != 200 {
		t.Errorf("status %d, %v, after %v idle, the idle timeout is %v", status, err, idle, higher)
	}
}

// A connection isn't idle once a part of a request has arrived, however long the rest of its
// header takes.
func TestRequestStartedBeforeIdleTimeoutIsServed(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	const timeout = 500 * time.Millisecond
	f.SetIdleTimeout(2, timeout)
	conn := dialKeepAlive(t, f)
	conn.mustServe(t, "first")
	request := postHead("/unsafe/x", "second", 0)
	conn.send(request[:len(request)/2])
	time.Sleep(time.Until(conn.idleSince.Add(timeout + closeMargin)))
	conn.send(request[len(request)/2:])
	if status, err := conn.receiveResponse(); err != nil || status != 200 {
		t.Errorf("status %d, %v, for a request that began before the idle timeout", status, err)
	}
}

// A process that was suspended finds new requests and expired idle timers at the same time
// when it resumes. Whichever it handles first, a request that it forwards to a backend server
// gets its response.
func TestForwardedRequestIsAnsweredAfterSuspend(t *testing.T) {
	// There are several rounds because the scheduler decides which of the two is handled first.
	const rounds = 3
	child := &gateway.Child{}
	f := gateway.NewFixture(t, gateway.Options{Run: child.Run})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.SetIdleTimeout(2, suspendedIdleTimeout)
	t.Cleanup(func() { _ = child.Signal(syscall.SIGCONT) })
	for round := 0; round < rounds && !t.Failed(); round++ {
		served, forwarded := suspendRound(t, f, child, round)
		t.Logf("round %d: %d requests forwarded, %d served", round, forwarded, served)
		if forwarded == 0 {
			t.Errorf("round %d: no request was forwarded, so nothing was tested", round)
		}
	}
}

const (
	// suspendedIdleTimeout is the idle timeout in a suspendRound: long enough for the first
	// requests of all callers.
	suspendedIdleTimeout = 500 * time.Millisecond
	// suspendedCallers is the number of connections whose idle timers expire in a
	// suspendRound.
	suspendedCallers = 100
)

// suspendRound suspends the gateway, sends a request on every connection, and resumes the
// gateway once all idle timers have expired. It returns how many requests were served and
// how many were forwarded.
func suspendRound(t *testing.T, f *gateway.Fixture, child *gateway.Child, round int) (served, forwarded int) {
	t.Helper()
	var conns []*keepAliveConn
	for n := range suspendedCallers {
		conn := dialKeepAlive(t, f)
		conn.mustServe(t, fmt.Sprintf("first-%d-%d", round, n))
		conns = append(conns, conn)
	}
	if err := child.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for n, conn := range conns {
		conn.send(postHead("/unsafe/x", fmt.Sprintf("second-%d-%d", round, n), 0))
	}
	time.Sleep(time.Until(conns[len(conns)-1].idleSince.Add(suspendedIdleTimeout + closeMargin)))
	if err := child.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for n, conn := range conns {
		_, err := conn.receiveResponse()
		executed := len(f.ReceivedRequests(fmt.Sprintf("second-%d-%d", round, n))) > 0
		if err == nil {
			served++
		}
		if executed {
			forwarded++
		}
		if executed && err != nil {
			t.Errorf("round %d, caller %d: the request was forwarded to a backend server, and its connection was closed: %v", round, n, err)
		}
		_ = conn.Close()
	}
	return served, forwarded
}
