package gateway_test

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// closeMargin is how long after the limit a gateway closes a connection that
// rests, at the latest: its own margin of a second, and some for its timers.
// These tests wait for it by the clock: that nothing is closed can't be seen.
const closeMargin = 1200 * time.Millisecond

// A limit that is raised holds for connections that rest already: their callers
// go by the one in force.
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
		t.Errorf("status %d, %v, after a rest of %v under a limit of %v", status, err, rested, higher)
	}
}

// A connection on which a request has begun to come doesn't rest any more,
// however long its head is on its way.
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
		t.Errorf("status %d, %v, for a request that began at once", status, err)
	}
}

// A process that stands still finds requests and the ends of rests together when
// it goes on. Whichever it takes first: what it hands to a backend server, it
// answers.
func TestRequestReadWhenItsConnectionIsDueIsAnswered(t *testing.T) {
	// rounds is how often the two are brought together: which comes first is up
	// to the scheduler.
	const rounds = 3
	process := newApart()
	f := gateway.NewFleet(t, gateway.Options{Run: process.run})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Limit(2, stoppedLimit)
	stopped := <-process.started
	t.Cleanup(func() { _ = stopped.Signal(syscall.SIGCONT) })
	for round := 0; round < rounds && !t.Failed(); round++ {
		answered, handed := stoppedRound(t, f, stopped, round)
		t.Logf("round %d: %d requests handed on, %d answered", round, handed, answered)
		if handed == 0 {
			t.Errorf("round %d: nothing was handed on, so nothing was tested", round)
		}
	}
}

const (
	// stoppedLimit is the limit for idle connections in a stoppedRound: long
	// against the first requests of all callers.
	stoppedLimit = 500 * time.Millisecond
	// stoppedCallers is how many connections are due in one.
	stoppedCallers = 100
)

// stoppedRound has callers ask while the process stands still until their
// connections are due, and returns how many requests were answered and handed
// on.
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
			t.Errorf("round %d, caller %d: the request was handed to a backend server, and its connection ended: %v", round, n, err)
		}
		_ = k.Close()
	}
	return answered, handed
}
