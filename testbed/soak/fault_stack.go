package soak

import (
	"context"
	"slices"
	"sync"
)

// faultStack holds the faults of a process that have begun and not ended. The newest is in force; when it
// ends, the one before is again.
type faultStack[F any] struct {
	// apply has the process behave as a fault says. The zero fault is none.
	apply func(ctx context.Context, f F) error
	// mu is held while the fault in force is changed, and guards the field below. No lock is acquired while it
	// is held.
	mu    sync.Mutex
	begun []*F
}

// begin puts a fault in force and returns the function that ends it.
func (s *faultStack[F]) begin(ctx context.Context, f F) (end func() error, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = append(s.begun, &f)
	end = func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begun = slices.DeleteFunc(s.begun, func(other *F) bool { return other == &f })
		// The fault ends although the soak may be over.
		return s.applyNewest(context.WithoutCancel(ctx))
	}
	return end, s.applyNewest(ctx)
}

// applyNewest applies the newest of the faults. The caller holds mu.
func (s *faultStack[F]) applyNewest(ctx context.Context) error {
	var inForce F
	if n := len(s.begun); n > 0 {
		inForce = *s.begun[n-1]
	}
	return s.apply(ctx, inForce)
}
