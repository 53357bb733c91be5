package policy

import (
	"container/heap"
	"time"
)

// maxWaiting bounds the tickets that wait at one engine. An engine that
// finishes ten requests a second works off 2,048 in over three minutes, which
// is longer than any target that admission lets wait; the bound is there for
// tickets without a deadline and for the top tier, and keeps the state of an
// agent below a few megabytes.
const maxWaiting = 2048

// maxLateWait is how long a top-tier ticket waits that can't be on time any
// more, before its caller is told that it was not run. In a burst that lasts
// the line of late ones would otherwise be as old as the burst.
const maxLateWait = 2 * time.Minute

// Queue orders the waiting tickets of one engine: tier first; within a tier
// by slack, with no class far ahead of the others; within a class fair over
// the customers. Classes and customers with nothing waiting leave no state.
//
// It answers a burst of one class, or of one customer, that swamps the rest.
// In arrival order an urgent ticket would wait behind the whole burst.
type Queue struct {
	tiers     [tierCount]*tierQueue
	byID      map[string]*waiting
	deadlines orderedHeap[*waiting]
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue {
	q := &Queue{byID: map[string]*waiting{}}
	for i := range q.tiers {
		q.tiers[i] = newTierQueue()
	}
	return q
}

// Len is the number of waiting tickets.
func (q *Queue) Len() int {
	return len(q.byID)
}

// urgent is the number of waiting tickets of the urgent tiers.
func (q *Queue) urgent() int {
	n := 0
	for _, tier := range q.tiers[:urgentTier+1] {
		n += tier.count
	}
	return n
}

// starved is how many classes have waited for long, and one at least.
func (q *Queue) starved(now time.Time) int {
	n := 0
	for _, tier := range q.tiers[TopTier+1:] {
		for _, c := range tier.classes {
			if now.Sub(c.since) >= starvedAfter {
				n++
			}
		}
	}
	return max(n, 1)
}

// push adds a ticket; one with the same id is replaced.
func (q *Queue) push(now time.Time, w *waiting) {
	if old := q.byID[w.ticket.ID]; old != nil {
		q.remove(old)
	}
	q.byID[w.ticket.ID] = w
	q.tiers[w.ticket.Tier].push(now, w)
	if w.timed() {
		heap.Push(&q.deadlines, w)
	}
}

func (q *Queue) remove(w *waiting) {
	delete(q.byID, w.ticket.ID)
	q.tiers[w.ticket.Tier].remove(w)
	if w.deadlineIndex != noIndex {
		heap.Remove(&q.deadlines, w.deadlineIndex)
	}
}

// grant removes the head of a class and counts it to its customer and class.
func (q *Queue) grant(now time.Time, class *classQueue) Ticket {
	w := class.head()
	class.charge(now, w)
	q.remove(w)
	return w.ticket
}

// next is the class to be granted by the normal order; nil when none waits.
func (q *Queue) next() *classQueue {
	for _, tier := range q.tiers {
		if class := tier.next(); class != nil {
			return class
		}
	}
	return nil
}

// longestWaiting is the class that has gone longest without a grant. The line
// of late top-tier tickets is none: it has its own share.
func (q *Queue) longestWaiting() *classQueue {
	var longest *classQueue
	for _, tier := range q.tiers {
		for _, c := range tier.classes {
			if !c.late && (longest == nil || c.since.Before(longest.since)) {
				longest = c
			}
		}
	}
	return longest
}

// expire removes the tickets that can't start in time any more. The top
// tier's wait on for maxLateWait, behind those that can, since a late warning
// is worth more than none. And a class that has got nothing lately keeps the
// ticket that it would be granted next, so that something of it runs, if late.
func (q *Queue) expire(now time.Time, lately func(class string) bool) []string {
	var expired []string
	for len(q.deadlines) > 0 && q.deadlines[0].due.Before(now) {
		w := q.deadlines[0]
		switch {
		case w.ticket.Tier == TopTier && !w.late:
			q.demote(now, w)
		case !w.late && w.customer.class.keeps(w) && !lately(w.ticket.Class):
			w.customer.class.kept = w
			heap.Remove(&q.deadlines, w.deadlineIndex)
		default:
			q.remove(w)
			expired = append(expired, w.ticket.ID)
		}
	}
	return expired
}

// demote moves a ticket to the line of the late ones.
func (q *Queue) demote(now time.Time, w *waiting) {
	q.remove(w)
	w.late = true
	w.due = w.ticket.Arrived.Add(maxLateWait)
	q.push(now, w)
}

// displace removes a waiting ticket so that t finds room: the newest of the
// customer with the most work, in the heaviest class of the lowest tier. It
// reports false when nothing may give way to t.
func (q *Queue) displace(t Ticket, work float64) (string, bool) {
	for tier := BottomTier; tier >= t.Tier; tier-- {
		victim := q.tiers[tier].displaceable(t, work)
		if victim != nil {
			q.remove(victim)
			return victim.ticket.ID, true
		}
	}
	return "", false
}
