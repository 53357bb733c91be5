package gateway

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

// sinceWhen is since when something holds. Its methods may be called concurrently.
type sinceWhen struct {
	// at is on boottime's clock; 0 while it doesn't hold.
	at atomic.Int64
}

// note notes whether it holds now.
func (s *sinceWhen) note(holds bool) {
	if !holds {
		s.at.Store(0)
		return
	}
	s.at.CompareAndSwap(0, int64(boottime.Now()))
}

// long notes that it has held for longer than anybody asks for.
func (s *sinceWhen) long() { s.at.Store(1) }

// longer reports whether it has held for a time.
func (s *sinceWhen) longer(than time.Duration) bool {
	at := s.at.Load()
	return at != 0 && boottime.Now()-time.Duration(at) > than
}
