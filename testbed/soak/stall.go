package soak

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the time between two looks at the clock.
	stallCheckInterval = 50 * time.Millisecond
	// minStall is the shortest gap between two looks that is recorded.
	minStall = 500 * time.Millisecond
)

// Stall is a time in which the soak's own process didn't run, because of the machine's load or because the
// whole machine stood still. Time limits that end then end without a process having had that time. A stall
// excuses nothing; reports of time limits name it.
type Stall struct {
	From, To time.Time
	// Monotonic and Wall are the lengths by both clocks. The monotonic clock of a virtual machine stands
	// still with it, the other one may be set forward afterwards.
	Monotonic, Wall time.Duration
}

// newStall returns the stall between two times that were read one after the other, or false if there is
// none.
func newStall(from, to time.Time) (Stall, bool) {
	s := Stall{From: from, To: to, Monotonic: to.Sub(from), Wall: to.Round(0).Sub(from.Round(0))}
	return s, max(s.Monotonic, s.Wall) >= minStall
}

// watchStalls records stalls until ctx ends.
func (h *harness) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, stallCheckInterval)
		now := time.Now()
		if stall, ok := newStall(last, now); ok {
			h.mu.Lock()
			h.history.Stalls = append(h.history.Stalls, stall)
			h.mu.Unlock()
		}
		last = now
	}
}

// longestStall returns the length of the longest stall that overlaps with the time between from and to; 0
// if there is none.
func (h *History) longestStall(from, to time.Time) time.Duration {
	var longest time.Duration
	for _, s := range h.Stalls {
		if s.From.Before(to) && s.To.After(from) {
			longest = max(longest, s.Monotonic, s.Wall)
		}
	}
	return longest
}
