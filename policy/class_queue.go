package policy

import (
	"container/heap"
	"time"
)

// classQueue holds the waiting tickets of one class and is fair over its
// customers. It exists only while a ticket waits in it.
//
// It answers the large customer that sends most of a class's load: in plain
// arrival order everyone else would wait behind that customer's backlog.
// Start-time fair queueing (Goyal et al., 1996) gives each customer that has
// something waiting the same work, in tokens. Deficit round robin does the
// same only when its quantum is at least the largest ticket, and then one
// round over 400 customers is long; the heap costs log(customers) instead and
// has no quantum to choose.
type classQueue struct {
	classKey
	tier *tierQueue
	// byName and order hold the customers that have a waiting ticket.
	byName map[string]*customerQueue
	order  customerHeap
	// virtual is the start tag of the ticket granted last.
	virtual float64
	// arrivals numbers the customers' arrivals.
	arrivals uint64
	// tag is the class's own start tag within its tier.
	tag   float64
	count int
	work  float64
	// since is when the class was last granted anything, or began to wait.
	since time.Time
	// kept is the one ticket that stays beyond its deadline since the class
	// has got nothing for long; see Queue.expire.
	kept *waiting
}

func newClassQueue(key classKey, tier *tierQueue, now time.Time) *classQueue {
	return &classQueue{
		classKey: key,
		tier:     tier,
		byName:   map[string]*customerQueue{},
		tag:      tier.virtual,
		since:    now,
	}
}

// head is the ticket that goes next.
func (q *classQueue) head() *waiting {
	return q.order[0].first
}

func (q *classQueue) push(w *waiting) {
	customer := q.byName[w.ticket.Customer]
	if customer == nil {
		q.arrivals++
		customer = &customerQueue{name: w.ticket.Customer, class: q, tag: q.virtual, arrival: q.arrivals}
		q.byName[customer.name] = customer
		heap.Push(&q.order, customer)
	}
	customer.push(w)
	q.count++
	q.work += w.work
}

func (q *classQueue) remove(w *waiting) {
	customer := w.customer
	customer.remove(w)
	q.count--
	q.work -= w.work
	if q.kept == w {
		q.kept = nil
	}
	if customer.count == 0 {
		heap.Remove(&q.order, customer.index)
		delete(q.byName, customer.name)
	}
}

// charge counts the grant of w to its customer and its class.
func (q *classQueue) charge(now time.Time, w *waiting) {
	customer := w.customer
	q.virtual = max(q.virtual, customer.tag)
	customer.tag += float64(ticketSize(w.ticket))
	heap.Fix(&q.order, customer.index)
	q.since = now
	q.tier.charge(q, w)
}

// keeps reports whether the class keeps w beyond its time, since it is the
// next to be granted and the class has got nothing for starvedAfter.
func (q *classQueue) keeps(now time.Time, w *waiting) bool {
	if q.kept != nil || q.head() != w || now.Sub(q.since) < starvedAfter {
		return false
	}
	q.kept = w
	return true
}

// workAhead is how much of the class's waiting work goes before a new ticket
// of a customer: all of that customer's own, and of each other customer no
// more than the same amount.
func (q *classQueue) workAhead(customer string, work float64) float64 {
	own := 0.0
	others := len(q.byName)
	if c := q.byName[customer]; c != nil {
		own = c.work
		others--
	}
	fair := own + (own+work)*float64(others)
	return min(q.work, fair)
}

// heaviest is the customer with the most waiting work.
func (q *classQueue) heaviest() *customerQueue {
	var most *customerQueue
	for _, c := range q.order {
		if most == nil || c.work > most.work {
			most = c
		}
	}
	return most
}
