package router

import (
	"io"

	"github.com/go-faster/errors"
)

// errMemoryLimit means that the rest of a body of unknown length exceeds the bound on the memory of the
// requests in progress.
var errMemoryLimit = errors.New("request body exceeds the memory limit")

// reserveMemory reserves memory for the request, and reports whether there is enough. The caller must
// call releaseMemory afterwards.
func (c *call) reserveMemory() bool {
	var ok bool
	c.reservedMemory, ok = c.router.memory.acquire(c.req.ContentLength, c.router.Bounds().MaxRequestMemory)
	return ok
}

// releaseMemory frees what the request has reserved.
func (c *call) releaseMemory() {
	c.releaseResponseMemory()
	c.router.memory.release(c.reservedMemory)
	c.reservedMemory = 0
}

// smallResponse is the size of a buffer for a response, in bytes, for which requestOverhead allows.
const smallResponse = 16 << 10

// reserveResponseBuffer reserves memory for the buffer of a response that has the given size in bytes, in
// place of a smaller one. It reports whether there is enough.
func (c *call) reserveResponseBuffer(size int) bool {
	missing := int64(size) - smallResponse - c.responseMemory
	if missing <= 0 {
		return true
	}
	if !c.router.memory.growForResponse(missing, c.router.Bounds().MaxRequestMemory) {
		return false
	}
	c.responseMemory += missing
	return true
}

// releaseResponseMemory frees what is reserved for the response.
func (c *call) releaseResponseMemory() {
	c.router.memory.release(c.responseMemory)
	c.responseMemory = 0
}

// keepResponseMemory keeps what is reserved for the response until the end of the request.
func (c *call) keepResponseMemory() {
	c.reservedMemory += c.responseMemory
	c.responseMemory = 0
}

// reservingReader reads a body of unknown length. It reserves memory for what exceeds unknownBodySize as
// it is read, and returns errMemoryLimit if there is not enough.
type reservingReader struct {
	io.Reader
	call *call
	// unreserved is how many more bytes fit the memory reserved so far.
	unreserved int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	for r.unreserved -= int64(n); r.unreserved < 0; r.unreserved += unknownBodySize {
		if !r.call.router.memory.grow(unknownBodySize, r.call.router.Bounds().MaxRequestMemory) {
			return 0, errMemoryLimit
		}
		r.call.reservedMemory += unknownBodySize
	}
	return n, err
}
