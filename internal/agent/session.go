package agent

import (
	"context"
	"net/http"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// session is one entry's control connection.
type session struct {
	agent *Agent
	conn  sender
	entry string
	// joined numbers the sessions in the order of their beginnings.
	joined uint64
}

// sender is the sending side of a control connection.
type sender interface {
	// Send never blocks.
	Send(m wire.Message) error
	// End ends the connection.
	End()
}

// serveConnect takes an entry's control connection until it ends.
func (a *Agent) serveConnect(w http.ResponseWriter, r *http.Request) {
	conn, err := wire.Accept(w, r, a.local())
	if err != nil {
		return
	}
	defer conn.Close()
	s := &session{agent: a, conn: conn}
	a.table.join(s, a.hello)
	defer a.table.part(s)
	s.serve(r.Context(), conn)
}

func (a *Agent) hello(serves string) *wire.Hello {
	return &wire.Hello{
		Process:     a.settings.Process,
		Incarnation: a.incarnation,
		Zone:        a.settings.Zone,
		Serves:      serves,
		Loads:       a.model != nil,
	}
}

func (s *session) serve(ctx context.Context, conn *wire.Conn) {
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			s.agent.log.Info(logging.EventDisconnected, logging.Peer(s.entry), logging.Reason(err.Error()))
			return
		}
		s.handle(m)
	}
}

func (s *session) handle(m wire.Message) {
	s.compareTargets(m)
	switch {
	case m.Hello != nil:
		s.entry = m.Hello.Process
		s.agent.ring.Record(timeline.KindJoin, "", "", m.Hello.Process)
	case m.Ticket != nil:
		s.agent.table.place(s, m.Ticket)
	case m.Withdraw != nil:
		s.agent.table.withdraw(s, m.Withdraw)
	case m.Void != nil:
		result := s.agent.table.void(m.Void.Grant)
		s.send(wire.Message{Voided: &wire.Voided{Grant: m.Void.Grant, Result: result}})
	case m.Ping != nil:
		s.send(wire.Message{Status: s.agent.table.statusNow(m.Ping.Seq)})
	}
}

// compareTargets asks for newer targets, hands out ours, or tells an entry
// that is behind.
func (s *session) compareTargets(m wire.Message) {
	if m.NewSet != nil && s.agent.holder.Offer(m.NewSet) {
		s.agent.ring.Record(timeline.KindTargetChange, "", "", "")
	}
	if m.WantSet != nil {
		s.send(wire.Message{NewSet: s.agent.holder.Current()})
		return
	}
	have := s.agent.holder.Current().Version
	if s.agent.holder.Ask(m.Targets) {
		s.send(wire.Message{WantSet: &wire.WantSet{}})
	}
	if m.Targets < have {
		s.send(wire.Message{})
	}
}

// send drops what can't be sent: the connection is then over, and the entry
// places its tickets elsewhere.
func (s *session) send(m wire.Message) { _ = s.conn.Send(m) }
