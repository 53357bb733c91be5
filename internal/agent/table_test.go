package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// sentTo keeps what an entry was sent.
type sentTo struct{ messages []wire.Message }

func (s *sentTo) Send(m wire.Message) error {
	s.messages = append(s.messages, m)
	return nil
}

func (s *sentTo) End() {}

func (s *sentTo) grants() []*wire.Grant {
	var grants []*wire.Grant
	for _, m := range s.messages {
		if m.Grant != nil {
			grants = append(grants, m.Grant)
		}
	}
	return grants
}

func (s *sentTo) refusals() []*wire.Refuse {
	var refusals []*wire.Refuse
	for _, m := range s.messages {
		if m.Refuse != nil {
			refusals = append(refusals, m.Refuse)
		}
	}
	return refusals
}

func newTestTable() (*table, *session, *sentTo) {
	tb := newTable("incarnation", "model", timeline.NewRing("agent", &timeline.Clock{}, 64), targets.NewHolder(), metrics.New().Queue)
	tb.setEngine(true)
	sent := &sentTo{}
	s := &session{conn: sent}
	tb.join(s, testHello)
	return tb, s, sent
}

func testHello(serves string) *wire.Hello { return &wire.Hello{Serves: serves} }

func testTicket(request string) *wire.Ticket {
	return &wire.Ticket{Request: request, Attempt: 1, Class: "hazard-flag", Customer: "c", Serves: "model", SlackMS: 5000, Size: 10, Copies: 1}
}

func runOf(g *wire.Grant) *wire.RunRequest {
	return &wire.RunRequest{Grant: g.ID, Request: g.Request, Attempt: g.Attempt}
}

func TestGrantIsUsedOnce(t *testing.T) {
	tb, s, sent := newTestTable()
	tb.place(s, testTicket("r"))
	g := sent.grants()[0]
	if _, ok := tb.take(runOf(g)); !ok {
		t.Fatal("first use was refused")
	}
	if _, ok := tb.take(runOf(g)); ok {
		t.Fatal("second use was taken")
	}
	if result := tb.void(g.ID); result != wire.VoidStarted {
		t.Fatalf("void after use: got %q", result)
	}
}

func TestVoidedGrantCannotBeUsed(t *testing.T) {
	tb, s, sent := newTestTable()
	tb.place(s, testTicket("r"))
	g := sent.grants()[0]
	if result := tb.void(g.ID); result != wire.VoidDone {
		t.Fatalf("void: got %q", result)
	}
	if _, ok := tb.take(runOf(g)); ok {
		t.Fatal("a voided grant was used")
	}
}

func TestGrantOfAnEarlierIncarnationIsUnknown(t *testing.T) {
	tb, _, _ := newTestTable()
	if result := tb.void("earlier-1"); result != wire.VoidUnknown {
		t.Fatalf("void: got %q", result)
	}
	if _, ok := tb.take(&wire.RunRequest{Grant: "earlier-1", Request: "r", Attempt: 1}); ok {
		t.Fatal("a grant from before the restart was used")
	}
}

func TestGrantThatIsNotTakenUpLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, s, sent := newTestTable()
		tb.place(s, testTicket("r"))
		time.Sleep(grantTTL + time.Millisecond)
		tb.tick(time.Now())
		g := sent.grants()[0]
		if _, ok := tb.take(runOf(g)); ok {
			t.Fatal("a lapsed grant was used")
		}
		if result := tb.void(g.ID); result != wire.VoidDone {
			t.Fatalf("void: got %q", result)
		}
	})
}

func TestUsedGrantsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, s, sent := newTestTable()
		tb.place(s, testTicket("r"))
		g, _ := tb.take(runOf(sent.grants()[0]))
		tb.finish(g, policy.OutcomeWhole)
		time.Sleep(grantMemory + time.Second)
		tb.tick(time.Now())
		if len(tb.grants.byID) != 0 || len(tb.grants.over) != 0 {
			t.Fatalf("remembered: %d", len(tb.grants.byID))
		}
	})
}

func TestLeavingAgentGrantsNothingAndDrains(t *testing.T) {
	tb, s, sent := newTestTable()
	tb.place(s, testTicket("running"))
	g, _ := tb.take(runOf(sent.grants()[0]))
	tb.leave()
	tb.place(s, testTicket("late"))
	refusals := sent.refusals()
	if len(refusals) != 1 || refusals[0].Reason != wire.ReasonLeaving {
		t.Fatalf("refusals: %+v", refusals)
	}
	select {
	case <-tb.drained:
		t.Fatal("drained while a request runs")
	default:
	}
	tb.finish(g, policy.OutcomeWhole)
	<-tb.drained
}

func TestTicketsOfALostEntryAreDropped(t *testing.T) {
	tb, s, sent := newTestTable()
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"} {
		tb.place(s, testTicket(name))
	}
	if len(tb.tickets) == 0 {
		t.Fatal("none waits; the test needs more tickets than the limit")
	}
	tb.part(s)
	if len(tb.tickets) != 0 || tb.sched.Load().Waiting != 0 {
		t.Fatalf("waiting after the entry has gone: %d", len(tb.tickets))
	}
	if len(sent.grants()) == 0 {
		t.Fatal("nothing was granted")
	}
}

func TestNewerTargetsDecideTheTier(t *testing.T) {
	tb, s, _ := newTestTable()
	tb.holder.Offer(&targets.Set{Version: 2, Classes: []targets.Class{{Name: "hazard-flag", Tier: 3}}})
	ticket := newTicket(time.Now(), s, testTicket("r"), tb.holder.Current())
	if ticket.policy.Tier != 3 {
		t.Fatalf("tier: got %d, want that of the newest targets", ticket.policy.Tier)
	}
}

func TestSwitchingAgentRefusesUntilTheNewModelIsThere(t *testing.T) {
	tb, s, sent := newTestTable()
	tb.beginSwitch()
	tb.place(s, testTicket("during"))
	tb.endSwitch("other", testHello)
	tb.place(s, testTicket("old-model"))
	if got := len(sent.refusals()); got != 2 || len(sent.grants()) != 0 {
		t.Fatalf("refusals: got %d with %d grants, want 2 and none", got, len(sent.grants()))
	}
	next := testTicket("new-model")
	next.Serves = "other"
	tb.place(s, next)
	if len(sent.grants()) != 1 {
		t.Fatal("the new model was not granted")
	}
}

// An entry whose connection has gone silent places its ticket anew over
// another one; the agent may never notice the silence. The ticket once stayed
// with the silent session, whose entry then waited in vain.
func TestTicketPlacedAnewAnswersToTheNewerSession(t *testing.T) {
	for name, early := range map[string]bool{"granted": true, "waiting": false} {
		t.Run(name, func(t *testing.T) {
			tb, silent, _ := newTestTable()
			if !early {
				// Admitted, and not granted until the next tick.
				ticket := newTicket(time.Now(), silent, testTicket("r"), tb.holder.Current())
				tb.sched.Offer(time.Now(), ticket.policy)
				tb.tickets[ticket.policy.ID] = ticket
			} else {
				tb.place(silent, testTicket("r"))
			}
			sent := &sentTo{}
			newer := &session{conn: sent}
			tb.join(newer, testHello)
			tb.place(newer, testTicket("r"))
			tb.part(silent)
			tb.tick(time.Now())
			grants := sent.grants()
			if len(grants) != 1 {
				t.Fatalf("the newer session got %d grants", len(grants))
			}
			if _, ok := tb.take(runOf(grants[0])); !ok {
				t.Fatal("the grant can't be used")
			}
		})
	}
}

func TestLateWithdrawOfAnOlderSessionIsIgnored(t *testing.T) {
	tb, silent, _ := newTestTable()
	ticket := newTicket(time.Now(), silent, testTicket("r"), tb.holder.Current())
	tb.sched.Offer(time.Now(), ticket.policy)
	tb.tickets[ticket.policy.ID] = ticket
	sent := &sentTo{}
	newer := &session{conn: sent}
	tb.join(newer, testHello)
	tb.place(newer, testTicket("r"))
	tb.withdraw(silent, &wire.Withdraw{Request: "r", Attempt: 1})
	tb.tick(time.Now())
	if len(sent.grants()) != 1 {
		t.Fatal("the ticket was taken back by a session that was given up")
	}
}
