package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// runningTokens is what a request that is generating counts for, in
	// tokens of prompt that it delays a new one by: a step of a batch grows
	// by about a tenth of a millisecond a request, while some 60 to 90 tokens
	// of prompt are read in a millisecond, and a new prompt takes a few steps.
	runningTokens = 48
	// pendingTokens is the least that a request counts for that hasn't begun
	// to answer: a prompt of a few tokens still waits for a step.
	pendingTokens = 128
	// otherZoneTokens is what another availability zone counts for: the way
	// there and back takes one to three milliseconds, some 150 tokens.
	otherZoneTokens = 150
	// warmingTokens is what a server counts for that is slow after its start:
	// a long prompt, so that it gets work but not its full share.
	warmingTokens = 4000
	// rereadWeight is what reading a shared part again counts for against
	// waiting: the reading delays all that come to that server later, the wait
	// this request alone. Measured: of 1, 2, 4, 8 and 16, 8 served best on
	// days of high load at both sites (docs/MEASUREMENTS.md).
	rereadWeight = 8.0
	// secondHome is the part of a prefix that its second home is expected to
	// have to read: a prefix that is too much for its first home lives on both.
	secondHome = 0.5
)

// Chooser decides to which backend server a request is sent straight away: the
// one where its first token is expected soonest.
//
// It answers prompts that share long beginnings, prefixes that take most of
// the load, and servers that carry unequal load. A prefix has a first and a
// second home, the servers with the highest hash of prefix and name, so that
// all senders agree without a word and a change of the servers moves only the
// prefixes of those that changed. What a server would have to read anew and
// what waits there already are counted in the same unit, tokens of prompt: a
// request leaves its home when the wait there is longer than the reading
// elsewhere. Without the first part each server reads every prefix again;
// without the second a hot prefix takes all its load to one server.
//
// It keeps no state but the Ejector's; not safe for concurrent use.
type Chooser struct {
	random  *rand.Rand
	ejector *Ejector
}

// NewChooser returns a Chooser that leaves out what ejector ejected. The
// caller hands in the randomness, so that a run can be repeated.
func NewChooser(random *rand.Rand, ejector *Ejector) *Chooser {
	return &Chooser{random: random, ejector: ejector}
}

// Choose returns the place of the best spot and how many tokens it is expected
// to read, or false if none may be used. Ejected ones are used when all others
// may not be.
func (c *Chooser) Choose(now time.Time, errand Errand, spots []Spot) (at, reading int, ok bool) {
	if at, reading, ok = c.choose(now, errand, spots, true); ok {
		return at, reading, true
	}
	return c.choose(now, errand, spots, false)
}

func (c *Chooser) choose(now time.Time, errand Errand, spots []Spot, healthy bool) (at, reading int, ok bool) {
	usable := func(s *Spot) bool {
		return !s.Leaving && !errand.tried(s.Name) && !(healthy && c.ejector.Ejected(now, s.Name))
	}
	first, second := homes(errand.Prefix, spots, usable)
	best, least := -1, 0.0
	for i := range spots {
		if !usable(&spots[i]) {
			continue
		}
		cost := spots[i].wait() + rereadWeight*errand.reading(i, first, second)
		if spots[i].Zone != errand.Zone {
			cost += otherZoneTokens
		}
		// Equals are drawn from, so that senders don't all go the same way.
		cost += c.random.Float64() * pendingTokens / 2
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return 0, 0, false
	}
	return best, errand.Tokens - errand.PrefixTokens + int(errand.reading(best, first, second)), true
}

// wait is what is in front of a new request at a spot, in tokens of prompt.
func (s *Spot) wait() float64 {
	tokens := float64(s.PendingTokens) + float64(s.Pending*pendingTokens) + float64(s.Running*runningTokens)
	if s.Warming {
		tokens += warmingTokens
	}
	return tokens
}

// reading is what the spot at a place is expected to read of the shared part
// of the prompt.
func (e *Errand) reading(at, first, second int) float64 {
	switch {
	case e.Prefix == 0 || at == first:
		return 0
	case at == second:
		return secondHome * float64(e.PrefixTokens)
	default:
		return float64(e.PrefixTokens)
	}
}

// homes are the places of the usable spots with the two highest hashes.
func homes(prefix uint64, spots []Spot, usable func(*Spot) bool) (first, second int) {
	first, second = -1, -1
	if prefix == 0 {
		return first, second
	}
	var highest, next uint64
	for i := range spots {
		if !usable(&spots[i]) {
			continue
		}
		h := mix(prefix ^ hashName(spots[i].Name))
		switch {
		case first < 0 || h > highest:
			second, next = first, highest
			first, highest = i, h
		case second < 0 || h > next:
			second, next = i, h
		}
	}
	return first, second
}
