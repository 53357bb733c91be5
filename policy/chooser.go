package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// runningRequestTokens is the delay that a generating request adds to a new one, in
	// prompt tokens: it lengthens a batch step by about a tenth of a millisecond, some
	// 60 to 90 tokens are prefilled in a millisecond, and a new prompt takes a few steps.
	runningRequestTokens = 48
	// minPendingTokens is the minimum cost of a request without a first token, in
	// tokens: even a prompt of a few tokens waits for a step.
	minPendingTokens = 128
	// crossZoneTokens is the cost of another availability zone, in tokens: the round
	// trip takes one to three milliseconds, about 150 tokens.
	crossZoneTokens = 150
	// warmupTokens is the cost of a server that is slow after its start, in tokens: that
	// of a long prompt, so that it gets work but less than its full share.
	warmupTokens = 4000
	// recomputeWeight is the cost of a token that is prefilled although another server
	// has it cached, relative to a token of waiting: prefill delays all later requests
	// at that server, waiting only this request.
	recomputeWeight = 8.0
	// sampledServers is the number of servers considered first for a prompt without a
	// shared prefix: with stale load information two or three choices work best
	// (Mitzenmacher, How useful is old information, 2000).
	sampledServers = 3
	// nonPreferredCost is the least additional cost of a server that preferred doesn't mark,
	// in tokens: more than the cost of any marked server that is in time.
	nonPreferredCost = 1e6
)

// Chooser selects the backend server to which a request is sent immediately.
//
// It handles prompts with long shared prefixes, prefixes that cause most of the load,
// and unevenly loaded servers. Among the servers whose first token is likely in time it
// selects the one with the lowest cost. Costs are in prompt tokens: the tokens to
// prefill that the server doesn't have cached according to the PrefixIndex, and the
// work that waits there. Both are multiplied by the server's slowdown, so that tokens are
// those of the average server and the service's PrefillRate applies. A segment that another
// server has cached is fetched from there if that is faster than prefill. A segment that no server has is prefilled at its home
// server, the one with the highest rendezvous hash of prefix and server name, unless
// that is much busier than others, so that gateways agree before they have received
// each other's updates. If no server is in time, the one with the earliest expected
// first token is returned and admission decides.
//
// Without the index and home servers each server would prefill every prefix. Without
// expected times a hot prefix would send all its load to one server, however long the
// wait there.
//
// It has no state apart from the Ejector's and the index's. Not safe for concurrent
// use.
type Chooser struct {
	random  *rand.Rand
	ejector *Ejector
	index   *PrefixIndex
	// scored and sampled are buffers that are reused by each choice.
	scored  []scoredServer
	sampled []int
}

// NewChooser returns a Chooser that avoids the servers ejected by ejector and looks up
// cached prefixes in index. Passing the random source makes runs reproducible.
func NewChooser(random *rand.Rand, ejector *Ejector, index *PrefixIndex) *Chooser {
	return &Chooser{random: random, ejector: ejector, index: index}
}

// Choose returns the best server for a job, given the service's prefill rate. Ejected
// and unresponsive servers are excluded unless they are more than panicThreshold of the
// usable servers. Servers that drain or are backed off, those over their rate limit and those of a
// version that doesn't fit a bound job are always excluded. A protected job is sent to a reserved
// server if one is in time.
func (c *Chooser) Choose(now time.Time, job Job, servers []Server, rate *PrefillRate) Choice {
	if len(servers) == 0 {
		return Choice{}
	}
	usable := func(s *Server) bool { return s.takesRequests() && job.fits(s) && !job.tried(s.Name) }
	failing := func(s *Server) bool { return s.Unresponsive || c.ejector.Ejected(now, s.Name) }
	usableCount, failingCount := 0, 0
	for i := range servers {
		if usable(&servers[i]) {
			usableCount++
			if failing(&servers[i]) {
				failingCount++
			}
		}
	}
	candidate, panicking := usable, true
	if float64(failingCount) <= panicThreshold*float64(usableCount) {
		candidate, panicking = func(s *Server) bool { return usable(s) && !failing(s) }, false
	}
	available := func(s *Server) bool { return candidate(s) && !s.OverLimit }
	// While most servers fail, the reserved ones may be among them.
	if job.Protected && !panicking {
		if choice := c.chooseReserved(now, job, servers, rate, available); choice.InTime {
			return choice
		}
	}
	choice := c.chooseByPlan(now, job, servers, rate, available)
	if !choice.Found {
		choice.AvailableIn, choice.RateLimited = soonestAvailable(servers, candidate)
		if backoffLeft, found := soonestBackoffEnd(servers, job.fits); found && (!choice.RateLimited || backoffLeft < choice.AvailableIn) {
			choice.AvailableIn, choice.RateLimited, choice.BackedOff = backoffLeft, false, true
		}
	}
	return choice
}

// chooseFrom returns the best of the usable servers.
func (c *Chooser) chooseFrom(now time.Time, job Job, servers []Server, rate *PrefillRate, usable func(*Server) bool) Choice {
	lookup := c.lookUpPrefix(now, &job, servers, usable)
	recomputeFactor := job.recomputeFactor(servers, usable, rate)
	preferred := c.preferred(servers, usable, &lookup)
	c.scored = c.scored[:0]
	meetingTarget := 0
	for i := range servers {
		if !usable(&servers[i]) {
			continue
		}
		scored := c.scoreServer(job, &servers[i], lookup.missAt(i, &servers[i], &job, rate), recomputeFactor, rate)
		scored.choice.Index = i
		if scored.choice.meetsTarget {
			meetingTarget++
		}
		if !preferred[i] {
			scored.cost += nonPreferredCost * (1 + c.random.Float64())
		}
		c.scored = append(c.scored, scored)
	}
	c.admitBySlots(job.UnreportedRequests, c.scored)
	var best Choice
	// A late request is worth no more than one that has waited for its whole target.
	lowestCost, latePenalty := 0.0, rate.tokensIn(job.Target)
	for i := range c.scored {
		choice, cost := c.scored[i].finalScore(latePenalty)
		if !best.Found || choice.InTime && !best.InTime || choice.InTime == best.InTime && cost < lowestCost {
			best, lowestCost = choice, cost
		}
	}
	best.SlotLimited = meetingTarget > 0 && !best.InTime
	best.InTime = best.InTime && c.admitByTime(&job, &best, rate, meetingTarget)
	return best
}

// preferred marks the servers that are considered first: those that have more than half
// of the shared prefix cached and its home servers, or, for a prompt without a shared
// prefix, a few random ones. The others follow in random order.
//
// Many gateways choose before they receive each other's updates. Without this, all of
// them would send to the one idle server until the updates arrive. Common home servers
// also bound the number of copies of a segment that gateways create in the meantime.
func (c *Chooser) preferred(servers []Server, usable func(*Server) bool, lookup *prefixLookup) []bool {
	preferred := make([]bool, len(servers))
	if lookup.cached == nil {
		c.markSample(servers, usable, preferred)
		return preferred
	}
	for i := range servers {
		if usable(&servers[i]) && 2*lookup.cached[i].expected > lookup.length {
			preferred[i] = true
		}
	}
	for _, home := range lookup.homes {
		if home >= 0 {
			preferred[home] = true
		}
	}
	return preferred
}

// markSample marks sampledServers of the usable servers, drawn with replacement.
func (c *Chooser) markSample(servers []Server, usable func(*Server) bool, marked []bool) {
	c.sampled = c.sampled[:0]
	for i := range servers {
		if usable(&servers[i]) {
			c.sampled = append(c.sampled, i)
		}
	}
	if len(c.sampled) == 0 {
		return
	}
	for range sampledServers {
		marked[c.sampled[c.random.IntN(len(c.sampled))]] = true
	}
}

// scoreServer returns the expected result and cost of sending the job to a server. The
// prefill penalty is kept apart since it counts only if the first token is in time.
func (c *Chooser) scoreServer(job Job, s *Server, miss cacheMiss, recomputeFactor float64, rate *PrefillRate) scoredServer {
	ownTokens := job.Tokens - job.sharedPrefix().End
	choice := Choice{Found: true, PrefillTokens: ownTokens + miss.prefillTokens(), FetchFrom: miss.source, Fetches: miss.fetched > 0}
	choice.Slowdown, choice.QueuedTokens = s.slowdown(), s.tokensAhead(job.Urgency)
	choice.TokensAhead = choice.Slowdown * (choice.QueuedTokens + float64(choice.PrefillTokens))
	slotsLeft := s.slotsLeft(job)
	choice.HasCapacity = slotsLeft > 0 && !s.connsExhausted()
	overBudget := job.exceedsBudget(s, choice.PrefillTokens)
	choice.meetsTarget = !overBudget && job.meetsTarget(rate, s, miss, recomputeFactor)
	choice.ExpectedTTFT = rate.expectedTTFT(choice.TokensAhead)
	cost := choice.TokensAhead + float64(s.Running*runningRequestTokens)
	if overBudget {
		cost += overBudgetCost
	}
	if s.Zone != job.Zone {
		cost += crossZoneTokens
	}
	// A stream that is late because of a pause is worth no more than one that has
	// waited for its whole target.
	cost += s.PauseRisk * rate.tokensIn(job.Target)
	// Random tie-breaking keeps gateways from all choosing the same server.
	cost += c.random.Float64() * minPendingTokens / 2
	return scoredServer{choice: choice, cost: cost, prefillPenalty: miss.penalty(), slotsLeft: slotsLeft, pauseRisk: s.PauseRisk}
}
