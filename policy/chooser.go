package policy

import (
	"math/rand/v2"
	"slices"
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
	// this request alone. Measured: 2 and 4 serve less, 16 no more
	// (docs/MEASUREMENTS.md).
	rereadWeight = 8.0
	// secondHome is the part of a prefix that its second home is expected to
	// have to read: a prefix that is too much for its first home lives on both.
	secondHome = 0.5
	// longestWait is the part of the target within which a first token is
	// likely for a request to be let in, the usual deviation from the expected
	// time included; ownWeight is what its own prompt counts for in that, and
	// againWeight by how much more a shared part does that is read again when
	// what waits takes the whole target. Under load each part that is read away
	// from its home delays what is at home there, which then goes elsewhere in
	// turn: without the weight all is late.
	longestWait = 1.0
	ownWeight   = 1.0
	againWeight = 15.0
	// shortestWait is the part of the target that any request may wait for
	// others, so that the longest prompts are let in where next to nothing is
	// before them, a model's first step not counted. Measured on the grown
	// sites: 0.04 serves the longest about as well as 0.12 and 0.3, and does
	// without the losses that these bring to all others.
	shortestWait = 0.04
)

// Choice is the outcome of choosing a server.
type Choice struct {
	// At is the server's place; it means something only if Found.
	At    int
	Found bool
	// Reading is how many tokens the server is expected to read, and Ahead what
	// it reads before the first token, this request's included.
	Reading int
	Ahead   float64
	// Expected is when the first token is expected.
	Expected time.Duration
	// Room says that the server takes one more request at all.
	Room bool
	// InTime says that the first token is likely within the target, and that
	// the server has a slot.
	InTime bool
	// OnlySlots says that no server is in time, though some would be if it had
	// a slot.
	OnlySlots bool
	// soon says that the first token is likely within the target, slot or not.
	soon bool
}

// Chooser decides to which backend server a request is sent straight away.
//
// It answers prompts that share long beginnings, prefixes that take most of
// the load, and servers that carry unequal load. A prefix has a first and a
// second home, the servers with the highest hash of prefix and name, so that
// all senders agree without a word and a change of the servers moves only the
// prefixes of those that changed. Of the servers where the first token is
// likely in time the one is chosen that has the least to read anew; what
// waits there counts in the same unit, tokens of prompt. Where none is in time
// the soonest is named, and admission decides. Without the homes each server
// reads every prefix again; without the time a hot prefix takes all its load
// to its home, however long the wait there.
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

// Choose returns the best server at a rate of reading. Ejected ones are left out
// unless more than ejectPanic of the servers are.
func (c *Chooser) Choose(now time.Time, job Job, servers []Server, rate *ReadingRate) Choice {
	usable := func(s *Server) bool { return !s.Leaving && !job.tried(s.Name) }
	all, ejected := 0, 0
	for i := range servers {
		if usable(&servers[i]) {
			all++
			if c.ejector.Ejected(now, servers[i].Name) {
				ejected++
			}
		}
	}
	if float64(ejected) > ejectPanic*float64(all) {
		return c.choose(job, servers, rate, usable)
	}
	return c.choose(job, servers, rate, func(s *Server) bool { return usable(s) && !c.ejector.Ejected(now, s.Name) })
}

func (c *Chooser) choose(job Job, servers []Server, rate *ReadingRate, usable func(*Server) bool) Choice {
	first, second := homes(job.Prefix, servers, usable)
	rereadPrice := job.priceOfRereading(servers, usable, rate)
	unseen := job.unseenAtEach(servers, usable)
	var best Choice
	least, soon := 0.0, false
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		choice, cost := c.weigh(job, &servers[i], job.rereading(i, first, second), rereadPrice, rate, unseen)
		soon = soon || choice.soon
		choice.At = i
		if !best.Found || choice.InTime && !best.InTime || choice.InTime == best.InTime && cost < least {
			best, least = choice, cost
		}
	}
	best.OnlySlots = soon && !best.InTime
	return best
}

// weigh says what sending to a server would cost. Where the first token would be
// late anyway only the time counts.
func (c *Chooser) weigh(job Job, s *Server, again, rereadPrice float64, rate *ReadingRate, unseen float64) (Choice, float64) {
	own := job.Tokens - job.PrefixTokens
	choice := Choice{Found: true, Reading: own + int(again)}
	choice.Ahead = s.ahead(job.Urgency) + float64(choice.Reading)
	choice.Room = c.hasRoom(s, job, unseen)
	choice.soon = job.inTime(rate, choice.Ahead-float64(choice.Reading), again, rereadPrice)
	choice.InTime = choice.Room && choice.soon
	choice.Expected = rate.firstToken(choice.Ahead)
	cost := choice.Ahead + float64(s.Running*runningTokens)
	if choice.InTime {
		cost += (rereadWeight - 1) * again
	}
	if s.Zone != job.Zone {
		cost += otherZoneTokens
	}
	// Equals are drawn from, so that senders don't all go the same way.
	return choice, cost + c.random.Float64()*pendingTokens/2
}

// priceOfRereading is what a token of a shared part counts for that is read again,
// from one, while most servers have time to spare, upwards with the share of
// the target that what waits takes at the server in the middle: one hot home
// among idle servers makes none dear.
func (j *Job) priceOfRereading(servers []Server, usable func(*Server) bool, rate *ReadingRate) float64 {
	if j.Target == 0 || j.Prefix == 0 {
		return 1
	}
	waits := make([]float64, 0, len(servers))
	for i := range servers {
		if usable(&servers[i]) {
			waits = append(waits, servers[i].ahead(UrgencyLevels-1))
		}
	}
	if len(waits) == 0 {
		return 1
	}
	slices.Sort(waits)
	middle := waits[len(waits)/2] / rate.rate() * float64(time.Millisecond)
	return 1 + againWeight*min(middle/float64(j.Target), 1)
}

// inTime reports whether a request is let in where others' prompts wait before
// it and a shared part has to be read again. It may be sent anyway where next
// to nothing does, so that prompts of every length are served.
func (j *Job) inTime(rate *ReadingRate, others, again, rereadPrice float64) bool {
	if j.Target == 0 {
		return true
	}
	own := float64(j.Tokens - j.PrefixTokens)
	return rate.likely(others+rereadPrice*again+ownWeight*own) <= part(longestWait, j.Target) ||
		rate.reads(others+again) <= part(shortestWait, j.Target)
}

// part is a share of a time.
func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

// rereading is what the server at a place is expected to read of the shared part
// of the prompt.
func (j *Job) rereading(at, first, second int) float64 {
	switch {
	case j.Prefix == 0 || at == first:
		return 0
	case at == second:
		return secondHome * float64(j.PrefixTokens)
	default:
		return float64(j.PrefixTokens)
	}
}

// homes are the places of the usable servers with the two highest hashes.
func homes(prefix uint64, servers []Server, usable func(*Server) bool) (first, second int) {
	first, second = -1, -1
	if prefix == 0 {
		return first, second
	}
	var highest, next uint64
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		h := mix(prefix ^ hashName(servers[i].Name))
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
