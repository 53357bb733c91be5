package policy

// customerQueue is one customer's line within a class, first in, first out.
// It exists only while a ticket waits in it.
type customerQueue struct {
	customerKey
	class *classQueue
	// first and last are the ends of the line.
	first *waiting
	last  *waiting
	count int
	// work is the sum over the waiting tickets.
	work float64
	// tag is the start tag of fair queueing, in tokens of the class's
	// virtual time; the smallest goes next.
	tag float64
	// arrival breaks ties between equal tags.
	arrival uint64
	// index is its place in the class's heap.
	index int
}

// goesBefore orders a class's customers by start tag.
func (q *customerQueue) goesBefore(other *customerQueue) bool {
	if q.tag != other.tag {
		return q.tag < other.tag
	}
	return q.arrival < other.arrival
}

func (q *customerQueue) place() *int { return &q.index }

func (q *customerQueue) push(w *waiting) {
	w.customer = q
	w.before = q.last
	if q.last == nil {
		q.first = w
	} else {
		q.last.behind = w
	}
	q.last = w
	q.count++
	q.work += w.work
}

func (q *customerQueue) remove(w *waiting) {
	if w.before == nil {
		q.first = w.behind
	} else {
		w.before.behind = w.behind
	}
	if w.behind == nil {
		q.last = w.before
	} else {
		w.behind.before = w.before
	}
	w.before, w.behind = nil, nil
	q.count--
	q.work -= w.work
}
