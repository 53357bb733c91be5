package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/isolation"
)

// reservationRecorder is an Observer that records reservations and late streams.
type reservationRecorder struct {
	Observer
	plans  []isolation.Plan
	paused int
}

func (o *reservationRecorder) ServersReserved(_ string, plan isolation.Plan) {
	o.plans = append(o.plans, plan)
}

func (o *reservationRecorder) StreamPaused() { o.paused++ }

const (
	questionUrgency = 3
	digestUrgency   = 4
)

// reservationTest sends questions with a tight target for pauses and digests with long prompts.
type reservationTest struct {
	*testing.T
	router   *Router
	observer *reservationRecorder
}

func newReservationTest(t *testing.T) *reservationTest {
	observer := &reservationRecorder{}
	r := newTestRouter()
	r.Observer = observer
	return &reservationTest{t, r, observer}
}

// send has the router choose a server for one request and records it as sent.
func (s *reservationTest) send(urgency, tokens int, target time.Duration) []policy.Server {
	loads := make([]policy.Server, 20)
	for i := range loads {
		loads[i] = policy.Server{Name: fmt.Sprintf("server-%d", i), Slots: 48}
	}
	choice := s.router.runChooser("s", policy.Job{Urgency: urgency, Target: 400 * time.Millisecond, Tokens: tokens}, target, loads, true)
	c := &call{router: s.router, service: "s", serverID: loads[choice.Index].Name, urgency: urgency}
	c.params.PromptTokens = tokens
	s.router.planPrefill(c, choice)
	return loads
}

// run sends ten questions and ten digests a second, and returns the servers as of the last digest.
func (s *reservationTest) run(d time.Duration) []policy.Server {
	var loads []policy.Server
	for range int(d / (100 * time.Millisecond)) {
		s.send(questionUrgency, 700, 300*time.Millisecond)
		loads = s.send(digestUrgency, 3000, 500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	return loads
}

// countReserved returns how many of the servers are reserved; all of these must have a budget.
func (s *reservationTest) countReserved(loads []policy.Server) int {
	count := 0
	for i := range loads {
		if loads[i].Reserved {
			count++
			if loads[i].PrefillBudget <= 0 {
				s.Errorf("server %d is reserved without a budget", i)
			}
		}
	}
	return count
}

// Guards against reservations where streams are on time, and against a gateway that ignores the late
// streams of others: with few callers it has too few of its own.
func TestServersAreReservedForLateStreamsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReservationTest(t)
		s.router.MergeUpdates(policy.PeerUpdate{PauseCounts: []policy.PauseCounts{{Service: policy.KeyOf("s"), Urgency: questionUrgency, OnTime: 1000}}})
		if count := s.countReserved(s.run(2 * time.Second)); count != 0 || len(s.observer.plans) > 0 {
			t.Errorf("%d servers reserved while all streams are on time, %d reports", count, len(s.observer.plans))
		}
		s.router.MergeUpdates(policy.PeerUpdate{PauseCounts: []policy.PauseCounts{{Service: policy.KeyOf("s"), Urgency: questionUrgency, Late: 100}}})
		if count := s.countReserved(s.run(2 * time.Second)); count == 0 || count > 12 {
			t.Errorf("%d of 20 servers reserved, want at least one and at most 12", count)
		}
		if len(s.observer.plans) == 0 || s.observer.plans[0].Count == 0 {
			t.Errorf("reports: %+v", s.observer.plans)
		}
		if s.router.ReservedServerCount() == 0 {
			t.Error("the status shows no reserved servers")
		}
	})
}

// Guards against late streams that count again with each event, that a failure of their server
// delayed, or that are kept from other gateways.
func TestWhichStreamsCountAsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReservationTest(t)
		s.send(questionUrgency, 700, 300*time.Millisecond)
		stream := func(sends int, pauses ...time.Duration) {
			c := &call{router: s.router, service: "s", serverID: "server-1", urgency: questionUrgency, sends: sends, route: &routes.Route{PauseTarget: 300 * time.Millisecond}}
			c.stream.recordSend(time.Now())
			for _, pause := range pauses {
				time.Sleep(pause)
				pause := c.stream.pauseUntil(time.Now())
				c.stream.recordSend(time.Now())
				s.router.observePauseTarget(c, pause)
			}
			s.router.observeStreamEnd(c)
		}
		stream(1, 20*time.Millisecond, 300*time.Millisecond)
		stream(1, 20*time.Millisecond, 301*time.Millisecond, 20*time.Millisecond, 400*time.Millisecond)
		stream(2, 20*time.Millisecond, 2*time.Second)
		updates := s.router.TakeUpdates()
		want := policy.PauseCounts{Service: policy.KeyOf("s"), Urgency: questionUrgency, Late: 1, OnTime: 1}
		if len(updates.PauseCounts) != 1 || updates.PauseCounts[0] != want || s.observer.paused != 1 {
			t.Errorf("counts %+v, %d reported; want %+v", updates.PauseCounts, s.observer.paused, want)
		}
		if updates := s.router.TakeUpdates(); len(updates.PauseCounts) != 0 {
			t.Errorf("counts %+v are sent twice", updates.PauseCounts)
		}
	})
}

// Guards against servers that are reserved because callers read slowly.
func TestPausesOfSlowCallersDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stream streamState
		stream.recordSend(time.Now())
		stream.writeBlocked = true
		time.Sleep(time.Second)
		if pause := stream.pauseUntil(time.Now()); pause != 0 {
			t.Errorf("pause of %v after a write that the caller delayed", pause)
		}
		stream.writeBlocked = false
		if pause := stream.pauseUntil(time.Now()); pause != time.Second {
			t.Errorf("pause of %v, want 1s", pause)
		}
	})
}

// Guards against reservations that begin and end in turn where routes of one level have different
// targets, and against requests without a prompt that lower the mean prompt of their level.
func TestMixedRequestsOfALevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReservationTest(t)
		s.router.MergeUpdates(policy.PeerUpdate{PauseCounts: []policy.PauseCounts{{Service: policy.KeyOf("s"), Urgency: questionUrgency, Late: 100}}})
		s.run(time.Second)
		s.router.MergeUpdates(policy.PeerUpdate{PauseCounts: []policy.PauseCounts{{Service: policy.KeyOf("s"), Urgency: questionUrgency, Late: 100}}})
		s.run(time.Second)
		reports := len(s.observer.plans)
		for range 100 {
			s.send(questionUrgency, 700, 0)
			s.send(questionUrgency, 700, 2*time.Second)
			s.send(questionUrgency, 700, 300*time.Millisecond)
			s.send(digestUrgency, 3000, 500*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		for _, plan := range s.observer.plans[reports:] {
			if plan.Count == 0 {
				t.Errorf("the reservation ended: %+v", s.observer.plans[reports:])
			}
		}
		before := s.router.serviceFor("s").reservation.classes[questionUrgency].prefillTokens
		c := &call{router: s.router, service: "s", serverID: "server-1", urgency: questionUrgency}
		for range 50 {
			s.router.planPrefill(c, policy.Choice{Slowdown: 1})
		}
		if after := s.router.serviceFor("s").reservation.classes[questionUrgency].prefillTokens; after != before {
			t.Errorf("mean prompt %.0f tokens after requests without a prompt, %.0f before", after, before)
		}
	})
}

// Guards against stream times that only shrink: streams on other servers may be stalled, but before
// the first reservation there are no others.
func TestStreamTimeIsThatOfReservedServers(t *testing.T) {
	var m classMeans
	for i := range 1000 {
		m.observeStreamTime(time.Duration(500+i%1001)*time.Millisecond, false)
	}
	if got := m.streamTime(); got < 800*time.Millisecond || got > 1600*time.Millisecond {
		t.Errorf("%v, the streams take half a second to one and a half", got)
	}
	for range 10 {
		m.observeStreamTime(400*time.Millisecond, true)
		m.observeStreamTime(3*time.Second, false)
	}
	if got := m.streamTime(); got != 400*time.Millisecond {
		t.Errorf("%v, streams on reserved servers take 400ms", got)
	}
}

// Guards against reserved servers that get no requests because they are ejected.
func TestEjectedServersAreNotReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReservationTest(t)
		s.router.MergeUpdates(policy.PeerUpdate{PauseCounts: []policy.PauseCounts{{Service: policy.KeyOf("s"), Urgency: questionUrgency, Late: 100}}})
		loads := s.run(2 * time.Second)
		ejected := ""
		for i := range loads {
			if loads[i].Reserved {
				ejected = loads[i].Name
			}
		}
		for range 50 {
			s.router.observeOutcome(ejected, policy.OutcomeFailed)
		}
		if !s.router.Ejector.Ejected(time.Now(), ejected) {
			t.Fatalf("%q isn't ejected", ejected)
		}
		for _, load := range s.run(200 * time.Millisecond) {
			if load.Reserved && load.Name == ejected {
				t.Errorf("%s is ejected and reserved", ejected)
			}
		}
	})
}
