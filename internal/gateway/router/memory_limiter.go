package router

import "sync/atomic"

const (
	// requestOverhead is the assumed memory of a request in progress without its body, in bytes: the
	// goroutine's stack, the buffers of both connections and the headers.
	requestOverhead = 32 << 10
	// unknownBodySize is the size in bytes that is assumed for a body of unknown length.
	unknownBodySize = 64 << 10
)

// responseMemoryShare is the share of the bound up to which responses are buffered. The rest is left to
// requests that arrive, so that slow callers of one service don't keep out those of others.
const responseMemoryShare = 0.5

// memoryLimiter bounds the memory of the requests in progress, with their responses. Without a bound,
// callers that send large bodies at the same time, or don't read large responses, could exhaust the memory
// of the process, and all other requests would fail with it.
type memoryLimiter struct {
	bytes atomic.Int64
}

// acquire reserves memory for a request with a body of the given length, -1 if unknown, and returns
// the size to pass to release. It reports false if the total would exceed limit; a limit of 0 means
// none. All sizes are in bytes.
func (m *memoryLimiter) acquire(length, limit int64) (size int64, ok bool) {
	if length < 0 {
		length = unknownBodySize
	}
	size = requestOverhead + length
	if !m.grow(size, limit) {
		return 0, false
	}
	return size, true
}

// grow adds size bytes to a reservation, and reports false if the total would exceed limit; a limit of 0
// means none.
func (m *memoryLimiter) grow(size, limit int64) bool {
	if m.bytes.Add(size) > limit && limit > 0 {
		m.bytes.Add(-size)
		return false
	}
	return true
}

// growForResponse is grow for a part of a response, which may use less of the limit.
func (m *memoryLimiter) growForResponse(size, limit int64) bool {
	return m.grow(size, int64(responseMemoryShare*float64(limit)))
}

// release frees a reservation of the given size.
func (m *memoryLimiter) release(size int64) { m.bytes.Add(-size) }
