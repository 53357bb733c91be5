package callers

import (
	"os"

	"github.com/go-faster/errors"
)

const (
	// maxReadAhead bounds the bytes read ahead. A disconnect before the response isn't
	// detected for a caller that has sent more.
	maxReadAhead = 4 << 10
	// readAheadChunk is the size of one read ahead, in bytes: a typical request header.
	readAheadChunk = 512
)

// isBackgroundRead reports whether a read is net/http's background read for a
// disconnect during a request: a single byte, after the deadline was cleared.
// Single-byte reads alone don't show it, since headers and bodies may be read so too.
func (c *Conn) isBackgroundRead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	background := c.backgroundNext && len(p) == 1
	c.backgroundNext = false
	return background
}

// backgroundRead reads until the caller disconnects or net/http cancels its background
// read by a deadline, and keeps the bytes that arrive meanwhile. net/http's own
// background read ends with the first byte: it would miss the disconnect of a caller
// that has sent an extra line end or its next request.
func (c *Conn) backgroundRead(p []byte) (int, error) {
	// Most callers send nothing more, so that the one-byte buffer is enough.
	buf := p
	for len(c.readAhead) < maxReadAhead {
		if len(c.readAhead) > 0 && len(buf) == 1 {
			buf = make([]byte, readAheadChunk)
		}
		n, err := c.Conn.Read(buf)
		c.readAhead = append(c.readAhead, buf[:n]...)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			// During a request this only records that the deadline has passed.
			c.extendDeadline()
			if len(c.readAhead) > 0 {
				return c.takeReadAhead(p), nil
			}
			return 0, err
		default:
			c.recordReadError(err)
			return 0, err
		}
	}
	return c.takeReadAhead(p), nil
}

// takeReadAhead copies bytes that were read ahead to p and returns their number.
func (c *Conn) takeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.nextBegun = c.nextBegun || !onlyNewlines(p[:n])
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// onlyNewlines reports whether p holds nothing but CR and LF bytes.
func onlyNewlines(p []byte) bool {
	for _, b := range p {
		if b != '\r' && b != '\n' {
			return false
		}
	}
	return true
}
