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
	// byKey and order hold the customers that have a waiting ticket.
	byKey map[customerKey]*customerQueue
	order orderedHeap[*customerQueue]
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
		byKey:    map[customerKey]*customerQueue{},
		tag:      tier.virtual,
		since:    now,
	}
}

// head is the ticket that goes next.
func (q *classQueue) head() *waiting {
	return q.order[0].first
}

func (q *classQueue) push(w *waiting) {
	key := w.customerKey()
	customer := q.byKey[key]
	if customer == nil {
		q.arrivals++
		customer = &customerQueue{customerKey: key, class: q, tag: q.firstTag(key), arrival: q.arrivals}
		q.byKey[key] = customer
		heap.Push(&q.order, customer)
	}
	customer.push(w)
	q.count++
	q.work += w.work
}

// firstTag is the tag of a customer that begins to wait. Resumed runs go
// before all others: they were counted when they ran first.
func (q *classQueue) firstTag(key customerKey) float64 {
	if key.resumed {
		return resumedTag
	}
	return q.virtual
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
		delete(q.byKey, customer.customerKey)
	}
}

// charge counts the grant of w to its customer and its class.
func (q *classQueue) charge(now time.Time, w *waiting) {
	q.since = now
	if w.resumed {
		return
	}
	customer := w.customer
	q.virtual = max(q.virtual, customer.tag)
	customer.tag += float64(ticketSize(w.ticket))
	heap.Fix(&q.order, customer.index)
	q.tier.charge(q, w)
}

// keeps reports whether w may be kept beyond its time: it is the next to be
// granted and no other is kept.
func (q *classQueue) keeps(w *waiting) bool {
	return q.kept == nil && q.head() == w
}

// workAhead is how much of the class's waiting work goes before a new ticket
// of a customer: all of that customer's own, and of each other customer no
// more than the same amount.
func (q *classQueue) workAhead(customer string, work float64) float64 {
	own := 0.0
	others := len(q.byKey)
	if c := q.byKey[customerKey{name: customer}]; c != nil {
		own = c.work
		others--
	}
	fair := own + (own+work)*float64(others)
	return min(q.work, fair)
}
