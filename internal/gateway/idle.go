package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/callers"
	"github.com/applepier/applepier/internal/logging"
)

// idleMargin is how much longer than the operators' limit a connection stays
// open, so that a request of a caller that keeps to it doesn't cross the close.
const idleMargin = time.Second

// idle closes callers' connections that ask nothing for longer than a limit
// that may change while the server runs, which net/http's own can't.
type idle struct {
	limit func() time.Duration
	log   *zap.Logger
	// mu guards timers; nothing is locked while it is held.
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdle(limit func() time.Duration, log *zap.Logger) *idle {
	return &idle{limit: limit, log: log, timers: map[net.Conn]*time.Timer{}}
}

// state is the server's ConnState hook.
func (i *idle) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	if s == http.StateIdle {
		limit := i.limit()
		i.timers[c] = time.AfterFunc(limit+idleMargin, func() { i.close(c, limit) })
	}
	if known, ok := c.(*callers.Conn); ok {
		known.State(s)
	}
}

// close closes a connection that rested longer than its limit.
func (i *idle) close(c net.Conn, limit time.Duration) {
	known, ok := c.(*callers.Conn)
	if !ok {
		// It is of no use any more, whatever closing it says.
		_ = c.Close()
		return
	}
	end := known.CloseIdle()
	i.log.Info(logging.EventCallerClosed, logging.Reason(string(end.Cause)), logging.Peer(c.RemoteAddr().String()),
		zap.Duration("rested", end.Rested), zap.Duration("limit", limit), zap.Int("requests", end.Requests))
}
