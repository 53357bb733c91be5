package faultproxy

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// Matcher reports whether an event is the one that a test waits for.
type Matcher func(Event) bool

// Nth returns a Matcher for the n-th event, counted from 1, that match accepts.
func Nth(n int, match Matcher) Matcher {
	count := 0
	return func(event Event) bool {
		if !match(event) {
			return false
		}
		count++
		return count == n
	}
}

// Hold blocks a connection in one direction, from the matching event until Release.
type Hold struct {
	match    Matcher
	reached  chan struct{}
	released chan struct{}
	release  func()

	event Event // set before reached is closed
}

func newHold(match Matcher) *Hold {
	released := make(chan struct{})
	return &Hold{
		match:    match,
		reached:  make(chan struct{}),
		released: released,
		release:  sync.OnceFunc(func() { close(released) }),
	}
}

func (h *Hold) block(event Event) {
	h.event = event
	close(h.reached)
	<-h.released
}

// Wait waits for the matching event and returns it. It returns an error if ctx is done first.
func (h *Hold) Wait(ctx context.Context) (Event, error) {
	select {
	case <-h.reached:
		return h.event, nil
	case <-ctx.Done():
		return Event{}, errors.Wrap(ctx.Err(), "no matching event on the connection")
	}
}

// Release lets the held data pass. It may be called several times, also before
// the event occurs.
func (h *Hold) Release() { h.release() }
