package fleet

import (
	"testing"
	"time"
)

// livenessSimulation simulates a connection in virtual time.
type livenessSimulation struct {
	liveness
	now time.Time
	end time.Time
	// responsive is set if the agent answers pings immediately.
	responsive bool
	pings      int
}

func newLivenessSimulation(responsive bool) *livenessSimulation {
	start := time.Unix(0, 0)
	return &livenessSimulation{liveness: liveness{silentSince: start}, now: start, responsive: responsive}
}

// run checks the connection as a link does, for d or until it counts as dead.
func (s *livenessSimulation) run(d time.Duration, level watchLevel) (dead bool) {
	s.end = s.now.Add(d)
	for s.now.Before(s.end) {
		sendPing, dead := s.check(s.now, level)
		if dead {
			return true
		}
		if sendPing {
			s.pings++
		}
		if sendPing && s.responsive {
			s.messageReceived(s.now)
		}
		s.now = s.now.Add(s.nextCheck(s.now, level))
	}
	return false
}

// detectionDelay makes the agent silent and returns the time until the connection
// counts as dead.
func (s *livenessSimulation) detectionDelay(t *testing.T, level watchLevel) time.Duration {
	t.Helper()
	s.responsive = false
	silentFrom := s.now
	if !s.run(time.Hour, level) {
		t.Fatal("a silent connection was never detected")
	}
	return s.now.Sub(silentFrom)
}

func (s *livenessSimulation) wantPings(t *testing.T, want int) {
	t.Helper()
	if s.pings != want {
		t.Fatalf("%d pings, want %d", s.pings, want)
	}
}

func TestLivenessSendsNoPingsWhenIdle(t *testing.T) {
	sim := newLivenessSimulation(false)
	if sim.run(100*time.Second, watchIdle) {
		t.Fatal("an idle connection counts as dead")
	}
	sim.wantPings(t, 0)
}

func TestLivenessSendsNoPingsToActiveAgent(t *testing.T) {
	sim := newLivenessSimulation(true)
	sim.ticketPlaced(sim.now)
	for range 100 {
		sim.messageReceived(sim.now)
		sim.run(minPingInterval-time.Millisecond, watchUrgent)
	}
	sim.wantPings(t, 0)
}

func TestLivenessPingsUrgentAtMinInterval(t *testing.T) {
	sim := newLivenessSimulation(true)
	sim.ticketPlaced(sim.now)
	sim.run(30*time.Second, watchUrgent)
	sim.wantPings(t, 99)
	if got := sim.detectionDelay(t, watchUrgent); got > minPingInterval+pongTimeout {
		t.Fatalf("detected after %v", got)
	}
}

func TestLivenessBacksOffWhileTicketsPending(t *testing.T) {
	sim := newLivenessSimulation(true)
	sim.ticketPlaced(sim.now)
	sim.run(30*time.Second, watchWaiting)
	sim.wantPings(t, 7)
	if got := sim.detectionDelay(t, watchWaiting); got > maxPingInterval+pongTimeout {
		t.Fatalf("detected after %v", got)
	}
}

// Guards against a longer ping interval delaying the detection of a connection
// that went silent before a new ticket: the ticket resets the interval.
func TestLivenessNewTicketResetsBackoff(t *testing.T) {
	sim := newLivenessSimulation(true)
	sim.ticketPlaced(sim.now)
	sim.run(30*time.Second, watchWaiting)
	sim.ticketPlaced(sim.now)
	if got := sim.detectionDelay(t, watchWaiting); got != minPingInterval+pongTimeout {
		t.Fatalf("detected after %v", got)
	}
}

// Guards against the longer ping interval of other tickets delaying the detection
// while an urgent ticket is pending.
func TestLivenessUrgentIgnoresBackoff(t *testing.T) {
	sim := newLivenessSimulation(true)
	sim.ticketPlaced(sim.now)
	sim.run(30*time.Second, watchWaiting)
	if got := sim.detectionDelay(t, watchUrgent); got > minPingInterval+pongTimeout {
		t.Fatalf("detected after %v", got)
	}
}

// An unanswered message triggers a ping after unansweredPingDelay at every
// watch level.
func TestLivenessUnansweredMessage(t *testing.T) {
	for _, level := range []watchLevel{watchIdle, watchWaiting} {
		sim := newLivenessSimulation(true)
		sim.ticketPlaced(sim.now)
		sim.run(30*time.Second, watchWaiting)
		sim.messageSent(sim.now)
		if got := sim.detectionDelay(t, level); got > unansweredPingDelay+pongTimeout {
			t.Errorf("watch level %d: detected after %v", level, got)
		}
	}
}

// A message that was answered does not cause a ping when a new ticket is
// placed.
func TestLivenessAnsweredMessageDoesNotTriggerPing(t *testing.T) {
	sim := newLivenessSimulation(true)
	sim.messageSent(sim.now)
	sim.run(5*time.Second, watchIdle)
	sim.wantPings(t, 1)
	sim.ticketPlaced(sim.now)
	if sendPing, dead := sim.check(sim.now, watchWaiting); sendPing || dead {
		t.Fatalf("immediately: ping %t, dead %t", sendPing, dead)
	}
}
