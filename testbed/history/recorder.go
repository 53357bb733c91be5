package history

import "sync"

// Recorder collects a History. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Call records a call.
func (r *Recorder) Call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// Runs records runs of a backend server.
func (r *Recorder) Runs(runs ...Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Runs = append(r.history.Runs, runs...)
}

// Fault records a fault.
func (r *Recorder) Fault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, f)
}

// Drain records that a VM was ordered to drain.
func (r *Recorder) Drain(d Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Drains = append(r.history.Drains, d)
}

// Stop records a planned stop.
func (r *Recorder) Stop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Stops = append(r.history.Stops, s)
}

// Change records an accepted change of targets.
func (r *Recorder) Change(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Changes = append(r.history.Changes, c)
}

// Version records a reading of the version of the targets in force.
func (r *Recorder) Version(v VersionReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Versions = append(r.history.Versions, v)
}

// FencingToken records a reading of a fencing token.
func (r *Recorder) FencingToken(f FencingTokenReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.FencingTokens = append(r.history.FencingTokens, f)
}

// History returns a copy of what has been recorded so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Calls = append([]Call(nil), h.Calls...)
	h.Runs = append([]Run(nil), h.Runs...)
	h.Faults = append([]Fault(nil), h.Faults...)
	h.Drains = append([]Drain(nil), h.Drains...)
	h.Stops = append([]Stop(nil), h.Stops...)
	h.Changes = append([]Change(nil), h.Changes...)
	h.Versions = append([]VersionReading(nil), h.Versions...)
	h.FencingTokens = append([]FencingTokenReading(nil), h.FencingTokens...)
	return h
}
