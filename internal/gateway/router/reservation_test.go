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
				c.stream.recordSend(time.Now())
				s.router.observePauseTarget(c)
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
