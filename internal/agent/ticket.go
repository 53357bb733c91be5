package agent

import (
	"fmt"
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// ticket is a request that waits here, and the session to answer to.
type ticket struct {
	policy  policy.Ticket
	session *session
	request string
	attempt int
}

func ticketID(request string, attempt int) string {
	return fmt.Sprintf("%s#%d", request, attempt)
}

// newTicket takes the tier and targets from set, which is the newest known
// here; an entry that has not yet seen a change doesn't hold it up.
func newTicket(now time.Time, s *session, m *wire.Ticket, set *targets.Set) *ticket {
	t := policy.Ticket{
		ID:       ticketID(m.Request, m.Attempt),
		Class:    m.Class,
		Customer: m.Customer,
		Tier:     policy.Tier(m.Tier),
		Arrived:  now,
		Deadline: now.Add(time.Duration(m.SlackMS) * time.Millisecond),
		Due:      m.Due,
		Size:     m.Size,
		Copies:   m.Copies,
		Asks:     m.Asks,

		Preemptible: m.Preemptible,
	}
	if c, ok := set.Class(m.Class); ok {
		t.Tier = policy.Tier(c.Tier)
		t.FirstToken = c.FirstToken
		t.BetweenTokens = c.BetweenTokens
	}
	return &ticket{policy: t, session: s, request: m.Request, attempt: m.Attempt}
}
