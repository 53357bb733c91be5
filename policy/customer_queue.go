package policy

// customerQueue is the FIFO queue of one customer within a class. It exists only
// while it holds a ticket.
type customerQueue struct {
	customerKey
	class *classQueue
	// head and tail are the ends of a doubly linked list.
	head  *queuedTicket
	tail  *queuedTicket
	count int
	// work is the sum of the expected work of the waiting tickets, in tokens.
	work float64
	// startTag is the start tag of fair queueing, in tokens of the virtual time
	// of the class; the smallest is served next.
	startTag float64
	// arrivalNumber breaks ties between equal start tags.
	arrivalNumber uint64
	// heapIndex is the position in the heap of the class.
	heapIndex int
}

// less orders the customers of a class by start tag.
func (q *customerQueue) less(other *customerQueue) bool {
	if q.startTag != other.startTag {
		return q.startTag < other.startTag
	}
	return q.arrivalNumber < other.arrivalNumber
}

// position implements heapItem.
func (q *customerQueue) position() *int { return &q.heapIndex }

// push appends w to the list.
func (q *customerQueue) push(w *queuedTicket) {
	w.customer = q
	w.prev = q.tail
	if q.tail == nil {
		q.head = w
	} else {
		q.tail.next = w
	}
	q.tail = w
	q.count++
	q.work += w.work
}

// remove unlinks w from the list.
func (q *customerQueue) remove(w *queuedTicket) {
	if w.prev == nil {
		q.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	q.count--
	q.work -= w.work
}
