package router

import (
	"time"

	"github.com/applepier/applepier/policy"
)

const (
	// shutdownSendMargin is the time before the end of a shutdown that a response needs beyond the time at
	// its server: for a new connection, and for its way to the caller.
	shutdownSendMargin = 100 * time.Millisecond
	// minTimeShare is the share of its whole time limit that a request of which little is known must have
	// until the end of a shutdown, however late its body was complete.
	minTimeShare = 0.6
)

// shutdown is the end of a graceful shutdown.
type shutdown struct {
	// divertedAt is when callers have been diverted to other gateways, and abortAt when the requests still
	// in progress are aborted.
	divertedAt, abortAt time.Time
}

// BeginShutdown announces that requests in progress are aborted at abortAt. Until divertedAt callers are still
// sent here. It is safe for concurrent use.
func (r *Router) BeginShutdown(divertedAt, abortAt time.Time) {
	r.shutdown.Store(&shutdown{divertedAt: divertedAt, abortAt: abortAt})
}

// refuseIfShutdownEnds responds to the request and reports true if it would still be in progress when a
// shutdown ends. It is called before each send: a request that is cut at a server may have run.
func (c *call) refuseIfShutdownEnds() bool {
	switch {
	case c.fitsShutdown(time.Now()):
		return false
	case c.sends > 0:
		c.respondFinalFailure()
	default:
		c.w.Header().Set("Connection", "close")
		c.refuse(ReasonShutdown, stateRetryAfter)
	}
	return true
}

// fitsShutdown reports whether the request, if it is sent now, is expected to end before a shutdown does. A
// request ends at its deadline in any case. As long as callers are still sent here, it is sent unless one in
// two of its route takes longer than what is left; later, unless any took longer, or little is known and
// what is left is less than minTimeShare of its time limit.
func (c *call) fitsShutdown(now time.Time) bool {
	s := c.router.shutdown.Load()
	if s == nil {
		return true
	}
	end := s.abortAt.Add(-shutdownSendMargin)
	if !c.deadline.After(end) {
		return true
	}
	left := end.Sub(now)
	known := c.router.requestTimes(c)
	switch {
	case now.Before(s.divertedAt):
		return !known.Reliable || known.Median <= left
	case known.Longest > left:
		return false
	default:
		return known.Reliable || float64(left) >= minTimeShare*float64(c.deadline.Sub(c.arrivedAt))
	}
}

// requestTimes returns how long requests of the call's route take.
func (r *Router) requestTimes(c *call) policy.ClassTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serviceFor(c.service).times.Of(c.route.Name)
}

// observeRequestTime records how long a served request took at its server. It ignores resumed streams, which
// are parts of one.
func (r *Router) observeRequestTime(c *call) {
	if c.params.LastEventID != "" {
		return
	}
	took := time.Since(c.sentAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceFor(c.service).times.Observe(c.route.Name, took)
}
