package history

import "sync"

// Recorder gathers a History from several goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Call notes a caller's side of a request.
func (r *Recorder) Call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// Runs notes runs of a backend server.
func (r *Recorder) Runs(runs ...Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Runs = append(r.history.Runs, runs...)
}

// Fault notes a fault.
func (r *Recorder) Fault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, f)
}

// Leaving notes a VM that was told to leave.
func (r *Recorder) Leaving(l Leaving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Leavings = append(r.history.Leavings, l)
}

// Stop notes a planned stop.
func (r *Recorder) Stop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Stops = append(r.history.Stops, s)
}

// Change notes an accepted change of targets.
func (r *Recorder) Change(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Changes = append(r.history.Changes, c)
}

// Version notes a reading of the targets in force.
func (r *Recorder) Version(v VersionSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Versions = append(r.history.Versions, v)
}

// Fence notes a reading of a fencing number.
func (r *Recorder) Fence(f FenceSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Fences = append(r.history.Fences, f)
}

// History returns what has been noted so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Calls = append([]Call(nil), h.Calls...)
	h.Runs = append([]Run(nil), h.Runs...)
	h.Faults = append([]Fault(nil), h.Faults...)
	h.Leavings = append([]Leaving(nil), h.Leavings...)
	h.Stops = append([]Stop(nil), h.Stops...)
	h.Changes = append([]Change(nil), h.Changes...)
	h.Versions = append([]VersionSeen(nil), h.Versions...)
	h.Fences = append([]FenceSeen(nil), h.Fences...)
	return h
}
