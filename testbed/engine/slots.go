package engine

import (
	"container/heap"
	"context"
	"sync"
)

// slots lets a number of streams run at once; the rest waits, by priority and
// then in order of arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	running int
	arrived int
	waiting waiters
}

// acquire waits for a slot; it fails with ctx.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w := s.enqueue(priority)
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admit()
}

// setLimit changes how many may run; those that run stay.
func (s *slots) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.admit()
}

// counts returns how many streams run and wait.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

func (s *slots) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	w := &waiter{priority: priority, order: s.arrived, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.admit()
	return w
}

// abandon takes a waiter out, or gives its slot back when it has one already.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		return
	}
	s.running--
	s.admit()
}

func (s *slots) admit() {
	for s.running < s.limit && len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		s.running++
		close(w.ready)
	}
}
