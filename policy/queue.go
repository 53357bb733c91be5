package policy

import (
	"container/heap"
	"time"
)

// maxQueuedTickets limits the tickets that wait at one engine. An engine that
// finishes ten requests per second takes over three minutes to work off 2,048,
// which is longer than admission lets a ticket with a deadline wait. The limit
// therefore matters only for tickets without a deadline and for the top tier, and
// it keeps the state of an agent below a few megabytes.
const maxQueuedTickets = 2048

// maxLateWait is how long a late top-tier ticket waits from its arrival until it
// expires and its caller is told that the request was not run. Without this limit
// the oldest late tickets would be as old as the burst.
const maxLateWait = 2 * time.Minute

// Queue orders the waiting tickets of one engine: by tier; within a tier by least
// slack, with a limit on how far one class may get ahead of the others; within a
// class by fair queueing over the customers. Classes and customers without
// waiting tickets take no memory.
//
// The order protects urgent tickets against a burst of one class or one customer:
// in arrival order they would wait behind the whole burst.
type Queue struct {
	tiers [tierCount]*tierQueue
	byID  map[string]*queuedTicket
	// deadlines holds the tickets that may expire, the earliest first.
	deadlines orderedHeap[*queuedTicket]
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue {
	q := &Queue{byID: map[string]*queuedTicket{}}
	for i := range q.tiers {
		q.tiers[i] = newTierQueue()
	}
	return q
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int {
	return len(q.byID)
}

// urgentCount returns the number of waiting tickets of the urgent tiers.
func (q *Queue) urgentCount() int {
	n := 0
	for _, tier := range q.tiers[:lastUrgentTier+1] {
		n += tier.count
	}
	return n
}

// starvedClasses returns the number of classes below the top tier that have
// waited for starvedAfter without a grant, at least 1.
func (q *Queue) starvedClasses(now time.Time) int {
	n := 0
	for _, tier := range q.tiers[TopTier+1:] {
		for _, c := range tier.classes {
			if now.Sub(c.waitingSince) >= starvedAfter {
				n++
			}
		}
	}
	return max(n, 1)
}

// push adds a ticket; it replaces a ticket with the same ID.
func (q *Queue) push(now time.Time, w *queuedTicket) {
	if old := q.byID[w.ticket.ID]; old != nil {
		q.remove(old)
	}
	q.byID[w.ticket.ID] = w
	q.tiers[w.ticket.Tier].push(now, w)
	if w.mayExpire() {
		heap.Push(&q.deadlines, w)
	}
}

// remove deletes a waiting ticket from all indexes of the queue.
func (q *Queue) remove(w *queuedTicket) {
	delete(q.byID, w.ticket.ID)
	q.tiers[w.ticket.Tier].remove(w)
	if w.deadlineIndex != notInHeap {
		heap.Remove(&q.deadlines, w.deadlineIndex)
	}
}

// grant removes the first ticket of a class and charges it to its customer and
// class.
func (q *Queue) grant(now time.Time, class *classQueue) Ticket {
	w := class.head()
	class.charge(now, w)
	q.remove(w)
	return w.ticket
}

// next returns the class that is served next in the regular order; nil if the
// queue is empty.
func (q *Queue) next() *classQueue {
	for _, tier := range q.tiers {
		if class := tier.next(); class != nil {
			return class
		}
	}
	return nil
}

// longestWaitingClass returns the class that has gone longest without a grant;
// nil if none waits. It skips the queue of late top-tier tickets, which has a
// share of its own.
func (q *Queue) longestWaitingClass() *classQueue {
	var longest *classQueue
	for _, tier := range q.tiers {
		for _, c := range tier.classes {
			if !c.late && (longest == nil || c.waitingSince.Before(longest.waitingSince)) {
				longest = c
			}
		}
	}
	return longest
}

// expire removes the tickets that can no longer start in time and returns their
// IDs. There are two exceptions:
//
//   - Top-tier tickets continue to wait, behind those that can still be in time,
//     until maxLateWait after their arrival, because a late warning is better than
//     none.
//   - A class without a recent grant keeps the ticket that is next in its order,
//     so that some of its work runs, even if late.
func (q *Queue) expire(now time.Time, recentlyGranted func(class string) bool) []string {
	var expired []string
	for len(q.deadlines) > 0 && q.deadlines[0].expiresAt.Before(now) {
		w := q.deadlines[0]
		switch {
		case w.ticket.Tier == TopTier && !w.late:
			q.markLate(now, w)
		case !w.late && w.customer.class.mayRetain(w) && !recentlyGranted(w.ticket.Class):
			w.customer.class.retained = w
			heap.Remove(&q.deadlines, w.deadlineIndex)
		default:
			q.remove(w)
			expired = append(expired, w.ticket.ID)
		}
	}
	return expired
}

// markLate moves a ticket to the queue of late tickets.
func (q *Queue) markLate(now time.Time, w *queuedTicket) {
	q.remove(w)
	w.late = true
	w.expiresAt = w.ticket.Arrived.Add(maxLateWait)
	q.push(now, w)
}

// displace removes a waiting ticket to make room for t and returns its ID: the
// newest ticket of the customer with the most queued work, in the least urgent
// tier that has such a ticket. It reports false if no ticket may be displaced for
// t.
func (q *Queue) displace(t Ticket, work float64) (string, bool) {
	for tier := BottomTier; tier >= t.Tier; tier-- {
		victim := q.tiers[tier].displacementVictim(t, work)
		if victim != nil {
			q.remove(victim)
			return victim.ticket.ID, true
		}
	}
	return "", false
}
