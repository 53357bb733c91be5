package agent

import (
	"fmt"
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// ticket is a waiting request and the session that its messages go to.
type ticket struct {
	policy    policy.Ticket
	session   *session
	requestID string
	attempt   int
}

// ticketID returns the ID of one attempt to run a request. It identifies both
// the ticket and the run.
func ticketID(requestID string, attempt int) string {
	return fmt.Sprintf("%s#%d", requestID, attempt)
}

// newTicket returns the ticket for the message m. The tier and the latency
// targets come from current, the newest targets known to the agent, so that a
// change applies even if the entry has not yet received it.
func newTicket(now time.Time, s *session, m *wire.Ticket, current *targets.Set) *ticket {
	t := policy.Ticket{
		ID:                ticketID(m.RequestID, m.Attempt),
		Class:             m.Class,
		Customer:          m.Customer,
		Tier:              policy.Tier(m.Tier),
		Arrived:           now,
		Deadline:          now.Add(time.Duration(m.SlackMS) * time.Millisecond),
		DeadlineMilestone: m.DeadlineMilestone,
		Size:              m.Size,
		Copies:            m.Copies,
		MaxEngines:        m.MaxEngines,

		Preemptible: m.Preemptible,
	}
	if c, ok := current.Class(m.Class); ok {
		t.Tier = policy.Tier(c.Tier)
		t.FirstToken = c.FirstToken
		t.BetweenTokens = c.BetweenTokens
	}
	return &ticket{policy: t, session: s, requestID: m.RequestID, attempt: m.Attempt}
}
