package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// forgetSource is how long a source without counts is kept after its last update.
const sourceExpiry = time.Minute

// Aggregate merges the counts of all gateways. All methods may be called concurrently.
type Aggregate struct {
	windows Windows
	clock   func() time.Time

	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	sources map[Source]*sourceCounts
	// latest is the start of each gateway that sent the last update.
	latestStarts map[string]uint64
	// current is the window of the last update.
	currentWindow uint64
}

// sourceCounts are the counts of one start of a gateway.
type sourceCounts struct {
	sequence      uint64
	completeUntil int64
	lastReceived  time.Time
	counts        map[countKey]int64
}

// NewAggregate returns an empty Aggregate by a clock of true time.
func NewAggregate(w Windows, clock func() time.Time) *Aggregate {
	return &Aggregate{windows: w, clock: clock, sources: map[Source]*sourceCounts{}, latestStarts: map[string]uint64{}}
}

// Merge merges an update. Counts of windows that are too old to be reported, or that have
// not begun, are of a gateway whose clock is wrong.
func (a *Aggregate) Merge(now time.Time, from Source, update Update) {
	current := a.windows.Number(a.clock())
	oldest := current - min(current, maxRetainedWindows+1)
	update.Counts = slices.DeleteFunc(slices.Clone(update.Counts), func(c Count) bool { return c.Window <= oldest || c.Window > current+1 })
	a.mu.Lock()
	defer a.mu.Unlock()
	if current != a.currentWindow {
		a.currentWindow = current
		a.expireLocked(now, oldest)
	}
	counts := a.sourceLocked(from)
	counts.merge(update.Counts)
	counts.sequence, counts.completeUntil, counts.lastReceived = max(counts.sequence, update.Sequence), max(counts.completeUntil, update.CompleteUntil), now
	a.latestStarts[from.Gateway] = from.Start
}

// source returns the counts of a start; g.mu is held.
func (a *Aggregate) sourceLocked(from Source) *sourceCounts {
	counts := a.sources[from]
	if counts == nil {
		counts = &sourceCounts{counts: map[countKey]int64{}}
		a.sources[from] = counts
	}
	return counts
}

// merge merges cumulative counts: the highest is the newest.
func (s *sourceCounts) merge(counts []Count) {
	for _, c := range counts {
		key := countKey{c.Window, c.Customer}
		s.counts[key] = max(s.counts[key], c.Requests)
	}
}

// Sequence is the last change received from a start, to be acknowledged.
func (a *Aggregate) Sequence(from Source) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if counts := a.sources[from]; counts != nil {
		return counts.sequence
	}
	return 0
}

// Sum adds up a window's counts by customer.
func (a *Aggregate) Sum(window uint64) map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := map[string]int64{}
	for _, source := range a.sources {
		for key, requests := range source.counts {
			if key.window == window {
				sum[key.customer] += requests
			}
		}
	}
	return sum
}

// Missing names the gateways whose counts between two moments aren't complete. One whose
// last update is older than both has none.
func (a *Aggregate) IncompleteGateways(begin, end time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for name, start := range a.latestStarts {
		completeUntil := a.sources[Source{Gateway: name, Start: start}].completeUntil
		if completeUntil >= begin.UnixMilli() && completeUntil < end.UnixMilli() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Expire drops the counts of all windows up to one, and sources that are gone.
func (a *Aggregate) Expire(now time.Time, lastExpired uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now, lastExpired)
}

// expire is Expire; g.mu is held.
func (a *Aggregate) expireLocked(now time.Time, lastExpired uint64) {
	for from, source := range a.sources {
		maps.DeleteFunc(source.counts, func(key countKey, _ int64) bool { return key.window <= lastExpired })
		if len(source.counts) > 0 || now.Sub(source.lastReceived) <= sourceExpiry {
			continue
		}
		delete(a.sources, from)
		if a.latestStarts[from.Gateway] == from.Start {
			delete(a.latestStarts, from.Gateway)
		}
	}
}
