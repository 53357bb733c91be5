package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// runningRequestTokens is what a request that is generating counts for, in
	// tokens of prompt that it delays a new one by: a step of a batch grows
	// by about a tenth of a millisecond a request, while some 60 to 90 tokens
	// of prompt are read in a millisecond, and a new prompt takes a few steps.
	runningRequestTokens = 48
	// minPendingTokens is the least that a request counts for that hasn't begun
	// to answer: a prompt of a few tokens still waits for a step.
	minPendingTokens = 128
	// crossZoneTokens is what another availability zone counts for: the way
	// there and back takes one to three milliseconds, some 150 tokens.
	crossZoneTokens = 150
	// warmupTokens is what a server counts for that is slow after its start:
	// a long prompt, so that it gets work but not its full share.
	warmupTokens = 4000
	// recomputeWeight is what reading a shared part again that another server has
	// counts for against waiting: the reading delays all that come to that
	// server later, the wait this request alone.
	recomputeWeight = 8.0
	// drawn is how many servers a prompt that shares nothing looks at: with old
	// news of the load two or three serve best (Mitzenmacher, How useful is old
	// information, 2000). unknownCost is what the rest count for, in tokens: more
	// than any of the few that is in time.
	drawn       = 3
	unsampledCost = 1e6
)

// Chooser decides to which backend server a request is sent straight away.
//
// It answers prompts that share long beginnings, prefixes that take most of
// the load, and servers that carry unequal load. Of the servers where the first
// token is likely in time the one is chosen that has the least to read anew, by
// the PrefixIndex; what waits there counts in the same unit, tokens of prompt. A
// part that is held elsewhere is fetched from there where that is faster than
// reading it. One that nobody holds is read at its home, the server with the
// highest hash of prefix and name, unless that is much busier than others: so
// senders agree that haven't heard of each other's choice yet. Where none is in
// time the soonest is named, and admission decides. Without the index and homes
// each server reads every prefix again; without the time a hot prefix takes all
// its load to one server, however long the wait there.
//
// It keeps no state but the Ejector's and the index's; not safe for concurrent
// use.
type Chooser struct {
	random  *rand.Rand
	ejector *Ejector
	index   *PrefixIndex
	// scored is kept for the next choice's use.
	scored []weighed
}

// NewChooser returns a Chooser that leaves out what ejector ejected and looks up
// in index who holds what. The caller hands in the randomness, so that a run can
// be repeated.
func NewChooser(random *rand.Rand, ejector *Ejector, index *PrefixIndex) *Chooser {
	return &Chooser{random: random, ejector: ejector, index: index}
}

// Choose returns the best server at a rate of reading. Ejected and unresponsive ones are
// left out unless more than ejectPanic of the servers are, and those at whose limit the
// request is beyond are in any case.
func (c *Chooser) Choose(now time.Time, job Job, servers []Server, rate *PrefillRate) Choice {
	if len(servers) == 0 {
		return Choice{}
	}
	usable := func(s *Server) bool { return !s.Leaving && !job.tried(s.Name) }
	failing := func(s *Server) bool { return s.Unresponsive || c.ejector.Ejected(now, s.Name) }
	all, failed := 0, 0
	for i := range servers {
		if usable(&servers[i]) {
			all++
			if failing(&servers[i]) {
				failed++
			}
		}
	}
	candidate := usable
	if float64(failed) <= panicThreshold*float64(all) {
		candidate = func(s *Server) bool { return usable(s) && !failing(s) }
	}
	choice := c.chooseFrom(now, job, servers, rate, func(s *Server) bool { return candidate(s) && !s.Beyond })
	if !choice.Found {
		choice.FreeIn, choice.Limited = soonestFree(servers, candidate)
	}
	return choice
}

func (c *Chooser) chooseFrom(now time.Time, job Job, servers []Server, rate *PrefillRate, usable func(*Server) bool) Choice {
	shared := c.lookUpPrefix(now, &job, servers, usable)
	rereadPrice := job.priceOfRereading(servers, usable, rate)
	known := c.preferred(servers, usable, &shared)
	c.scored = c.scored[:0]
	soon := 0
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		w := c.scoreServer(job, &servers[i], shared.missAt(i, &job, rate), rereadPrice, rate)
		w.choice.At = i
		if w.choice.soon {
			soon++
		}
		if !known[i] {
			w.cost += unsampledCost * (1 + c.random.Float64())
		}
		c.scored = append(c.scored, w)
	}
	c.shareSlots(job.Unseen, c.scored)
	var best Choice
	// What is late is worth no more than what has waited for its whole target.
	least, late := 0.0, rate.during(job.Target)
	for i := range c.scored {
		choice, cost := c.scored[i].finalScore(late)
		if !best.Found || choice.InTime && !best.InTime || choice.InTime == best.InTime && cost < least {
			best, least = choice, cost
		}
	}
	best.OnlySlots = soon > 0 && !best.InTime
	best.InTime = best.InTime && c.sharesTime(&job, &best, rate, soon)
	return best
}

// preferred are the places that a sender considers first: who holds the prompt's
// beginning, and its homes; for a prompt without one a few that are drawn at
// random. The rest come after them, in random order.
//
// It answers many senders that hear of each other's sends a moment later: the
// one server that waits for nothing is the best one for all of them, and gets
// what all send until they have heard. That senders agree on the homes keeps the
// copies of a part few that they make before they hear of each other's.
func (c *Chooser) preferred(servers []Server, usable func(*Server) bool, shared *prefixLookup) []bool {
	known := make([]bool, len(servers))
	if shared.cached == nil {
		for range drawn {
			known[c.random.IntN(len(servers))] = true
		}
		return known
	}
	for i := range servers {
		if usable(&servers[i]) && 2*shared.cached[i].expected > shared.length {
			known[i] = true
		}
	}
	for _, home := range shared.homes {
		if home >= 0 {
			known[home] = true
		}
	}
	return known
}

// scoreServer says what sending to a server would come to. Where the first token would
// be late anyway only the time counts.
func (c *Chooser) scoreServer(job Job, s *Server, need need, rereadPrice float64, rate *PrefillRate) weighed {
	own := job.Tokens - job.prefix().Upto
	choice := Choice{Found: true, Prefill: own + need.prefillTokens(), From: need.source, Fetches: need.fetched > 0}
	others := s.ahead(job.Urgency)
	choice.Ahead = others + float64(choice.Prefill)
	left := s.slotsLeft(job)
	choice.Room = left > 0 && !s.outOfConns()
	choice.soon = job.inTime(rate, others, need, rereadPrice)
	choice.Expected = rate.expectedTTFT(choice.Ahead)
	cost := choice.Ahead + float64(s.Running*runningRequestTokens)
	if s.Zone != job.Zone {
		cost += crossZoneTokens
	}
	// A stream that is late by a pause is worth no more than one that has waited
	// for its whole target.
	cost += s.LatePause * rate.during(job.Target)
	// Equals are drawn from, so that senders don't all go the same way.
	cost += c.random.Float64() * minPendingTokens / 2
	return weighed{choice: choice, cost: cost, prefillPenalty: need.penalty(), left: left, pauseRisk: s.LatePause}
}
