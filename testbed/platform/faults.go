package platform

import (
	"net/http"
	"time"
)

// writeFunc applies a write and returns its status.
type writeFunc func(body []byte, r *http.Request) int

// read puts the faults and limits in front of a call that changes nothing.
func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, false) {
			return
		}
		next(w, r)
	}
}

// write puts the faults and limits in front of a write.
func (s *Server) write(apply writeFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !s.admit(w, true) {
			return
		}
		status := apply(body, r)
		if s.takeLoss() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	}
}

// admit waits as long as the platform is slow and answers calls that it does
// not take.
func (s *Server) admit(w http.ResponseWriter, isWrite bool) bool {
	k := s.knobs.Get()
	if k.SlowMS > 0 {
		time.Sleep(time.Duration(k.SlowMS) * time.Millisecond)
		k = s.knobs.Get()
	}
	if k.Down {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return false
	}
	if !s.takeCall(isWrite, k) {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// takeCall counts a call against the limits.
func (s *Server) takeCall(isWrite bool, k Knobs) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, limit, counter := &s.reads, k.ReadsPerSecond, &s.stats.Reads
	if isWrite {
		calls, limit, counter = &s.writes, k.WritesPerSecond, &s.stats.Writes
	}
	if !calls.take(time.Now(), limit) {
		s.stats.Throttled++
		return false
	}
	*counter++
	return true
}

// takeLoss reports whether this write's answer is to be lost.
func (s *Server) takeLoss() bool {
	lose := false
	s.knobs.Update(func(k *Knobs) {
		if k.LoseAnswers > 0 {
			k.LoseAnswers--
			lose = true
		}
	})
	if lose {
		s.count(func(stats *Stats) { stats.Lost++ })
	}
	return lose
}
