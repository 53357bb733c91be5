package policy

import (
	"slices"
	"time"
)

const (
	// cacheTTL is how long a server is thought to keep a part after its last use.
	// Servers give up what was used least recently: with memory for 285,000 to
	// 590,000 tokens, a third of it taken by what runs, and 20,000 to 40,000 new
	// ones a second in a burst that is after 5 to 20 seconds.
	cacheTTL = 8 * time.Second
	// pendingTTL is how long a part that was sent counts as about to be there:
	// beyond it its prompt was refused, given up on, or is stuck.
	pendingTTL = 4 * time.Second
	// minUpdateInterval is for how long a use that is known isn't told again.
	minUpdateInterval = time.Second
	// updateRepeatTime is how long a use is told, so that a lost datagram or two are made
	// good.
	updateRepeatTime = 250 * time.Millisecond
	// cacheSweepInterval is how often what isn't held any more is dropped.
	cacheSweepInterval = time.Second
)

// Part is one of the shared parts that a prompt begins with.
type Part struct {
	// ID identifies the part.
	ID uint64
	// Upto is the prompt's length in tokens up to the part's end.
	Upto int
}

// Use is that a server was sent a part, or has read it.
type Use struct {
	Server Key
	Part   uint64
	Read   bool
}

// cacheEntry is a part at a server.
type cacheEntry struct {
	// lastUsed is when it was lastUsed last, and read whether it has been read.
	lastUsed time.Time
	prefilled bool
}

func (h *cacheEntry) valid(now time.Time) bool {
	if h.prefilled {
		return now.Sub(h.lastUsed) < cacheTTL
	}
	return now.Sub(h.lastUsed) < pendingTTL
}

// pendingUpdate is a use that is to be pendingUpdate to other senders.
type pendingUpdate struct {
	Use
	recorded time.Time
}

// PrefixIndex is which server holds which shared part of prompts, as far as a
// sender can know: what it sent and what came back, and what others tell.
//
// It answers servers that have just started, all at once or one by one: their
// memory is empty, and each part is read anew. Without the index a part counts
// as held at its home from the start; what is read there is many times what was
// foreseen, requests wait for seconds, the learned rate of reading falls from 40
// to 8 tokens a millisecond, and for ten seconds more than half is refused that
// idle servers could have answered. With it also a part that is asked for more
// often than its home can bear is fetched from there in place of being read
// again.
//
// Not safe for concurrent use.
type PrefixIndex struct {
	segments map[uint64]map[Key]*cacheEntry
	pending  []pendingUpdate
	lastSweep time.Time
}

// NewPrefixIndex returns an index that knows nothing.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{segments: map[uint64]map[Key]*cacheEntry{}} }

// Sent notes that a prompt with these parts was sent to a server.
func (x *PrefixIndex) Sent(now time.Time, server Key, parts []Part) {
	x.record(now, server, parts, false)
}

// Read notes that a server has read a prompt with these parts.
func (x *PrefixIndex) Read(now time.Time, server Key, parts []Part) {
	x.record(now, server, parts, true)
}

func (x *PrefixIndex) record(now time.Time, server Key, parts []Part, read bool) {
	for _, p := range parts {
		if x.apply(now, Use{server, p.ID, read}) {
			x.pending = append(x.pending, pendingUpdate{Use{server, p.ID, read}, now})
		}
	}
}

// Merge merges another sender's uses.
func (x *PrefixIndex) Merge(now time.Time, uses []Use) {
	for _, u := range uses {
		x.apply(now, u)
	}
}

// News are the uses that are to be told now.
func (x *PrefixIndex) News(now time.Time) []Use {
	x.pending = slices.DeleteFunc(x.pending, func(t pendingUpdate) bool { return now.Sub(t.recorded) > updateRepeatTime })
	uses := make([]Use, len(x.pending))
	for i, t := range x.pending {
		uses[i] = t.Use
	}
	return uses
}

// apply notes a apply; it reports whether others don't know of it.
func (x *PrefixIndex) apply(now time.Time, u Use) bool {
	x.sweep(now)
	servers := x.segments[u.Part]
	if servers == nil {
		servers = map[Key]*cacheEntry{}
		x.segments[u.Part] = servers
	}
	h := servers[u.Server]
	if h == nil {
		servers[u.Server] = &cacheEntry{lastUsed: now, prefilled: u.Read}
		return true
	}
	news := now.Sub(h.lastUsed) > minUpdateInterval || u.Read && !h.prefilled || !h.valid(now)
	if !h.valid(now) {
		h.prefilled = false
	}
	h.lastUsed, h.prefilled = now, h.prefilled || u.Read
	return news
}

// Forget drops what a server held: it is gone, or has started anew.
func (x *PrefixIndex) Forget(server Key) {
	x.retain(func(held Key, _ *cacheEntry) bool { return held != server })
}

// sweep drops what isn't held any more.
func (x *PrefixIndex) sweep(now time.Time) {
	if now.Sub(x.lastSweep) < cacheSweepInterval {
		return
	}
	x.lastSweep = now
	x.retain(func(_ Key, h *cacheEntry) bool { return h.valid(now) })
}

func (x *PrefixIndex) retain(wanted func(Key, *cacheEntry) bool) {
	for part, servers := range x.segments {
		for server, h := range servers {
			if !wanted(server, h) {
				delete(servers, server)
			}
		}
		if len(servers) == 0 {
			delete(x.segments, part)
		}
	}
}

// cachedPrefix is how much of a prompt's shared parts a server holds, or is about to.
type cachedPrefix struct {
	// expected counts what it has been sent, read what it has read of it.
	expected int
	prefilled   int
}

// hasAny reports whether any server is known to hold one of the parts.
func (x *PrefixIndex) hasAny(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return len(x.segments[p.ID]) > 0 })
}

// cachedAt returns what a server holds of a prompt's beginning. A part is held only if
// all before it are; since an index knows of the deepest ones that others sent only
// where these are news, the deepest one counts.
func (x *PrefixIndex) cachedAt(now time.Time, server Key, parts []Part) cachedPrefix {
	var at cachedPrefix
	for _, p := range parts {
		h := x.segments[p.ID][server]
		if h == nil || !h.valid(now) {
			continue
		}
		at.expected = max(at.expected, p.Upto)
		if h.prefilled {
			at.prefilled = max(at.prefilled, p.Upto)
		}
	}
	return at
}
