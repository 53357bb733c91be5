package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// sourceExpiry is how long a source without counts is kept after its last update.
const sourceExpiry = time.Minute

// Aggregator merges the counts of all gateways. All methods are safe for concurrent use.
type Aggregator struct {
	windows Windows
	clock   func() time.Time

	// mu guards the fields below; no other lock is acquired while it is held.
	mu      sync.Mutex
	sources map[Source]*sourceCounts
	// latestBootIDs holds, by gateway, the BootID of the instance whose first update was the most
	// recent one. A datagram of an earlier instance may arrive after that.
	latestBootIDs map[string]uint64
	// currentWindow is the window in which the last update was merged.
	currentWindow uint64
}

// sourceCounts holds the counts of one gateway instance.
type sourceCounts struct {
	// sequence and completeUntil are the highest Update.Sequence and Update.CompleteUntil received.
	sequence      uint64
	completeUntil int64
	// lastReceived is the local time at which the last update was received.
	lastReceived time.Time
	counts       map[countKey]int64
}

// NewAggregator returns an empty Aggregator. The clock returns the gateways' common time of day.
func NewAggregator(w Windows, clock func() time.Time) *Aggregator {
	return &Aggregator{windows: w, clock: clock, sources: map[Source]*sourceCounts{}, latestBootIDs: map[string]uint64{}}
}

// Merge merges an update that was received at the given local time. It discards counts of windows
// that are too old to be reported or lie more than one window ahead: they come from a gateway whose
// clock is wrong.
func (a *Aggregator) Merge(receivedAt time.Time, source Source, update Update) {
	current := a.windows.Number(a.clock())
	oldest := current - min(current, maxRetainedWindows+1)
	update.Counts = slices.DeleteFunc(slices.Clone(update.Counts), func(c Count) bool { return c.Window <= oldest || c.Window > current+1 })
	a.mu.Lock()
	defer a.mu.Unlock()
	if current != a.currentWindow {
		a.currentWindow = current
		a.expireLocked(receivedAt, oldest)
	}
	counts := a.sourceLocked(source)
	if counts.lastReceived.IsZero() {
		a.latestBootIDs[source.Gateway] = source.BootID
	}
	counts.merge(update.Counts)
	counts.sequence, counts.completeUntil, counts.lastReceived = max(counts.sequence, update.Sequence), max(counts.completeUntil, update.CompleteUntil), receivedAt
}

// sourceLocked returns the counts of a gateway instance and creates them if there are none; a.mu
// must be held.
func (a *Aggregator) sourceLocked(source Source) *sourceCounts {
	counts := a.sources[source]
	if counts == nil {
		counts = &sourceCounts{counts: map[countKey]int64{}}
		a.sources[source] = counts
	}
	return counts
}

// merge merges cumulative counts: for each key the highest value is the newest.
func (s *sourceCounts) merge(counts []Count) {
	for _, c := range counts {
		key := countKey{c.Window, c.Customer}
		s.counts[key] = max(s.counts[key], c.Requests)
	}
}

// MergedSequence returns the sequence number of the last change that was merged from a gateway
// instance, to be acknowledged to it; 0 if there is none.
func (a *Aggregator) MergedSequence(source Source) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if counts := a.sources[source]; counts != nil {
		return counts.sequence
	}
	return 0
}

// Sum returns the number of requests in a window by customer, over all gateways.
func (a *Aggregator) Sum(window uint64) map[string]int64 {
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

// IncompleteGateways returns the sorted names of the gateways whose counts are complete up to a
// time t with begin <= t < end. A gateway whose counts end before begin isn't included: it has
// stopped or has no counts in the interval.
func (a *Aggregator) IncompleteGateways(begin, end time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for name, bootID := range a.latestBootIDs {
		completeUntil := a.sources[Source{Gateway: name, BootID: bootID}].completeUntil
		if completeUntil >= begin.UnixMilli() && completeUntil < end.UnixMilli() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Expire deletes the counts of all windows up to and including lastExpired, and the sources that
// have no counts and sent no update for sourceExpiry.
func (a *Aggregator) Expire(now time.Time, lastExpired uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now, lastExpired)
}

// expireLocked implements Expire; a.mu must be held.
func (a *Aggregator) expireLocked(now time.Time, lastExpired uint64) {
	for source, counts := range a.sources {
		maps.DeleteFunc(counts.counts, func(key countKey, _ int64) bool { return key.window <= lastExpired })
		if len(counts.counts) > 0 || now.Sub(counts.lastReceived) <= sourceExpiry {
			continue
		}
		delete(a.sources, source)
		if a.latestBootIDs[source.Gateway] == source.BootID {
			delete(a.latestBootIDs, source.Gateway)
		}
	}
}
