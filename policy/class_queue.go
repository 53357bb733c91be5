package policy

import (
	"container/heap"
	"time"
)

// classQueue holds the waiting tickets of one class and is fair among its
// customers. It exists only while it holds a ticket.
//
// Fairness keeps a large customer that sends most of the load of a class from
// delaying the others; in arrival order they would wait behind its backlog.
// Start-time fair queueing (Goyal et al., 1996) gives each customer with waiting
// tickets the same amount of work, in tokens. Deficit round robin achieves this
// only if its quantum is at least the size of the largest ticket, and then one
// round over 400 customers takes long; the heap costs O(log customers) and needs
// no quantum.
type classQueue struct {
	classKey
	tier *tierQueue
	// customers and customerHeap hold the customers with waiting tickets.
	customers    map[customerKey]*customerQueue
	customerHeap orderedHeap[*customerQueue]
	// virtualTime is the start tag of the ticket that was granted last, in
	// tokens.
	virtualTime float64
	// arrivalCount is the number of customer queues created so far; it numbers
	// them in order of arrival.
	arrivalCount uint64
	// startTag is the start tag of the class within its tier, in tokens.
	startTag float64
	// count is the number of waiting tickets, and work their expected work on
	// this engine in tokens.
	count int
	work  float64
	// waitingSince is when the class was last granted a slot or, if later, when
	// it began to wait.
	waitingSince time.Time
	// retained is the ticket that stays past its deadline because the class has
	// had no recent grant; see Queue.expire.
	retained *queuedTicket
}

// newClassQueue returns an empty queue whose start tag is the virtual time of its
// tier.
func newClassQueue(key classKey, tier *tierQueue, now time.Time) *classQueue {
	return &classQueue{
		classKey:     key,
		tier:         tier,
		customers:    map[customerKey]*customerQueue{},
		startTag:     tier.virtualTime,
		waitingSince: now,
	}
}

// head returns the ticket that is served next; the queue must not be empty.
func (q *classQueue) head() *queuedTicket {
	return q.customerHeap[0].head
}

// push adds a ticket to the queue of its customer.
func (q *classQueue) push(w *queuedTicket) {
	key := w.customerKey()
	customer := q.customers[key]
	if customer == nil {
		q.arrivalCount++
		customer = &customerQueue{
			customerKey:   key,
			class:         q,
			startTag:      q.initialStartTag(key),
			arrivalNumber: q.arrivalCount,
		}
		q.customers[key] = customer
		heap.Push(&q.customerHeap, customer)
	}
	customer.push(w)
	q.count++
	q.work += w.work
}

// initialStartTag returns the start tag of a customer that begins to wait.
// Resumed runs go before all others, because they were charged when they first
// ran.
func (q *classQueue) initialStartTag(key customerKey) float64 {
	if key.resumed {
		return resumedStartTag
	}
	return q.virtualTime
}

// remove deletes a ticket, and its customer if that was the last one.
func (q *classQueue) remove(w *queuedTicket) {
	customer := w.customer
	customer.remove(w)
	q.count--
	q.work -= w.work
	if q.retained == w {
		q.retained = nil
	}
	if customer.count == 0 {
		heap.Remove(&q.customerHeap, customer.heapIndex)
		delete(q.customers, customer.customerKey)
	}
}

// charge charges the grant of w to its customer and its class. Resumed runs are
// free, because they were charged when they first ran.
func (q *classQueue) charge(now time.Time, w *queuedTicket) {
	q.waitingSince = now
	if w.resumed {
		return
	}
	customer := w.customer
	q.virtualTime = max(q.virtualTime, customer.startTag)
	customer.startTag += float64(ticketSize(w.ticket))
	heap.Fix(&q.customerHeap, customer.heapIndex)
	q.tier.charge(q, w)
}

// mayRetain reports whether w may stay past its deadline: it is next in the
// class, and no other ticket is retained.
func (q *classQueue) mayRetain(w *queuedTicket) bool {
	return q.retained == nil && q.head() == w
}

// workAhead returns the queued work of the class, in tokens, that is served
// before a new ticket of the customer. The customer's own work counts in full;
// each other customer counts with at most the same amount, the new ticket
// included.
func (q *classQueue) workAhead(customer string, work float64) float64 {
	own := 0.0
	others := len(q.customers)
	if c := q.customers[customerKey{name: customer}]; c != nil {
		own = c.work
		others--
	}
	fairShare := own + (own+work)*float64(others)
	return min(q.work, fairShare)
}
