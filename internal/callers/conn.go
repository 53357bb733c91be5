package callers

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Conn is a caller's connection. It rests from the end of an answer to the first
// byte of the next request, which is sooner than net/http counts: for that it is
// idle until a request's whole head has been read.
//
// Only who reads it ends a rest: the rest's end is a deadline for reading, and
// where that has passed the connection is looked at once more before it counts
// as over. Closed from anywhere else, it could be closed under a request that
// has just been read and handed on.
type Conn struct {
	net.Conn
	server *Server
	// mu guards what follows; nothing is locked while it is held.
	mu    sync.Mutex
	phase phase
	// since is when the rest began, and rested how long the last one was.
	since  time.Time
	rested time.Duration
	// looked says that the connection is being looked at once more.
	looked bool
	// leaving says that the process stops: rests are over at once.
	leaving  bool
	requests int
	end      Cause
	// deadline says that a read ended by a deadline last.
	deadline bool
	// ahead is what came while a request was in progress. Only who reads touches
	// it, and net/http lets one read at a time.
	ahead []byte
}

const (
	// mostAhead bounds what is read ahead, in bytes. A caller that has sent more
	// isn't noticed when it leaves before its answer.
	mostAhead = 4 << 10
	// readAhead is how much of it is read at once, in bytes: a request's head.
	readAhead = 512
)

// phase is what a connection does.
type phase int

const (
	// fresh: it was opened, and nothing came yet.
	fresh phase = iota
	// resting: the last answer has been given, and nothing came since.
	resting
	// busy: bytes of a request came, and it hasn't had its whole answer.
	busy
)

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.watching(p) {
		return c.watch(p)
	}
	if len(c.ahead) > 0 {
		c.woke()
		return c.nextAhead(p), nil
	}
	for {
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			c.woke()
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			if again, failed := c.goesOn(); failed != nil || !again {
				return 0, err
			}
		case err != nil:
			c.broke(err)
			return 0, err
		default:
			return 0, nil
		}
	}
}

// watching reports whether a read is net/http's watch on a caller whose request
// is in progress: it is the only one for a single byte.
func (c *Conn) watching(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(p) == 1 && c.phase == busy
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
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// woke notes that bytes of a request came.
func (c *Conn) woke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != busy {
		c.phase, c.looked, c.rested = busy, false, time.Since(c.since)
	}
}

// goesOn reports whether to read on after a deadline for reading has passed,
// under another deadline. It isn't to while a request is in progress: then the
// deadline is net/http's own.
func (c *Conn) goesOn() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == busy || c.phase == fresh && !c.leaving {
		c.deadline = true
		return false, nil
	}
	now := time.Now()
	due := c.due()
	switch {
	case now.Before(due):
		// The limit was raised, or the process began to stop.
		return true, c.Conn.SetReadDeadline(due)
	case !c.looked:
		c.looked = true
		return true, c.Conn.SetReadDeadline(now.Add(lastLook))
	default:
		c.over(now)
		return false, nil
	}
}

// due is when the rest is over under the limit in force. The lock is held.
func (c *Conn) due() time.Time {
	switch {
	case !c.leaving:
		return c.since.Add(c.server.limit() + idleMargin)
	case c.phase == fresh:
		return c.since.Add(firstRequest)
	default:
		return c.since
	}
}

// over notes that the connection ends because it rests. The lock is held.
func (c *Conn) over(now time.Time) {
	if c.end != CauseNone {
		return
	}
	c.end = CauseIdle
	c.server.idled(c.RemoteAddr(), now.Sub(c.since), c.requests)
}

// SetReadDeadline implements net.Conn. net/http sets none while a connection
// rests, and this is where the end of its rest comes in.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == resting && t.IsZero() || c.phase == fresh && c.leaving {
		t = c.due()
	}
	return c.Conn.SetReadDeadline(t)
}

// lower has the rest end by the limit in force.
func (c *Conn) lower() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == resting && !c.looked {
		// On a connection that is closed already there is nothing to be ended.
		_ = c.Conn.SetReadDeadline(c.due())
	}
}

// leave has the connection end as soon as it rests.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.phase != busy {
		// On a connection that is closed already there is nothing to be ended.
		_ = c.Conn.SetReadDeadline(c.due())
	}
}

// state notes what net/http says of the connection.
func (c *Conn) state(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.since = time.Now()
	case http.StateActive:
		c.requests++
		c.deadline = false
		if c.phase != busy {
			// Its head came with the request before, and no byte since.
			c.phase, c.rested = busy, 0
			// A connection that fails here fails the request's next read too.
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.phase, c.since = resting, time.Now()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.ended(CauseHere)
	return c.Conn.Close()
}

// CloseWrite ends this side's half, which net/http does before it closes a
// connection with bytes unread.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return http.ErrNotSupported
	}
	return half.CloseWrite()
}

// stands says how the connection stands.
func (c *Conn) stands() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := End{Cause: c.end, Rested: c.rested, Requests: c.requests}
	if e.Cause == CauseNone && c.deadline {
		e.Cause = CauseDeadline
	}
	return e
}

// broke notes an error of reading.
func (c *Conn) broke(err error) {
	switch {
	case errors.Is(err, net.ErrClosed):
		c.ended(CauseHere)
	case errors.Is(err, io.EOF):
		c.ended(CauseCaller)
	default:
		c.ended(CauseBroken)
	}
}

// ended notes the first cause; what follows is its consequence.
func (c *Conn) ended(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == CauseNone {
		c.end = cause
	}
}
