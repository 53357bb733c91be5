package engine

import (
	"container/heap"
	"context"
	"sync"
)

// slots limits the number of concurrent streams. Further streams wait in order
// of priority, then of arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	running int
	lastSeq int
	waiting waitQueue
}

// acquire waits for a slot. It returns the error of ctx if ctx ends first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w := s.enqueue(priority)
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

// release returns a slot that was acquired.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admit()
}

// setLimit changes the maximum number of running streams. Streams that already
// run are not stopped.
func (s *slots) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.admit()
}

// counts returns the numbers of running and waiting streams.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// enqueue adds a waiter to the queue; it gets a slot immediately if one is free.
func (s *slots) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeq++
	w := &waiter{priority: priority, seq: s.lastSeq, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.admit()
	return w
}

// cancelWait removes a waiter from the queue, or releases its slot if it has
// already got one.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		return
	}
	s.running--
	s.admit()
}

// admit gives free slots to waiting streams; s.mu must be held.
func (s *slots) admit() {
	for s.running < s.limit && len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		s.running++
		close(w.ready)
	}
}
