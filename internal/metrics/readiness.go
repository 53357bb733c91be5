package metrics

import "sync"

// Readiness says whether a process takes new work. Its zero value doesn't,
// since the process is starting.
type Readiness struct {
	mu     sync.Mutex
	ready  bool
	reason string
}

// reasonStarting is given until the first Ready or NotReady.
const reasonStarting = "starting"

// Ready says that the process takes new work.
func (r *Readiness) Ready() { r.set(true, "") }

// NotReady says that it takes none, and why, in few words.
func (r *Readiness) NotReady(reason string) { r.set(false, reason) }

func (r *Readiness) set(ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready, r.reason = ready, reason
}

func (r *Readiness) state() (ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready && r.reason == "" {
		return false, reasonStarting
	}
	return r.ready, r.reason
}
