package policy

import (
	"slices"
	"time"
)

const (
	// classLead is how far, in grants of mean size, a class may run ahead of
	// the one of its tier that got least. Within this lead the least slack
	// goes first, so that mixed targets are met; beyond it the classes share
	// equally, so that a burst with a short target can't hold back a class
	// with a longer one for good. 8 is about one batch of an engine: enough
	// room to reorder what one batch takes in.
	classLead = 8
	// sizeMemory is the weight of the newest grant in the mean size.
	sizeMemory = 1.0 / 16
)

// tierQueue holds the classes of one tier that have a waiting ticket.
//
// It answers a burst of one class beside others of its tier. Least slack
// alone would serve a bursting class with a short target before all others;
// equal shares alone would let a ticket with seconds to go wait behind one
// with minutes.
type tierQueue struct {
	classes []*classQueue
	byKey   map[classKey]*classQueue
	// virtual is the start tag of the class granted last.
	virtual  float64
	meanSize float64
	count    int
	work     float64
}

func newTierQueue() *tierQueue {
	return &tierQueue{byKey: map[classKey]*classQueue{}}
}

func (q *tierQueue) push(now time.Time, w *waiting) {
	key := w.key()
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

func (q *tierQueue) remove(w *waiting) {
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

// class is the line of a class's tickets that can still be on time; nil when
// none waits.
func (q *tierQueue) class(name string) *classQueue {
	return q.byKey[classKey{name: name}]
}

// next is the class whose head goes next; nil when nothing waits.
func (q *tierQueue) next() *classQueue {
	if len(q.classes) == 0 {
		return nil
	}
	limit := q.leastTag() + classLead*q.meanSize
	var best *classQueue
	for _, c := range q.classes {
		if c.tag <= limit && (best == nil || earlier(c.head(), best.head())) {
			best = c
		}
	}
	return best
}

func (q *tierQueue) leastTag() float64 {
	least := q.classes[0].tag
	for _, c := range q.classes[1:] {
		least = min(least, c.tag)
	}
	return least
}

func (q *tierQueue) charge(class *classQueue, w *waiting) {
	size := float64(ticketSize(w.ticket))
	q.virtual = max(q.virtual, q.leastTag())
	class.tag += size * class.cost()
	if q.meanSize == 0 {
		q.meanSize = size
		return
	}
	q.meanSize += sizeMemory * (size - q.meanSize)
}

// workAhead is how much of the tier's waiting work goes before a new ticket:
// of each other class no more than what its own class has ahead.
func (q *tierQueue) workAhead(t Ticket, work float64) float64 {
	ahead := 0.0
	if own := q.class(t.Class); own != nil {
		ahead = own.workAhead(t.Customer, work)
	}
	sum := ahead
	for _, c := range q.classes {
		if c.name != t.Class {
			sum += min(c.work, ahead+work+classLead*q.meanSize)
		}
	}
	return sum
}

// earlier reports whether a has less slack than b. A ticket without a target
// has endless slack.
func earlier(a, b *waiting) bool {
	if a.timeless() || b.timeless() {
		return !a.timeless()
	}
	return a.startBy.Before(b.startBy)
}
