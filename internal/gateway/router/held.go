package router

import "sync/atomic"

const (
	// heldBase is what a request in progress takes beside its body, in bytes:
	// its goroutine's stack, buffers of both connections and headers.
	heldBase = 32 << 10
	// unknownBody is what a body of unknown length is counted for until it has
	// been read.
	unknownBody = 64 << 10
)

// held bounds the memory of the requests in progress. Callers that send large
// bodies at once would otherwise end the process, and with it all others'
// requests.
type held struct {
	bytes atomic.Int64
}

// take counts a request with a body of a length, -1 where that isn't known;
// false if there is no room for it below limit, 0 for none.
func (h *held) take(length, limit int64) (taken int64, ok bool) {
	if length < 0 {
		length = unknownBody
	}
	taken = heldBase + length
	if h.bytes.Add(taken) > limit && limit > 0 {
		h.bytes.Add(-taken)
		return 0, false
	}
	return taken, true
}

// give takes back what was counted.
func (h *held) give(taken int64) { h.bytes.Add(-taken) }
