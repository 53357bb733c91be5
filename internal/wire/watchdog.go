package wire

import (
	"sync"
	"time"
)

// silenceParts is in how many parts of HeartbeatEvery SilenceBound is counted.
const silenceParts = int(SilenceBound / HeartbeatEvery)

// Silence ends a wait for a peer that has sent nothing for SilenceBound. It
// counts only while Begin and End enclose a wait, and part by part, the next one
// set when the last has been seen: a process that stood still finds its timer
// due and what has come at once when it goes on, and however long it stood
// still, it counts one part only.
type Silence struct {
	cut func()

	mu      sync.Mutex
	timer   *time.Timer
	waiting bool
	// set is when the timer was set last, and left how many parts of the bound
	// are left from then.
	set  time.Time
	left int
	over bool
}

// NewSilence returns one that calls cut once when a wait was silent for too long;
// cut must make what waits return.
func NewSilence(cut func()) *Silence {
	s := &Silence{cut: cut}
	s.timer = time.AfterFunc(HeartbeatEvery, s.due)
	s.timer.Stop()
	return s
}

// Begin begins a wait.
func (s *Silence) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.waiting = true
	s.left = silenceParts
	s.next()
}

// End ends a wait and reports whether it wasn't cut; then it won't be.
func (s *Silence) End() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	// A part that is due already finds that nobody waits.
	s.timer.Stop()
	return !s.over
}

// Over reports whether a wait was cut.
func (s *Silence) Over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// next sets the timer to the end of a part.
func (s *Silence) next() {
	s.set = time.Now()
	s.timer.Reset(HeartbeatEvery)
}

// due ends a part of a silent wait.
func (s *Silence) due() {
	if s.count() {
		s.cut()
	}
}

// count reports whether the wait was silent for too long.
func (s *Silence) count() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting || time.Since(s.set) < HeartbeatEvery {
		// What was due was a part of an earlier wait.
		return false
	}
	s.left--
	if s.left > 0 {
		s.next()
		return false
	}
	s.waiting = false
	s.over = true
	return true
}
