package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleMargin is how much longer than the operators' limit a connection stays
// open, so that a request of a caller that keeps to it doesn't cross the close.
const idleMargin = time.Second

// idle closes callers' connections that ask nothing for longer than a limit
// that may change while the server runs, which net/http's own can't.
type idle struct {
	limit func() time.Duration
	// mu guards timers; nothing is locked while it is held.
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdle(limit func() time.Duration) *idle {
	return &idle{limit: limit, timers: map[net.Conn]*time.Timer{}}
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
		i.timers[c] = time.AfterFunc(i.limit()+idleMargin, func() { _ = c.Close() })
	}
}
