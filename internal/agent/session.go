package agent

import (
	"context"
	"net/http"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// session is the control connection of one entry.
type session struct {
	agent     *Agent
	conn      sender
	entryName string
	// seq is the session's sequence number in the order of connection.
	seq uint64
}

// sender is the sending side of a control connection.
type sender interface {
	// Send queues a message without blocking.
	Send(m wire.Message) error
	// CloseNow closes the connection without a closing handshake.
	CloseNow()
}

// serveConnect handles the control connection of an entry until it ends.
func (a *Agent) serveConnect(w http.ResponseWriter, r *http.Request) {
	conn, err := wire.Accept(w, r, a.connConfig())
	if err != nil {
		return
	}
	defer conn.Close()
	s := &session{agent: a, conn: conn}
	a.dispatcher.addSession(s, a.newHello)
	defer a.dispatcher.removeSession(s)
	s.serve(r.Context(), conn)
}

func (a *Agent) newHello(served string) *wire.Hello {
	return &wire.Hello{
		Process:     a.settings.Process,
		Instance:    a.instance,
		Zone:        a.settings.Zone,
		Serves:      served,
		LoadsModels: a.engine != nil,
	}
}

func (s *session) serve(ctx context.Context, conn *wire.Conn) {
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			s.agent.log.Info(logging.EventDisconnected, logging.Peer(s.entryName), logging.Reason(err.Error()))
			return
		}
		s.handle(m)
	}
}

func (s *session) handle(m wire.Message) {
	s.syncTargets(m)
	switch {
	case m.Hello != nil:
		s.entryName = m.Hello.Process
		s.agent.events.Record(timeline.KindJoin, "", "", m.Hello.Process)
	case m.Ticket != nil:
		s.agent.dispatcher.enqueue(s, m.Ticket)
	case m.Withdraw != nil:
		s.agent.dispatcher.withdraw(s, m.Withdraw)
	case m.Void != nil:
		result := s.agent.dispatcher.voidGrant(m.Void.GrantID)
		s.send(wire.Message{Voided: &wire.Voided{GrantID: m.Void.GrantID, Result: result}})
	case m.Ping != nil:
		s.send(wire.Message{Status: s.agent.dispatcher.status(m.Ping.Seq)})
	}
}

// syncTargets compares the targets version in m with the agent's version. It
// requests newer targets, sends the agent's targets on request, and notifies an
// entry that has an older version.
func (s *session) syncTargets(m wire.Message) {
	if m.TargetSet != nil && s.agent.targets.UpdateIfNewer(m.TargetSet) {
		s.agent.events.Record(timeline.KindTargetChange, "", "", "")
	}
	if m.GetTargets != nil {
		s.send(wire.Message{TargetSet: s.agent.targets.Current()})
		return
	}
	current := s.agent.targets.Current().Version
	if s.agent.targets.ShouldFetch(m.TargetsVersion) {
		s.send(wire.Message{GetTargets: &wire.GetTargets{}})
	}
	if m.TargetsVersion < current {
		s.send(wire.Message{})
	}
}

// send ignores errors: they mean that the connection has ended, and the entry
// then submits its tickets elsewhere.
func (s *session) send(m wire.Message) { _ = s.conn.Send(m) }
