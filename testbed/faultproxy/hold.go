package faultproxy

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// Match says whether a sight is what a test waits for.
type Match func(Sight) bool

// Nth matches the n-th sight, from 1, that match would.
func Nth(n int, match Match) Match {
	seen := 0
	return func(s Sight) bool {
		if !match(s) {
			return false
		}
		seen++
		return seen == n
	}
}

// Hold is a stop on one connection, which lasts until Release.
type Hold struct {
	match    Match
	reached  chan struct{}
	released chan struct{}
	release  func()

	sight Sight // set before reached is closed
}

func newHold(match Match) *Hold {
	released := make(chan struct{})
	return &Hold{
		match:    match,
		reached:  make(chan struct{}),
		released: released,
		release:  sync.OnceFunc(func() { close(released) }),
	}
}

func (h *Hold) arrive(sight Sight) {
	h.sight = sight
	close(h.reached)
	<-h.released
}

// Wait waits until the data has been seen and returns it.
func (h *Hold) Wait(ctx context.Context) (Sight, error) {
	select {
	case <-h.reached:
		return h.sight, nil
	case <-ctx.Done():
		return Sight{}, errors.Wrap(ctx.Err(), "not seen on the wire")
	}
}

// Release lets the data pass. It may be called more than once, and before
// the data was seen.
func (h *Hold) Release() { h.release() }
