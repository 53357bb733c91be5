package origin

import (
	"container/heap"
	"time"
)

// maxRecords bounds the records of a gateway, at about a hundred bytes each. If it is reached, the
// record that would expire first is dropped.
const maxRecords = 1 << 15

// record is the origin of one stream.
type record struct {
	stream Stream
	Origin
	// own is set if this gateway forwarded events of the stream.
	own       bool
	expiresAt time.Time
	// index is the record's position in the heap.
	index int
}

// records holds the origins of streams until they expire. It is not safe for concurrent use.
type records struct {
	byStream map[Stream]*record
	byExpiry expiryHeap
}

func newRecords() *records { return &records{byStream: map[Stream]*record{}} }

// put adds a record, or extends the one that exists. The first origin of a stream stays, because a
// caller that has its events can't be given those of another version.
func (rs *records) put(now time.Time, stream Stream, origin Origin, own bool, ttl time.Duration) {
	rs.expire(now)
	if known := rs.byStream[stream]; known != nil {
		known.own = known.own || own
		if expiresAt := now.Add(ttl); expiresAt.After(known.expiresAt) {
			known.expiresAt = expiresAt
			heap.Fix(&rs.byExpiry, known.index)
		}
		return
	}
	if len(rs.byExpiry) >= maxRecords {
		rs.removeFirst()
	}
	added := &record{stream: stream, Origin: origin, own: own, expiresAt: now.Add(ttl)}
	rs.byStream[stream] = added
	heap.Push(&rs.byExpiry, added)
}

// get returns the record of a stream, or nil.
func (rs *records) get(now time.Time, stream Stream) *record {
	rs.expire(now)
	return rs.byStream[stream]
}

// expire removes the records that have expired.
func (rs *records) expire(now time.Time) {
	for len(rs.byExpiry) > 0 && !now.Before(rs.byExpiry[0].expiresAt) {
		rs.removeFirst()
	}
}

// removeFirst removes the record that expires first.
func (rs *records) removeFirst() {
	first := heap.Pop(&rs.byExpiry).(*record)
	delete(rs.byStream, first.stream)
}

// expiryHeap implements heap.Interface, ordered by expiry.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(a, b int) bool { return h[a].expiresAt.Before(h[b].expiresAt) }
func (h expiryHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
