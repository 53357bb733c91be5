package policy

import (
	"slices"
	"time"
)

const (
	// cacheTTL is how long a prefilled segment is assumed to stay in a server's cache
	// after its last use. Servers evict the least recently used segments: a cache has
	// room for 285,000 to 590,000 tokens, running requests use a third of it, and a
	// burst adds 20,000 to 40,000 tokens a second, so a segment lasts 5 to 20 seconds.
	cacheTTL = 8 * time.Second
	// pendingTTL is how long a segment that was sent, but isn't known to be prefilled,
	// counts as cached. If it takes longer, its request was refused or cancelled, or is
	// stuck.
	pendingTTL = 4 * time.Second
	// minUpdateInterval is the minimum time between two updates about the same segment
	// at the same server.
	minUpdateInterval = time.Second
	// updateRepeatTime is how long an update is repeated, to tolerate the loss of a
	// datagram or two.
	updateRepeatTime = 250 * time.Millisecond
	// cacheSweepInterval is the time between removals of expired entries.
	cacheSweepInterval = time.Second
)

// PrefixSegment is one of the segments of a prompt's shared prefix.
type PrefixSegment struct {
	// ID identifies the segment.
	ID uint64
	// End is the length in tokens of the prompt up to the segment's end.
	End int
}

// PrefixUse records that a segment was sent to a server, or that the server has
// prefilled it.
type PrefixUse struct {
	Server    Key
	Segment   uint64
	Prefilled bool
}

// cacheEntry is a segment at a server.
type cacheEntry struct {
	lastUsed time.Time
	// prefilled reports whether the server has prefilled the segment.
	prefilled bool
}

// valid reports whether the segment is still expected to be cached.
func (e *cacheEntry) valid(now time.Time) bool {
	if e.prefilled {
		return now.Sub(e.lastUsed) < cacheTTL
	}
	return now.Sub(e.lastUsed) < pendingTTL
}

// pendingUpdate is a use that is to be sent to other gateways.
type pendingUpdate struct {
	PrefixUse
	recorded time.Time
}

// PrefixIndex tracks which server has which prefix segments cached, as far as a gateway
// can know: from its own requests and their responses, and from the updates of others.
//
// It matters most after servers have started, together or one by one: their caches are
// empty and every segment has to be prefilled. Without the index a segment counts as
// cached at its home server from the start. Servers then prefill many times the expected
// number of tokens, requests wait for seconds, the estimated prefill rate falls from 40
// to 8 tokens a millisecond, and for another ten seconds more than half of the requests
// are refused although idle servers could have answered them. With the index, a segment
// that is too popular for its home server is fetched from there instead of being
// prefilled again.
//
// Not safe for concurrent use.
type PrefixIndex struct {
	segments  map[uint64]map[Key]*cacheEntry
	pending   []pendingUpdate
	lastSweep time.Time
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{segments: map[uint64]map[Key]*cacheEntry{}} }

// RecordSent records that a prompt with these segments was sent to a server.
func (x *PrefixIndex) RecordSent(now time.Time, server Key, segments []PrefixSegment) {
	x.record(now, server, segments, false)
}

// RecordPrefilled records that a server has prefilled a prompt with these segments.
func (x *PrefixIndex) RecordPrefilled(now time.Time, server Key, segments []PrefixSegment) {
	x.record(now, server, segments, true)
}

// record applies the uses and queues updates for those that other gateways don't know.
func (x *PrefixIndex) record(now time.Time, server Key, segments []PrefixSegment, prefilled bool) {
	for _, s := range segments {
		if x.apply(now, PrefixUse{server, s.ID, prefilled}) {
			x.pending = append(x.pending, pendingUpdate{PrefixUse{server, s.ID, prefilled}, now})
		}
	}
}

// Merge merges the uses of another gateway.
func (x *PrefixIndex) Merge(now time.Time, uses []PrefixUse) {
	for _, u := range uses {
		x.apply(now, u)
	}
}

// Updates returns the uses that are to be sent to other gateways now.
func (x *PrefixIndex) Updates(now time.Time) []PrefixUse {
	x.pending = slices.DeleteFunc(x.pending, func(u pendingUpdate) bool { return now.Sub(u.recorded) > updateRepeatTime })
	uses := make([]PrefixUse, len(x.pending))
	for i, u := range x.pending {
		uses[i] = u.PrefixUse
	}
	return uses
}

// apply records a use and reports whether other gateways don't know of it yet.
func (x *PrefixIndex) apply(now time.Time, u PrefixUse) bool {
	x.sweep(now)
	servers := x.segments[u.Segment]
	if servers == nil {
		servers = map[Key]*cacheEntry{}
		x.segments[u.Segment] = servers
	}
	entry := servers[u.Server]
	if entry == nil {
		servers[u.Server] = &cacheEntry{lastUsed: now, prefilled: u.Prefilled}
		return true
	}
	unknown := now.Sub(entry.lastUsed) > minUpdateInterval || u.Prefilled && !entry.prefilled || !entry.valid(now)
	if !entry.valid(now) {
		entry.prefilled = false
	}
	entry.lastUsed, entry.prefilled = now, entry.prefilled || u.Prefilled
	return unknown
}

// RemoveServer removes a server's entries after the server has stopped or restarted.
func (x *PrefixIndex) RemoveServer(server Key) {
	x.retain(func(s Key, _ *cacheEntry) bool { return s != server })
}

// sweep removes expired entries.
func (x *PrefixIndex) sweep(now time.Time) {
	if now.Sub(x.lastSweep) < cacheSweepInterval {
		return
	}
	x.lastSweep = now
	x.retain(func(_ Key, e *cacheEntry) bool { return e.valid(now) })
}

// retain removes all entries for which keep returns false.
func (x *PrefixIndex) retain(keep func(Key, *cacheEntry) bool) {
	for segment, servers := range x.segments {
		for server, entry := range servers {
			if !keep(server, entry) {
				delete(servers, server)
			}
		}
		if len(servers) == 0 {
			delete(x.segments, segment)
		}
	}
}

// cachedPrefix is the part of a prompt's shared prefix that a server has cached, in
// tokens.
type cachedPrefix struct {
	// expected is the part that was sent to the server, and prefilled the part of it
	// that the server has prefilled.
	expected  int
	prefilled int
}

// hasAny reports whether any server is known to have one of the segments.
func (x *PrefixIndex) hasAny(segments []PrefixSegment) bool {
	return slices.ContainsFunc(segments, func(s PrefixSegment) bool { return len(x.segments[s.ID]) > 0 })
}

// cachedAt returns how much of a prompt's shared prefix a server has cached. A segment is
// cached only if all segments before it are. Since other gateways don't repeat updates
// about segments that are known, the last known segment implies those before it.
func (x *PrefixIndex) cachedAt(now time.Time, server Key, segments []PrefixSegment) cachedPrefix {
	var cached cachedPrefix
	for _, s := range segments {
		entry := x.segments[s.ID][server]
		if entry == nil || !entry.valid(now) {
			continue
		}
		cached.expected = max(cached.expected, s.End)
		if entry.prefilled {
			cached.prefilled = max(cached.prefilled, s.End)
		}
	}
	return cached
}
