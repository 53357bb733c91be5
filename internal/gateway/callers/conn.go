// Package callers holds callers' connections to a gateway: how long each has
// rested, and what ended it. Start reading at Conn.
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

// Conn is a caller's connection that remembers what ended it. Without that a
// caller that left can't be told from a connection that this process closed.
type Conn struct {
	net.Conn
	// mu guards what follows; nothing is locked while it is held.
	mu sync.Mutex
	// since is when it began to rest, and rested how long it had rested before
	// the request in progress.
	since  time.Time
	rested time.Duration
	// requests counts those that were read.
	requests int
	end      Cause
	// deadline says that a read ended by a deadline last.
	deadline bool
}

// Cause is what ended a connection.
type Cause string

// Causes.
const (
	// CauseNone: it is open, as far as this process can see.
	CauseNone Cause = ""
	// CauseCaller: the caller ended its side.
	CauseCaller Cause = "caller_closed"
	// CauseBroken: it was reset, or what was sent stayed unacknowledged.
	CauseBroken Cause = "broken"
	// CauseIdle: this process closed it, since it rested longer than it may.
	CauseIdle Cause = "idle"
	// CauseHere: this process closed it for another reason.
	CauseHere Cause = "closed_here"
	// CauseDeadline: a deadline for reading passed.
	CauseDeadline Cause = "read_deadline"
)

// End is how a connection stands, for the log.
type End struct {
	Cause Cause
	// Rested is for how long it had rested before its last request, or before
	// it was closed if it rested then.
	Rested   time.Duration
	Requests int
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.broke(err)
	}
	return n, err
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

// State notes what the server says of the connection.
func (c *Conn) State(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.since = time.Now()
	case http.StateActive:
		c.rested = time.Since(c.since)
		c.requests++
		c.since = time.Time{}
	}
}

// CloseIdle closes the connection as one that rests too long.
func (c *Conn) CloseIdle() End {
	c.ended(CauseIdle)
	// It is of no use any more, whatever closing it says.
	_ = c.Conn.Close()
	return c.End()
}

// End says how the connection stands.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := End{Cause: c.end, Rested: c.rested, Requests: c.requests}
	if e.Cause == CauseNone && c.deadline {
		e.Cause = CauseDeadline
	}
	if !c.since.IsZero() {
		e.Rested = time.Since(c.since)
	}
	return e
}

// broke notes an error of reading. One by a deadline isn't the connection's end:
// net/http sets one to have its watch on the caller back.
func (c *Conn) broke(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.mu.Lock()
		c.deadline = true
		c.mu.Unlock()
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
