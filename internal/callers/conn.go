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

// Conn is a caller's connection. It is idle from the end of a response to the first byte
// of the next request. net/http leaves its own idle state later: only when the complete
// request header has been read.
//
// Only the reading goroutine ends an idle period: the end is a read deadline, and after
// it has passed the connection is read for another idleGrace before it is closed.
// If another goroutine closed the connection, it could do so under a request that has
// just been read and passed to the handler.
type Conn struct {
	net.Conn
	server *Server
	// mu guards the fields up to readAhead; no other lock is acquired while it is held.
	mu    sync.Mutex
	phase phase
	// idleSince is when the current idle period began; idleTime is the length of the
	// last one.
	idleSince time.Time
	idleTime  time.Duration
	// inGrace is set during the grace period, idleGrace, after the idle deadline.
	inGrace bool
	// draining is set when the process stops: idle periods end at once.
	draining bool
	// backgroundNext is set when the next read is net/http's background read, which
	// detects a caller that disconnects during its request.
	backgroundNext bool
	requests       int
	closeReason    CloseReason
	// deadlineHit is set when a read deadline expired during the last request.
	deadlineHit bool
	// readAhead holds bytes that arrived while a request was in progress. nextBegun is
	// set when some of them were returned to net/http and belong to the next request.
	// Only the reading goroutine uses both fields, and net/http runs one read at a
	// time.
	readAhead []byte
	nextBegun bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isBackgroundRead(p) {
		return c.backgroundRead(p)
	}
	if len(c.readAhead) > 0 {
		n := c.takeReadAhead(p)
		c.received(p[:n])
		return n, nil
	}
	for {
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			c.received(p[:n])
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !c.extendDeadline() {
				return 0, err
			}
		case err != nil:
			c.recordReadError(err)
			return 0, err
		default:
			return 0, nil
		}
	}
}

// received updates the phase after a read: the first byte of a request ends the idle
// period and starts the header timeout. Line ends between requests, which some callers
// send in excess, are ignored.
func (c *Conn) received(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseNew && c.phase != phaseIdle || onlyNewlines(p) {
		return
	}
	c.phase, c.idleTime = phaseHeader, time.Since(c.idleSince)
	// If this fails, the next read fails too.
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.headerTimeout))
}

// extendDeadline sets a new read deadline after one has passed and reports whether to
// continue reading. It returns false while a request is in progress: then the deadline
// is net/http's or the handler's own.
func (c *Conn) extendDeadline() bool {
	c.mu.Lock()
	if c.phase != phaseIdle && (c.phase != phaseNew || !c.draining) {
		c.deadlineHit = true
		c.mu.Unlock()
		return false
	}
	now := time.Now()
	deadline := c.idleDeadline()
	switch {
	case now.Before(deadline):
		// The idle timeout was raised.
	case !c.inGrace:
		c.inGrace = true
		deadline = now.Add(idleGrace)
	default:
		c.phase, c.closeReason = phaseClosing, ReasonIdle
		idleTime, requests := now.Sub(c.idleSince), c.requests
		c.mu.Unlock()
		c.server.logIdleClose(c.RemoteAddr(), idleTime, requests)
		return false
	}
	err := c.Conn.SetReadDeadline(deadline)
	c.mu.Unlock()
	return err == nil
}

// idleDeadline returns the end of the idle period under the current idle timeout. The
// caller holds mu.
func (c *Conn) idleDeadline() time.Time {
	switch {
	case !c.draining:
		return c.idleSince.Add(c.server.idleTimeout() + idleMargin)
	case c.phase == phaseNew:
		return c.idleSince.Add(firstRequestTimeout)
	default:
		return c.idleSince
	}
}

// SetReadDeadline implements net.Conn. net/http clears the deadline when a connection
// becomes idle, and the idle deadline is set here instead. It also clears the deadline
// before its background read during a request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backgroundNext = c.phase == phaseActive && t.IsZero()
	switch {
	case c.phase == phaseIdle && t.IsZero(), c.phase == phaseNew && c.draining:
		t = c.idleDeadline()
	case c.phase == phaseHeader && t.IsZero():
		t = time.Now().Add(c.server.headerTimeout)
	case c.phase == phaseClosing:
		t = c.idleSince
	}
	return c.Conn.SetReadDeadline(t)
}

// startDrain makes the connection close as soon as it is idle.
func (c *Conn) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.phase == phaseNew || c.phase == phaseIdle {
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(c.idleDeadline())
	}
}

// applyIdleTimeout moves the deadline of an idle connection to that of the current idle
// timeout.
func (c *Conn) applyIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle && !c.inGrace {
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(c.idleDeadline())
	}
}

// stateChanged handles a net/http state change. It runs on the reading goroutine.
func (c *Conn) stateChanged(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.idleSince = time.Now()
	case http.StateActive:
		if c.phase == phaseIdle {
			// The header arrived together with the previous request.
			c.idleTime = 0
		}
		c.phase, c.deadlineHit, c.nextBegun = phaseActive, false, false
		c.requests++
		// The header timeout no longer applies. If this fails, the request's next read
		// fails too.
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.idleSince, c.inGrace, c.backgroundNext = time.Now(), false, false
		switch {
		case c.draining:
			// A further request would be aborted at the end of the drain.
			c.phase, c.readAhead = phaseClosing, nil
		case c.nextBegun || !onlyNewlines(c.readAhead):
			c.phase, c.idleTime = phaseHeader, 0
		default:
			c.phase = phaseIdle
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.recordCloseReason(ReasonServerClosed)
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side, which net/http does before it closes a
// connection with unread bytes. It returns http.ErrNotSupported when the underlying
// connection has no CloseWrite.
func (c *Conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return http.ErrNotSupported
	}
	return closer.CloseWrite()
}

// status returns a snapshot for the log.
func (c *Conn) status() ConnStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := ConnStatus{CloseReason: c.closeReason, IdleTime: c.idleTime, Requests: c.requests}
	if status.CloseReason == ReasonNone && c.deadlineHit {
		status.CloseReason = ReasonReadDeadline
	}
	return status
}

// recordReadError records the close reason that a read error stands for.
func (c *Conn) recordReadError(err error) {
	switch {
	case errors.Is(err, net.ErrClosed):
		c.recordCloseReason(ReasonServerClosed)
	case errors.Is(err, io.EOF):
		c.recordCloseReason(ReasonCallerClosed)
	default:
		c.recordCloseReason(ReasonBroken)
	}
}

// recordCloseReason keeps the first reason; later ones are consequences of it.
func (c *Conn) recordCloseReason(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == ReasonNone {
		c.closeReason = reason
	}
}
