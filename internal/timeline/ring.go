package timeline

import "sync"

// Ring is a ring buffer of a process's latest events. It is safe for concurrent
// use.
type Ring struct {
	process string
	clock   *Clock

	mu     sync.Mutex
	events []Event
	next   int
}

// NewRing returns a Ring with a capacity of size events for the named process.
func NewRing(process string, clock *Clock, size int) *Ring {
	return &Ring{process: process, clock: clock, events: make([]Event, 0, size)}
}

// Record adds an event with the clock's current timestamp, replacing the oldest
// event if the ring is full.
func (r *Ring) Record(kind Kind, request, class, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{Timestamp: r.clock.Now(), Process: r.process, Kind: kind, Request: request, Class: class, Detail: detail}
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the events in the ring, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

// Select returns the newest events that match the filter, up to its limit, oldest
// first.
func (r *Ring) Select(filter Filter) Page {
	matching := r.selectMatching(filter, r.clock.ago(filter.Since))
	kept := newest(matching, filter.Limit)
	return Page{Process: r.process, Events: kept, Truncated: len(kept) < len(matching)}
}

func (r *Ring) selectMatching(filter Filter, oldest Timestamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	matching := make([]Event, 0)
	for _, part := range [][]Event{r.events[r.next:], r.events[:r.next]} {
		for _, event := range part {
			if filter.matches(event, oldest) {
				matching = append(matching, event)
			}
		}
	}
	return matching
}

// Process returns the name of the process whose events the Ring holds.
func (r *Ring) Process() string { return r.process }
