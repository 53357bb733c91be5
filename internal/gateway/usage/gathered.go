package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// forgetSource is after what time a gateway that told nothing is forgotten.
const forgetSource = time.Minute

// Gathered holds what gateways have told of their counts. All methods may be called
// concurrently.
type Gathered struct {
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	sources map[Source]*told
	// latest is each gateway's start that told last.
	latest map[string]uint64
}

// told is what one start of a gateway has told.
type told struct {
	sequence uint64
	upto     int64
	heard    time.Time
	counts   map[countKey]int64
}

// NewGathered returns a Gathered that holds nothing.
func NewGathered() *Gathered {
	return &Gathered{sources: map[Source]*told{}, latest: map[string]uint64{}}
}

// Take takes an update.
func (g *Gathered) Take(now time.Time, from Source, u Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.source(from)
	t.take(u.Counts)
	t.sequence, t.upto, t.heard = max(t.sequence, u.Sequence), max(t.upto, u.Upto), now
	g.latest[from.Gateway] = from.Start
}

// source returns what a start has told; g.mu is held.
func (g *Gathered) source(from Source) *told {
	t := g.sources[from]
	if t == nil {
		t = &told{counts: map[countKey]int64{}}
		g.sources[from] = t
	}
	return t
}

// take takes counts, of which the highest is the last.
func (t *told) take(counts []Count) {
	for _, c := range counts {
		key := countKey{c.Window, c.Customer}
		t.counts[key] = max(t.counts[key], c.Requests)
	}
}

// Sequence is the last change that a start has told, to be acknowledged.
func (g *Gathered) Sequence(from Source) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.sources[from]; t != nil {
		return t.sequence
	}
	return 0
}

// Sum adds up a window's counts by customer.
func (g *Gathered) Sum(window uint64) map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := map[string]int64{}
	for _, t := range g.sources {
		for key, n := range t.counts {
			if key.window == window {
				sum[key.customer] += n
			}
		}
	}
	return sum
}

// Missing names the gateways whose counts aren't complete up to a moment. One that has told
// nothing since another moment, from which on they are asked for, has none.
func (g *Gathered) Missing(from, upto time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name, start := range g.latest {
		told := g.sources[Source{Gateway: name, Start: start}].upto
		if told >= from.UnixMilli() && told < upto.UnixMilli() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops the counts of all windows up to one, and gateways that are gone.
func (g *Gathered) Forget(now time.Time, upto uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for from, t := range g.sources {
		maps.DeleteFunc(t.counts, func(key countKey, _ int64) bool { return key.window <= upto })
		if len(t.counts) > 0 || now.Sub(t.heard) <= forgetSource {
			continue
		}
		delete(g.sources, from)
		if g.latest[from.Gateway] == from.Start {
			delete(g.latest, from.Gateway)
		}
	}
}
