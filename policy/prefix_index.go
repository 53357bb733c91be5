package policy

import (
	"slices"
	"time"
)

const (
	// heldFor is how long a server is thought to keep a part after its last use.
	// Servers give up what was used least recently: with memory for 285,000 to
	// 590,000 tokens, a third of it taken by what runs, and 20,000 to 40,000 new
	// ones a second in a burst that is after 5 to 20 seconds.
	heldFor = 8 * time.Second
	// begunWithin is how long a part that was sent counts as about to be there:
	// beyond it its prompt was refused, given up on, or is stuck.
	begunWithin = 4 * time.Second
	// newsAgain is for how long a use that is known isn't told again.
	newsAgain = time.Second
	// newsFor is how long a use is told, so that a lost datagram or two are made
	// good.
	newsFor = 250 * time.Millisecond
	// sweepHoldings is how often what isn't held any more is dropped.
	sweepHoldings = time.Second
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

// holding is a part at a server.
type holding struct {
	// used is when it was used last, and read whether it has been read.
	used time.Time
	read bool
}

func (h *holding) valid(now time.Time) bool {
	if h.read {
		return now.Sub(h.used) < heldFor
	}
	return now.Sub(h.used) < begunWithin
}

// told is a use that is to be told to other senders.
type told struct {
	Use
	at time.Time
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
	parts map[uint64]map[Key]*holding
	news  []told
	swept time.Time
}

// NewPrefixIndex returns an index that knows nothing.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{parts: map[uint64]map[Key]*holding{}} }

// Sent notes that a prompt with these parts was sent to a server.
func (x *PrefixIndex) Sent(now time.Time, server Key, parts []Part) {
	x.own(now, server, parts, false)
}

// Read notes that a server has read a prompt with these parts.
func (x *PrefixIndex) Read(now time.Time, server Key, parts []Part) {
	x.own(now, server, parts, true)
}

func (x *PrefixIndex) own(now time.Time, server Key, parts []Part, read bool) {
	for _, p := range parts {
		if x.use(now, Use{server, p.ID, read}) {
			x.news = append(x.news, told{Use{server, p.ID, read}, now})
		}
	}
}

// Merge merges another sender's uses.
func (x *PrefixIndex) Merge(now time.Time, uses []Use) {
	for _, u := range uses {
		x.use(now, u)
	}
}

// News are the uses that are to be told now.
func (x *PrefixIndex) News(now time.Time) []Use {
	x.news = slices.DeleteFunc(x.news, func(t told) bool { return now.Sub(t.at) > newsFor })
	uses := make([]Use, len(x.news))
	for i, t := range x.news {
		uses[i] = t.Use
	}
	return uses
}

// use notes a use; it reports whether others don't know of it.
func (x *PrefixIndex) use(now time.Time, u Use) bool {
	x.sweep(now)
	servers := x.parts[u.Part]
	if servers == nil {
		servers = map[Key]*holding{}
		x.parts[u.Part] = servers
	}
	h := servers[u.Server]
	if h == nil {
		servers[u.Server] = &holding{used: now, read: u.Read}
		return true
	}
	news := now.Sub(h.used) > newsAgain || u.Read && !h.read || !h.valid(now)
	if !h.valid(now) {
		h.read = false
	}
	h.used, h.read = now, h.read || u.Read
	return news
}

// Forget drops what a server held: it is gone, or has started anew.
func (x *PrefixIndex) Forget(server Key) {
	x.keep(func(held Key, _ *holding) bool { return held != server })
}

// sweep drops what isn't held any more.
func (x *PrefixIndex) sweep(now time.Time) {
	if now.Sub(x.swept) < sweepHoldings {
		return
	}
	x.swept = now
	x.keep(func(_ Key, h *holding) bool { return h.valid(now) })
}

func (x *PrefixIndex) keep(wanted func(Key, *holding) bool) {
	for part, servers := range x.parts {
		for server, h := range servers {
			if !wanted(server, h) {
				delete(servers, server)
			}
		}
		if len(servers) == 0 {
			delete(x.parts, part)
		}
	}
}

// held is how much of a prompt's shared parts a server holds, or is about to.
type held struct {
	// tokens counts what it has been sent, read what it has read of it.
	tokens int
	read   int
}

// knows reports whether any server is known to hold one of the parts.
func (x *PrefixIndex) knows(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return len(x.parts[p.ID]) > 0 })
}

// at returns what a server holds of a prompt's beginning. A part is held only if
// all before it are; since an index knows of the deepest ones that others sent only
// where these are news, the deepest one counts.
func (x *PrefixIndex) at(now time.Time, server Key, parts []Part) held {
	var at held
	for _, p := range parts {
		h := x.parts[p.ID][server]
		if h == nil || !h.valid(now) {
			continue
		}
		at.tokens = max(at.tokens, p.Upto)
		if h.read {
			at.read = max(at.read, p.Upto)
		}
	}
	return at
}
