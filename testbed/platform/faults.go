package platform

import (
	"net/http"
	"time"
)

// writeFunc applies a write and returns the HTTP status.
type writeFunc func(body []byte, r *http.Request) int

// limitRead wraps the handler of a read with the configured faults and rate limits.
func (s *Server) limitRead(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, false) {
			return
		}
		next(w, r)
	}
}

// limitWrite returns a handler that applies a write within the configured faults and
// rate limits.
func (s *Server) limitWrite(apply writeFunc) http.HandlerFunc {
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
		if s.takeDroppedResponse() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	}
}

// admit applies the configured delay and reports whether the request may go on.
// If not, it has sent the error response.
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
	if !s.countRequest(isWrite, k) {
		http.Error(w, "too many requests", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// countRequest counts a request and reports whether it is within the rate limit.
func (s *Server) countRequest(isWrite bool, k Knobs) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, limit, counter := &s.reads, k.ReadsPerSecond, &s.stats.Reads
	if isWrite {
		limiter, limit, counter = &s.writes, k.WritesPerSecond, &s.stats.Writes
	}
	if !limiter.allow(time.Now(), limit) {
		s.stats.Throttled++
		return false
	}
	*counter++
	return true
}

// takeDroppedResponse reports whether to drop this write's response, and if so counts
// Knobs.DropResponses down and Stats.DroppedResponses up.
func (s *Server) takeDroppedResponse() bool {
	drop := false
	s.knobs.Update(func(k *Knobs) {
		if k.DropResponses > 0 {
			k.DropResponses--
			drop = true
		}
	})
	if drop {
		s.updateStats(func(stats *Stats) { stats.DroppedResponses++ })
	}
	return drop
}
