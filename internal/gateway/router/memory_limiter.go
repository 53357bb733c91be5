package router

import "sync/atomic"

const (
	// heldBase is what a request in progress takes beside its body, in bytes:
	// its goroutine's stack, buffers of both connections and headers.
	requestOverhead = 32 << 10
	// unknownBody is what a body of unknown length is counted for until it has
	// been read.
	unknownBodySize = 64 << 10
)

// held bounds the memory of the requests in progress. Callers that send large
// bodies at once would otherwise end the process, and with it all others'
// requests.
type memoryLimiter struct {
	bytes atomic.Int64
}

// take counts a request with a body of a length, -1 where that isn't known;
// false if there is no room for it below limit, 0 for none.
func (m *memoryLimiter) acquire(length, limit int64) (size int64, ok bool) {
	if length < 0 {
		length = unknownBodySize
	}
	size = requestOverhead + length
	if m.bytes.Add(size) > limit && limit > 0 {
		m.bytes.Add(-size)
		return 0, false
	}
	return size, true
}

// give takes back what was counted.
func (m *memoryLimiter) release(size int64) { m.bytes.Add(-size) }
