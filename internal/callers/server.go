// Package callers serves callers' HTTP connections: it closes those that stay idle for
// too long, and drains all of them during a graceful shutdown. Neither closes a
// connection on which a request has begun to arrive, except for requests that are still
// in progress when the drain times out. It also reports why a connection was closed.
// Start reading at Server and Conn.
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
	// idleMargin is how much longer than the idle timeout a connection stays open, so
	// that the request of a caller that keeps to the timeout doesn't cross the close.
	idleMargin = time.Second
	// idleGrace is the grace period during which a connection is still read after its
	// idle deadline. Bytes that have arrived are read at once. The period allows for a
	// process that is not scheduled between setting the deadline and reading; a VM with
	// a small share of a core may get no CPU time for up to 100 ms.
	idleGrace = 250 * time.Millisecond
	// firstRequestTimeout bounds the wait for the first byte on a connection that was
	// opened just before a drain. A request accepted later could still be in progress
	// when a short drain times out, and would then be aborted.
	firstRequestTimeout = 250 * time.Millisecond
)

// Config holds a Server's settings; all fields but Pause are required.
type Config struct {
	Handler http.Handler
	// HeaderTimeout bounds the reading of a request's header, and MaxHeaderBytes its
	// size.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	// IdleTimeout returns how long a connection may be idle. The value may change while
	// the server runs: the one at the end of an idle period applies. After it was
	// lowered, ApplyIdleTimeout must be called.
	IdleTimeout func() time.Duration
	// Pause returns for how long the server is to stop listening now, so that new callers go
	// elsewhere; 0 for not at all. It is called before each connection is accepted; nil for never.
	Pause func() time.Duration
	Log   *zap.Logger
}

// Server serves the callers of one listener.
type Server struct {
	http          *http.Server
	listener      *listener
	idleTimeout   func() time.Duration
	pause         func() time.Duration
	headerTimeout time.Duration
	log           *zap.Logger
	// acceptDone is closed when no more connections are accepted.
	acceptDone chan struct{}
	// mu guards the fields below. It is locked before a Conn's mu.
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	draining bool
	// drained is closed when the server drains and no connection is open.
	drained chan struct{}
}

// New returns a Server that owns l. Serve starts it.
func New(l net.Listener, config Config) *Server {
	s := &Server{
		idleTimeout: config.IdleTimeout, pause: config.Pause, headerTimeout: config.HeaderTimeout, log: config.Log,
		acceptDone: make(chan struct{}), conns: map[*Conn]struct{}{}, drained: make(chan struct{}),
	}
	s.listener = newListener(l, s)
	s.http = &http.Server{
		Handler: config.Handler, ReadHeaderTimeout: config.HeaderTimeout, MaxHeaderBytes: config.MaxHeaderBytes,
		ConnState: s.connStateChanged, ConnContext: withConn, ErrorLog: newErrorLog(config.Log),
		// net/http would answer OPTIONS * itself, with a success that no backend server
		// gave.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts and serves connections until Drain or Close.
func (s *Server) Serve() {
	defer close(s.acceptDone)
	// The error says only that the listener was closed, which is how Serve ends.
	_ = s.http.Serve(s.listener)
}

// Drain stops accepting connections, lets requests in progress finish and closes each
// connection as soon as it is idle. When ctx ends first, it closes the remaining
// connections and returns ErrDrainTimeout. It waits for Serve to return, so Serve must
// have been called or be called concurrently.
//
// http.Server.Shutdown isn't used: it closes connections on which a request header is
// still arriving, and drops requests that it has just read.
func (s *Server) Drain(ctx context.Context) error {
	// An error means that the listener is closed already.
	_ = s.listener.Close()
	<-s.acceptDone
	s.startDrain()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		_ = s.Close()
		return ErrDrainTimeout
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// ApplyIdleTimeout applies a lowered idle timeout to connections that are idle already.
func (s *Server) ApplyIdleTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.applyIdleTimeout()
	}
}

func (s *Server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	for c := range s.conns {
		c.startDrain()
	}
	if len(s.conns) == 0 {
		close(s.drained)
	}
}

// connStateChanged is net/http's ConnState hook.
func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	c.stateChanged(state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		if s.draining && len(s.conns) == 0 {
			close(s.drained)
		}
	}
}

// logIdleClose logs that an idle connection is closed.
func (s *Server) logIdleClose(peer net.Addr, idleTime time.Duration, requests int) {
	s.log.Info(logging.EventIdleConnClosed, logging.Reason(string(ReasonIdle)), logging.Peer(peer.String()),
		zap.Duration("rested", idleTime), zap.Duration("limit", s.idleTimeout()), zap.Int("requests", requests))
}
