package policy

import (
	"slices"
	"time"
)

const (
	// maxClassLead is how far, in grants of mean size, a class may run ahead of
	// the class of its tier that was served least. Within this lead the ticket
	// with the least slack goes first, so that classes with different targets
	// meet them. Beyond it the classes share equally, so that a burst with a
	// short target can't delay a class with a longer one indefinitely. 8 is
	// about one batch of an engine, which is enough to reorder the tickets of one
	// batch.
	maxClassLead = 8
	// meanSizeWeight is the weight of the newest grant in the moving average of
	// the ticket size.
	meanSizeWeight = 1.0 / 16
)

// tierQueue holds the classes of one tier that have waiting tickets.
//
// It combines least slack first with fair queueing, to handle a burst of one
// class. Least slack alone would serve a bursting class with a short target
// before all others; equal shares alone would let a ticket with seconds left wait
// behind one with minutes left.
type tierQueue struct {
	classes []*classQueue
	byKey   map[classKey]*classQueue
	// virtualTime is the smallest start tag, in tokens, of the classes that were
	// waiting at the last grant; it never decreases.
	virtualTime float64
	// meanSize is the moving average of the size of granted tickets, in tokens.
	meanSize float64
	// count is the number of waiting tickets, and work their expected work on
	// this engine in tokens.
	count int
	work  float64
}

// newTierQueue returns an empty tierQueue.
func newTierQueue() *tierQueue {
	return &tierQueue{byKey: map[classKey]*classQueue{}}
}

// push adds a ticket to the queue of its class.
func (q *tierQueue) push(now time.Time, w *queuedTicket) {
	key := w.classKey()
	class := q.byKey[key]
	if class == nil {
		class = newClassQueue(key, q, now)
		q.byKey[key] = class
		q.classes = append(q.classes, class)
	}
	class.push(w)
	q.count++
	q.work += w.work
}

// remove deletes a ticket, and its class if that was the last one.
func (q *tierQueue) remove(w *queuedTicket) {
	class := w.customer.class
	class.remove(w)
	q.count--
	q.work -= w.work
	if class.count > 0 {
		return
	}
	delete(q.byKey, class.classKey)
	i := slices.Index(q.classes, class)
	q.classes = slices.Delete(q.classes, i, i+1)
}

// onTimeClass returns the queue of the tickets of a class that can still be in
// time; nil if none waits.
func (q *tierQueue) onTimeClass(name string) *classQueue {
	return q.byKey[classKey{name: name}]
}

// next returns the class whose first ticket is served next; nil if none waits.
func (q *tierQueue) next() *classQueue {
	if len(q.classes) == 0 {
		return nil
	}
	limit := q.minStartTag() + maxClassLead*q.meanSize
	var best *classQueue
	for _, c := range q.classes {
		if c.startTag <= limit && (best == nil || lessSlack(c.head(), best.head())) {
			best = c
		}
	}
	return best
}

// minStartTag returns the smallest start tag of the waiting classes; at least one
// must wait.
func (q *tierQueue) minStartTag() float64 {
	lowest := q.classes[0].startTag
	for _, c := range q.classes[1:] {
		lowest = min(lowest, c.startTag)
	}
	return lowest
}

// charge advances the start tag of a class by the cost of granting w and updates
// the mean size.
func (q *tierQueue) charge(class *classQueue, w *queuedTicket) {
	size := float64(ticketSize(w.ticket))
	q.virtualTime = max(q.virtualTime, q.minStartTag())
	class.startTag += size * class.costFactor()
	if q.meanSize == 0 {
		q.meanSize = size
		return
	}
	q.meanSize += meanSizeWeight * (size - q.meanSize)
}

// workAhead returns the queued work of the tier, in tokens, that is served before
// a new ticket. Each other class counts with at most the work of the ticket's own
// class up to and including the ticket, plus the lead that a class may have.
func (q *tierQueue) workAhead(t Ticket, work float64) float64 {
	ownAhead := 0.0
	if own := q.onTimeClass(t.Class); own != nil {
		ownAhead = own.workAhead(t.Customer, work)
	}
	sum := ownAhead
	for _, c := range q.classes {
		if c.name != t.Class {
			sum += min(c.work, ownAhead+work+maxClassLead*q.meanSize)
		}
	}
	return sum
}

// lessSlack reports whether a has less slack than b.
func lessSlack(a, b *queuedTicket) bool {
	if a.hasInfiniteSlack() || b.hasInfiniteSlack() {
		return !a.hasInfiniteSlack()
	}
	return a.latestStart.Before(b.latestStart)
}
