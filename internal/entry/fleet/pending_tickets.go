package fleet

import "github.com/applepier/applepier/policy"

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// pendingTicket is a placed ticket that has not been answered.
type pendingTicket struct {
	handler TicketHandler
	urgent  bool
}

// pendingTickets holds the pending tickets of a link. It is guarded by the
// link's lock.
type pendingTickets struct {
	byAttempt map[attemptKey]pendingTicket
	// urgentCount is the number of pending tickets of urgent tiers.
	urgentCount int
}

func newPendingTickets() pendingTickets {
	return pendingTickets{byAttempt: make(map[attemptKey]pendingTicket)}
}

func (p *pendingTickets) add(key attemptKey, tier int, handler TicketHandler) {
	p.remove(key)
	t := pendingTicket{handler: handler, urgent: policy.Tier(tier).Urgent()}
	p.byAttempt[key] = t
	if t.urgent {
		p.urgentCount++
	}
}

// remove removes a ticket and returns its handler; false if it is not pending.
func (p *pendingTickets) remove(key attemptKey) (TicketHandler, bool) {
	t, ok := p.byAttempt[key]
	if !ok {
		return nil, false
	}
	delete(p.byAttempt, key)
	if t.urgent {
		p.urgentCount--
	}
	return t.handler, true
}

func (p *pendingTickets) count() int { return len(p.byAttempt) }
