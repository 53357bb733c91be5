package callers

import (
	"os"

	"github.com/go-faster/errors"
)

const (
	// mostAhead bounds what is read ahead, in bytes. A caller that has sent more
	// isn't noticed when it leaves before its answer.
	mostAhead = 4 << 10
	// readAhead is how much of it is read at once, in bytes: a request's head.
	readAhead = 512
)

// watches reports whether a read is net/http's watch on a caller whose request is
// in progress: a single byte, after the deadline was taken away. Heads and bodies
// may be read by single bytes too.
func (c *Conn) watches(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	watches := c.watched && len(p) == 1
	c.watched = false
	return watches
}

// watch reads until the caller leaves or the watch is taken back, which net/http
// does by a deadline. It keeps what comes meanwhile: net/http's own watch ends
// with the first byte, and doesn't see a caller leave that sent a line end too
// many or its next request.
func (c *Conn) watch(p []byte) (int, error) {
	// Most callers send nothing more: for these one byte is enough to read into.
	piece := p
	for len(c.ahead) < mostAhead {
		if len(c.ahead) > 0 && len(piece) == 1 {
			piece = make([]byte, readAhead)
		}
		n, err := c.Conn.Read(piece)
		c.ahead = append(c.ahead, piece[:n]...)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.goesOn()
			if len(c.ahead) > 0 {
				return c.nextAhead(p), nil
			}
			return 0, err
		default:
			c.broke(err)
			return 0, err
		}
	}
	return c.nextAhead(p), nil
}

// nextAhead hands out what was read ahead.
func (c *Conn) nextAhead(p []byte) int {
	n := copy(p, c.ahead)
	c.begun = c.begun || !blank(p[:n])
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// blank reports whether bytes are line ends only.
func blank(p []byte) bool {
	for _, b := range p {
		if b != '\r' && b != '\n' {
			return false
		}
	}
	return true
}
