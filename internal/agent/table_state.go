package agent

import (
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// closedRetryAfter is when a caller may come back to a fleet that has no
// engine at all; entries try other engines first.
const closedRetryAfter = 2 * time.Second

func (tb *table) closed() (wire.Reason, bool) {
	if tb.leaving {
		return wire.ReasonLeaving, true
	}
	if !tb.engineUp {
		return wire.ReasonEngineDown, true
	}
	if tb.switching {
		return wire.ReasonSwitching, true
	}
	return "", false
}

// leave refuses all that waits; what is granted or runs goes on to its end.
func (tb *table) leave() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if !tb.leaving {
		tb.ring.Record(timeline.KindLeave, "", "", "takes no new work")
	}
	tb.leaving = true
	tb.refuseWaiting(wire.ReasonLeaving)
	tb.tell(wire.Message{Status: tb.status(0)})
	tb.checkDrained()
}

// setEngine notes whether the backend server can be reached.
func (tb *table) setEngine(up bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if up == tb.engineUp {
		return
	}
	tb.engineUp = up
	if !up {
		tb.refuseWaiting(wire.ReasonEngineDown)
	}
	tb.tell(wire.Message{Status: tb.status(0)})
}

// checkDrained ends the wait of a graceful shutdown. Called with mu held.
func (tb *table) checkDrained() {
	if !tb.leaving || len(tb.grants.used) > 0 || len(tb.grants.offered) > 0 {
		return
	}
	tb.drainOnce.Do(func() { close(tb.drained) })
}

// state says whether new tickets are refused, and why.
func (tb *table) state() (wire.Reason, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.closed()
}

// statusNow answers a Ping.
func (tb *table) statusNow(seq uint64) *wire.Status {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.status(seq)
}

func (tb *table) status(seq uint64) *wire.Status {
	load := tb.sched.Load()
	return &wire.Status{
		Seq:        seq,
		Waiting:    load.Waiting,
		Running:    load.Running,
		Limit:      load.Limit,
		Leaving:    tb.leaving,
		EngineDown: !tb.engineUp || tb.switching,
	}
}
