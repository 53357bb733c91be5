package policy

// displacementVictim returns the ticket of this tier that is displaced for t when
// the queue is full; nil if none may be displaced. It is the newest ticket of the
// customer with the most queued work in a class.
//
// Tickets of a less urgent tier can always be displaced. Within the tier of t the
// customer must have at least twice the queued work that the customer of t would
// have. Without this rule a large customer that filled the queue first would lock
// the others out; with a factor below two the two customers would displace each
// other in turn.
func (q *tierQueue) displacementVictim(t Ticket, work float64) *queuedTicket {
	var victim *queuedTicket
	for _, class := range q.classes {
		if class.count == 1 {
			// The starvation guarantee needs a ticket of the class to serve.
			continue
		}
		for _, customer := range class.customerHeap {
			if victim != nil && customer.work <= victim.customer.work {
				continue
			}
			if newest := customer.newestDisplaceable(); newest != nil {
				victim = newest
			}
		}
	}
	if victim == nil {
		return nil
	}
	sameTier := victim.ticket.Tier == t.Tier
	if sameTier && victim.customer.work < 2*q.customerWorkWith(t, work) {
		return nil
	}
	return victim
}

// newestDisplaceable returns the newest ticket that isn't resumed, because the
// caller of a resumed one already has a part of the response; nil if there is
// none.
func (q *customerQueue) newestDisplaceable() *queuedTicket {
	for w := q.tail; w != nil; w = w.prev {
		if !w.resumed {
			return w
		}
	}
	return nil
}

// customerWorkWith returns the work, in tokens, that the customer of t would have
// queued in the class of t with t included.
func (q *tierQueue) customerWorkWith(t Ticket, work float64) float64 {
	class := q.onTimeClass(t.Class)
	if class == nil {
		return work
	}
	if customer := class.customers[customerKey{name: t.Customer}]; customer != nil {
		work += customer.work
	}
	return work
}
