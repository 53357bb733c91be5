package entry

import (
	"net/http"
	"sync/atomic"
)

// health answers the platform's balancer.
type health struct{ leaving atomic.Bool }

func (h *health) leave() { h.leaving.Store(true) }

// serveReady is 200 once requests can be served and until the process leaves.
func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.health.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.fleet.Known():
		http.Error(w, "no VM list yet: the platform and the seeds are unreachable", http.StatusServiceUnavailable)
	case e.targetsVersion() == 0:
		http.Error(w, "no classes yet: none are set, or the platform and the seeds are unreachable", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (e *entry) serveHealthy(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}
