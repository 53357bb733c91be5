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
	leaving bool
	// watched says that the next read is net/http's watch on the caller.
	watched  bool
	requests int
	end      Cause
	// deadline says that a read ended by a deadline during the last request.
	deadline bool
	// ahead is what came while a request was in progress, and begun says that
	// some of that was handed out and is a request's. Only who reads touches
	// them, and net/http lets one read at a time.
	ahead []byte
	begun bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.watches(p) {
		return c.watch(p)
	}
	if len(c.ahead) > 0 {
		n := c.nextAhead(p)
		c.woke(p[:n])
		return n, nil
	}
	for {
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			c.woke(p[:n])
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !c.goesOn() {
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

// woke notes what came: a request's first byte ends a rest, and from it on its
// head has its time. Line ends between requests, which some callers send too many
// of, are none.
func (c *Conn) woke(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != fresh && c.phase != resting || blank(p) {
		return
	}
	c.phase, c.rested = begun, time.Since(c.since)
	// On a connection that fails here the next read fails too.
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.headTime))
}

// goesOn reports whether to read on, under another deadline, after one has passed.
// It isn't to while a request is in progress: then the deadline is net/http's or
// the handler's own.
func (c *Conn) goesOn() bool {
	c.mu.Lock()
	if c.phase != resting && (c.phase != fresh || !c.leaving) {
		c.deadline = true
		c.mu.Unlock()
		return false
	}
	now := time.Now()
	next := c.due()
	switch {
	case now.Before(next):
		// The limit was raised.
	case !c.looked:
		c.looked = true
		next = now.Add(lastLook)
	default:
		c.phase, c.end = over, CauseIdle
		rested, requests := now.Sub(c.since), c.requests
		c.mu.Unlock()
		c.server.idled(c.RemoteAddr(), rested, requests)
		return false
	}
	err := c.Conn.SetReadDeadline(next)
	c.mu.Unlock()
	return err == nil
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

// SetReadDeadline implements net.Conn. net/http sets none while a connection
// rests, and this is where the end of its rest comes in; and none before it
// watches a caller whose request is in progress.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = c.phase == busy && t.IsZero()
	switch {
	case c.phase == resting && t.IsZero(), c.phase == fresh && c.leaving:
		t = c.due()
	case c.phase == begun && t.IsZero():
		t = time.Now().Add(c.server.headTime)
	case c.phase == over:
		t = c.since
	}
	return c.Conn.SetReadDeadline(t)
}

// leave has the connection end as soon as it rests.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.phase == fresh || c.phase == resting {
		// On a connection that is closed already there is nothing to be ended.
		_ = c.Conn.SetReadDeadline(c.due())
	}
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

// state notes what net/http says of the connection, from who reads it.
func (c *Conn) state(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.since = time.Now()
	case http.StateActive:
		if c.phase == resting {
			// Its head came together with the request before.
			c.rested = 0
		}
		c.phase, c.deadline, c.begun = busy, false, false
		c.requests++
		// The head's time is over. A connection that fails here fails the
		// request's next read too.
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.since, c.looked, c.watched = time.Now(), false, false
		switch {
		case c.leaving:
			// What would follow would be broken off at the end of the stop.
			c.phase, c.ahead = over, nil
		case c.begun || !blank(c.ahead):
			c.phase, c.rested = begun, 0
		default:
			c.phase = resting
		}
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
