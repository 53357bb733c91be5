package soak

import (
	"sync"
	"time"
)

// link is a VM's line in one direction: what passes waits for what came before,
// whatever connection it is on, as in a router's queue.
type link struct {
	// bits is its rate in bits a second.
	bits float64
	// mu guards free; nothing is locked while it is held.
	mu   sync.Mutex
	free time.Time
}

// reserve returns when bytes that came now are through.
func (l *link) reserve(bytes int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) * 8 / l.bits * float64(time.Second)))
	return l.free
}
