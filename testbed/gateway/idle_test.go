package gateway_test

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// closeMargin is the maximum delay after the idle timeout until the gateway closes the
// connection: the gateway's own margin of a second plus timer slack. The tests sleep for it
// because the absence of a close can't be observed.
const closeMargin = 1200 * time.Millisecond

// A raised idle timeout applies to connections that are idle already: their clients rely on
// the timeout in effect.
func TestRaisedIdleLimitHoldsForConnectionsThatRest(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole"))
	const lower, higher = 100 * time.Millisecond, 15 * time.Second
	f.Limit(2, lower)
	k := keep(t, f)
	k.served(t, "first")
	f.Limit(3, higher)
	time.Sleep(time.Until(k.rests.Add(lower + closeMargin)))
	rested := time.Since(k.rests)
	k.send(post("/unsafe/x", "second", 0))
	if status, err := k.answer(); err != nil || status != 200 {
		t.Errorf("status %d, %v, after %v idle, the idle timeout is %v", status, err, rested, higher)
	}
}

// A connection isn't idle once a part of a request has arrived, however long the rest of its
// header takes.
func TestRequestThatBeganInTimeIsAnswered(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole"))
	const limit = 500 * time.Millisecond
	f.Limit(2, limit)
	k := keep(t, f)
	k.served(t, "first")
	whole := post("/unsafe/x", "second", 0)
	k.send(whole[:len(whole)/2])
	time.Sleep(time.Until(k.rests.Add(limit + closeMargin)))
	k.send(whole[len(whole)/2:])
	if status, err := k.answer(); err != nil || status != 200 {
		t.Errorf("status %d, %v, for a request that began before the idle timeout", status, err)
	}
}

// A process that was suspended finds new requests and expired idle timers at the same time
// when it resumes. Whichever it handles first, a request that it forwards to a backend server
// gets its response.
func TestRequestReadWhenItsConnectionIsDueIsAnswered(t *testing.T) {
	// rounds is the number of attempts, as the scheduler decides which of the two is handled
	// first.
	const rounds = 3
	process := newApart()
	f := gateway.NewFleet(t, gateway.Options{Run: process.run})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Limit(2, stoppedLimit)
	stopped := <-process.started
	t.Cleanup(func() { _ = stopped.Signal(syscall.SIGCONT) })
	for round := 0; round < rounds && !t.Failed(); round++ {
		answered, handed := stoppedRound(t, f, stopped, round)
		t.Logf("round %d: %d requests forwarded, %d answered", round, handed, answered)
		if handed == 0 {
			t.Errorf("round %d: no request was forwarded, so nothing was tested", round)
		}
	}
}

const (
	// suspendedIdleTimeout is the idle timeout in a suspendRound: long enough for the first
	// requests of all clients.
	stoppedLimit = 500 * time.Millisecond
	// suspendedClients is the number of connections whose idle timers expire in a
	// suspendRound.
	stoppedCallers = 100
)

// suspendRound suspends the gateway, sends a request on every connection, and resumes the
// gateway once all idle timers have expired. It returns how many requests were answered and
// how many were forwarded.
func stoppedRound(t *testing.T, f *gateway.Fleet, process *os.Process, round int) (answered, handed int) {
	t.Helper()
	var all []*keptConn
	for n := range stoppedCallers {
		k := keep(t, f)
		k.served(t, fmt.Sprintf("first-%d-%d", round, n))
		all = append(all, k)
	}
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for n, k := range all {
		k.send(post("/unsafe/x", fmt.Sprintf("second-%d-%d", round, n), 0))
	}
	time.Sleep(time.Until(all[len(all)-1].rests.Add(stoppedLimit + closeMargin)))
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for n, k := range all {
		_, err := k.answer()
		ran := len(f.Arrivals(fmt.Sprintf("second-%d-%d", round, n))) > 0
		if err == nil {
			answered++
		}
		if ran {
			handed++
		}
		if ran && err != nil {
			t.Errorf("round %d, client %d: the request was forwarded to a backend server, and its connection was closed: %v", round, n, err)
		}
		_ = k.Close()
	}
	return answered, handed
}
