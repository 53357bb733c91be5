package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// forgetSource is how long a source without counts is kept after its last update.
const forgetSource = time.Minute

// Aggregate merges the counts of all gateways. All methods may be called concurrently.
type Aggregate struct {
	windows Windows
	clock   func() time.Time

	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	sources map[Source]*sourceCounts
	// latest is the start of each gateway that sent the last update.
	latest map[string]uint64
	// current is the window of the last update.
	current uint64
}

// sourceCounts are the counts of one start of a gateway.
type sourceCounts struct {
	sequence uint64
	upto     int64
	received time.Time
	counts   map[countKey]int64
}

// NewAggregate returns an empty Aggregate by a clock of true time.
func NewAggregate(w Windows, clock func() time.Time) *Aggregate {
	return &Aggregate{windows: w, clock: clock, sources: map[Source]*sourceCounts{}, latest: map[string]uint64{}}
}

// Merge merges an update. Counts of windows that are too old to be reported, or that have
// not begun, are of a gateway whose clock is wrong.
func (g *Aggregate) Merge(now time.Time, from Source, u Update) {
	current := g.windows.Number(g.clock())
	oldest := current - min(current, maxWindows+1)
	u.Counts = slices.DeleteFunc(slices.Clone(u.Counts), func(c Count) bool { return c.Window <= oldest || c.Window > current+1 })
	g.mu.Lock()
	defer g.mu.Unlock()
	if current != g.current {
		g.current = current
		g.expire(now, oldest)
	}
	t := g.source(from)
	t.merge(u.Counts)
	t.sequence, t.upto, t.received = max(t.sequence, u.Sequence), max(t.upto, u.Upto), now
	g.latest[from.Gateway] = from.Start
}

// source returns the counts of a start; g.mu is held.
func (g *Aggregate) source(from Source) *sourceCounts {
	t := g.sources[from]
	if t == nil {
		t = &sourceCounts{counts: map[countKey]int64{}}
		g.sources[from] = t
	}
	return t
}

// merge merges cumulative counts: the highest is the newest.
func (t *sourceCounts) merge(counts []Count) {
	for _, c := range counts {
		key := countKey{c.Window, c.Customer}
		t.counts[key] = max(t.counts[key], c.Requests)
	}
}

// Sequence is the last change received from a start, to be acknowledged.
func (g *Aggregate) Sequence(from Source) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.sources[from]; t != nil {
		return t.sequence
	}
	return 0
}

// Sum adds up a window's counts by customer.
func (g *Aggregate) Sum(window uint64) map[string]int64 {
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

// Missing names the gateways whose counts between two moments aren't complete. One whose
// last update is older than both has none.
func (g *Aggregate) Missing(from, upto time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name, start := range g.latest {
		complete := g.sources[Source{Gateway: name, Start: start}].upto
		if complete >= from.UnixMilli() && complete < upto.UnixMilli() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Expire drops the counts of all windows up to one, and sources that are gone.
func (g *Aggregate) Expire(now time.Time, upto uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now, upto)
}

// expire is Expire; g.mu is held.
func (g *Aggregate) expire(now time.Time, upto uint64) {
	for from, t := range g.sources {
		maps.DeleteFunc(t.counts, func(key countKey, _ int64) bool { return key.window <= upto })
		if len(t.counts) > 0 || now.Sub(t.received) <= forgetSource {
			continue
		}
		delete(g.sources, from)
		if g.latest[from.Gateway] == from.Start {
			delete(g.latest, from.Gateway)
		}
	}
}
