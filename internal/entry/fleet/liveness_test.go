package fleet

import (
	"testing"
	"time"
)

// livenessPlay plays a connection in virtual time.
type livenessPlay struct {
	liveness
	now time.Time
	end time.Time
	// answers says that the agent answers at once.
	answers bool
	pings   int
}

func newLivenessPlay(answers bool) *livenessPlay {
	start := time.Unix(0, 0)
	return &livenessPlay{liveness: liveness{quiet: start}, now: start, answers: answers}
}

// run checks as a link does, for d or until the connection counts as dead.
func (p *livenessPlay) run(d time.Duration, w watch) (dead bool) {
	p.end = p.now.Add(d)
	for p.now.Before(p.end) {
		ask, dead := p.check(p.now, w)
		if dead {
			return true
		}
		if ask {
			p.pings++
		}
		if ask && p.answers {
			p.noteSeen(p.now)
		}
		p.now = p.now.Add(p.next(p.now, w))
	}
	return false
}

// found is how long after now the silent connection counts as dead.
func (p *livenessPlay) found(t *testing.T, w watch) time.Duration {
	t.Helper()
	p.answers = false
	silent := p.now
	if !p.run(time.Hour, w) {
		t.Fatal("a silent connection was never found")
	}
	return p.now.Sub(silent)
}

func (p *livenessPlay) wantPings(t *testing.T, want int) {
	t.Helper()
	if p.pings != want {
		t.Fatalf("%d pings, want %d", p.pings, want)
	}
}

func TestLivenessCostsNothingWhenIdle(t *testing.T) {
	p := newLivenessPlay(false)
	if p.run(100*time.Second, watchIdle) {
		t.Fatal("an idle connection counts as dead")
	}
	p.wantPings(t, 0)
}

func TestLivenessAsksNothingOfOneThatIsHeard(t *testing.T) {
	p := newLivenessPlay(true)
	p.noteTicket(p.now)
	for range 100 {
		p.noteSeen(p.now)
		p.run(pingEvery-time.Millisecond, watchUrgent)
	}
	p.wantPings(t, 0)
}

func TestLivenessUrgent(t *testing.T) {
	p := newLivenessPlay(true)
	p.noteTicket(p.now)
	p.run(30*time.Second, watchUrgent)
	p.wantPings(t, 99)
	if got := p.found(t, watchUrgent); got > pingEvery+pongBound {
		t.Fatalf("found after %v", got)
	}
}

func TestLivenessBacksOffWhileTicketsWait(t *testing.T) {
	p := newLivenessPlay(true)
	p.noteTicket(p.now)
	p.run(30*time.Second, watchWaiting)
	p.wantPings(t, 7)
	if got := p.found(t, watchWaiting); got > pingMost+pongBound {
		t.Fatalf("found after %v", got)
	}
}

// A connection that has been silent since before a new ticket is found as
// soon as an urgent ticket's, however rarely it was asked.
func TestLivenessNewTicket(t *testing.T) {
	p := newLivenessPlay(true)
	p.noteTicket(p.now)
	p.run(30*time.Second, watchWaiting)
	p.noteTicket(p.now)
	if got := p.found(t, watchWaiting); got != pingEvery+pongBound {
		t.Fatalf("found after %v", got)
	}
}

// An urgent ticket beside others is not watched at their pace.
func TestLivenessUrgentAmongWaiting(t *testing.T) {
	p := newLivenessPlay(true)
	p.noteTicket(p.now)
	p.run(30*time.Second, watchWaiting)
	if got := p.found(t, watchUrgent); got > pingEvery+pongBound {
		t.Fatalf("found after %v", got)
	}
}

// A message that nothing follows is asked about after idleAsk, at any pace.
func TestLivenessUnansweredMessage(t *testing.T) {
	for _, w := range []watch{watchIdle, watchWaiting} {
		p := newLivenessPlay(true)
		p.noteTicket(p.now)
		p.run(30*time.Second, watchWaiting)
		p.noteSent(p.now)
		if got := p.found(t, w); got > idleAsk+pongBound {
			t.Errorf("watch %d: found after %v", w, got)
		}
	}
}

// An old message that an answer has followed is not held against new work.
func TestLivenessOldMessage(t *testing.T) {
	p := newLivenessPlay(true)
	p.noteSent(p.now)
	p.run(5*time.Second, watchIdle)
	p.wantPings(t, 1)
	p.noteTicket(p.now)
	if ask, dead := p.check(p.now, watchWaiting); ask || dead {
		t.Fatalf("at once: ask %t, dead %t", ask, dead)
	}
}
