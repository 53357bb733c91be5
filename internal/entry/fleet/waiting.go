package fleet

import "github.com/applepier/applepier/policy"

// attemptKey names one attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// waitingTicket is a ticket that was placed and not answered yet.
type waitingTicket struct {
	listener Listener
	urgent   bool
}

// waitingTickets are a link's, whose lock guards them.
type waitingTickets struct {
	byAttempt map[attemptKey]waitingTicket
	// urgent counts those of urgent tiers.
	urgent int
}

func newWaitingTickets() waitingTickets {
	return waitingTickets{byAttempt: make(map[attemptKey]waitingTicket)}
}

func (w *waitingTickets) add(key attemptKey, tier int, listener Listener) {
	w.take(key)
	t := waitingTicket{listener: listener, urgent: policy.Tier(tier).Urgent()}
	w.byAttempt[key] = t
	if t.urgent {
		w.urgent++
	}
}

// take removes a ticket and returns who listens.
func (w *waitingTickets) take(key attemptKey) (Listener, bool) {
	t, ok := w.byAttempt[key]
	if !ok {
		return nil, false
	}
	delete(w.byAttempt, key)
	if t.urgent {
		w.urgent--
	}
	return t.listener, true
}

func (w *waitingTickets) count() int { return len(w.byAttempt) }
