package router

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/gateway/routes"
)

// longestWait is the longest time for which a caller of a stream that may be resumed has been seen to wait.
// It outlasts a change of the routes' timeouts: the callers of streams in progress still wait as long as
// they meant to. It is safe for concurrent use.
type longestWait struct{ nanoseconds atomic.Int64 }

// observe records a request, given its route and the time limit that its caller states, 0 if it states
// none. A stated limit counts up to DefaultTimeout, so that no caller can prolong the wait at will.
func (w *longestWait) observe(route *routes.Route, stated time.Duration) {
	if !route.Resumable {
		return
	}
	wait := route.Timeout
	if wait == 0 {
		wait = DefaultTimeout
	}
	wait = max(wait, min(stated, DefaultTimeout))
	for known := w.nanoseconds.Load(); int64(wait) > known; known = w.nanoseconds.Load() {
		if w.nanoseconds.CompareAndSwap(known, int64(wait)) {
			return
		}
	}
}

// LongestStreamWait returns the longest time for which a caller of a stream that may be resumed has been
// seen to wait since the Router was made; 0 if there was none.
func (r *Router) LongestStreamWait() time.Duration {
	return time.Duration(r.longestStreamWait.nanoseconds.Load())
}
