// Package callers holds callers' connections: it serves what is asked on them,
// ends those that rest too long, and ends all in a graceful stop. Neither closes
// one under a request that has begun to come, but for what a stop breaks off when
// its time is up. It tells what ended a connection. Start reading at Server and
// Conn.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
)

const (
	// idleMargin is how much longer than the limit a connection stays open, so
	// that a request of a caller that keeps to it doesn't cross the close.
	idleMargin = time.Second
	// lastLook is how long a connection whose rest is over is looked at once
	// more. What has arrived is seen at once; the time is for a process that
	// stands still between setting the deadline and reading: a VM with a small
	// part of a core gets none for up to a tenth of a second.
	lastLook = 250 * time.Millisecond
	// firstRequest is how long a connection that was opened just before a stop
	// may take to ask. Requests that are taken later would be broken off at the
	// end of a short grace period.
	firstRequest = 250 * time.Millisecond
)

// Config is what a Server needs.
type Config struct {
	Handler http.Handler
	// HeaderTime bounds the reading of a request's head; MaxHeader its bytes.
	HeaderTime time.Duration
	MaxHeader  int
	// Limit is how long a connection may ask nothing. It may change while the
	// server runs: what is in force at the end of a rest counts, and of one that
	// was lowered Lower has to tell.
	Limit func() time.Duration
	Log   *zap.Logger
}

// Server serves callers on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	limit    func() time.Duration
	headTime time.Duration
	log      *zap.Logger
	// accepted is closed when no connection comes any more.
	accepted chan struct{}
	// mu guards what follows. A Conn's lock comes after it.
	mu      sync.Mutex
	open    map[*Conn]struct{}
	leaving bool
	// empty is closed when the server leaves and no connection is open.
	empty chan struct{}
}

// New returns a Server. It owns the listener.
func New(l net.Listener, c Config) *Server {
	s := &Server{
		listener: l, limit: c.Limit, headTime: c.HeaderTime, log: c.Log,
		accepted: make(chan struct{}), open: map[*Conn]struct{}{}, empty: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler: c.Handler, ReadHeaderTimeout: c.HeaderTime, MaxHeaderBytes: c.MaxHeader,
		ConnState: s.state, ConnContext: withConn, ErrorLog: errorLog(c.Log),
		// Its own answer to a question about the whole server would be a success
		// that no backend server gave.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve serves until Drain or Close.
func (s *Server) Serve() {
	defer close(s.accepted)
	// It returns when the listener has been closed, which is what ends it.
	_ = s.http.Serve(listener{s.listener, s})
}

// Drain takes no connection any more, lets what is in progress end, and closes
// each connection as soon as it rests. When ctx ends it closes the rest, with
// ErrBrokenOff. Serve has to have been called, or to be called.
//
// net/http's own Shutdown isn't used: it closes connections on which a request's
// head is still on its way, and drops requests that it has just read.
func (s *Server) Drain(ctx context.Context) error {
	// A listener that is closed already is as good.
	_ = s.listener.Close()
	<-s.accepted
	s.leave()
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		_ = s.Close()
		return ErrBrokenOff
	}
}

// Close ends everything at once.
func (s *Server) Close() error { return s.http.Close() }

// Lower has rests end by a limit that was lowered since they began.
func (s *Server) Lower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.lower()
	}
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	for c := range s.open {
		c.leave()
	}
	if len(s.open) == 0 {
		close(s.empty)
	}
}

// state is net/http's ConnState hook.
func (s *Server) state(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	c.state(to)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch to {
	case http.StateNew:
		s.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		if s.leaving && len(s.open) == 0 {
			close(s.empty)
		}
	}
}

// idled tells of a connection that ends because it rests.
func (s *Server) idled(peer net.Addr, rested time.Duration, requests int) {
	s.log.Info(logging.EventCallerClosed, logging.Reason(string(CauseIdle)), logging.Peer(peer.String()),
		zap.Duration("rested", rested), zap.Duration("limit", s.limit()), zap.Int("requests", requests))
}
