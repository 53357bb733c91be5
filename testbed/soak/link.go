package soak

import (
	"sync"
	"time"
)

// link models a VM's bandwidth in one direction. Data of all connections shares
// one FIFO queue, as in a router.
type link struct {
	// bitsPerSecond is the link's bandwidth.
	bitsPerSecond float64
	// mu guards freeAt; no other lock is acquired while it is held.
	mu     sync.Mutex
	freeAt time.Time
}

// reserve queues a number of bytes at time now and returns when they have been sent.
func (l *link) reserve(bytes int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / l.bitsPerSecond * float64(time.Second)))
	return l.freeAt
}
