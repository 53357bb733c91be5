package policy

// displaceable finds the ticket of this tier that gives way to t when the
// queue is full; nil when none may. It is the newest ticket of the customer
// with the most work. A ticket of a less urgent tier always gives way. Within
// t's own tier that customer must have at least twice as much waiting as t's
// would have: otherwise a large customer that filled the queue first would
// shut the others out, and with less than twice the two would take turns at
// displacing each other.
func (q *tierQueue) displaceable(t Ticket, work float64) *waiting {
	var found *waiting
	for _, class := range q.classes {
		if class.count == 1 {
			// The guarantee needs one to serve.
			continue
		}
		for _, customer := range class.order {
			if found != nil && customer.work <= found.customer.work {
				continue
			}
			if newest := customer.newestDisplaceable(); newest != nil {
				found = newest
			}
		}
	}
	if found == nil {
		return nil
	}
	sameTier := found.ticket.Tier == t.Tier
	if sameTier && found.customer.work < 2*q.workWith(t, work) {
		return nil
	}
	return found
}

// newestDisplaceable passes over tickets whose caller holds a part of the
// answer.
func (q *customerQueue) newestDisplaceable() *waiting {
	for w := q.last; w != nil; w = w.before {
		if !w.resumed {
			return w
		}
	}
	return nil
}

// workWith is what t's customer would have waiting in t's class.
func (q *tierQueue) workWith(t Ticket, work float64) float64 {
	class := q.class(t.Class)
	if class == nil {
		return work
	}
	if customer := class.byKey[customerKey{name: t.Customer}]; customer != nil {
		work += customer.work
	}
	return work
}
