package policy

import "time"

// plannedWaitShare is the part of the tokens that may wait at a server within the target up to which
// a request stays in its planned zone; with more ahead it may use any zone, since plans follow a
// changed demand only after most of a second. In the queueing model of package zonerouting, with zones
// whose demands swing by 0.55 around the full capacity, up to 0.010 less is on time at 0.25 than in one
// pool, 0.022 at 0.5 and 0.030 at 1 (the largest of six, six and three random sequences).
const plannedWaitShare = 0.25

// chooseByPlan returns the best of the usable servers of the job's planned zone if the request is
// certain to be admitted there, else the best of all usable servers. Admission is therefore never
// stricter than without a plan, and no request gets a second random draw.
func (c *Chooser) chooseByPlan(now time.Time, job Job, servers []Server, rate *PrefillRate, usable func(*Server) bool) Choice {
	if job.PlannedZone != "" {
		inZone := func(s *Server) bool { return s.Zone == job.PlannedZone && usable(s) }
		cached := c.prefixCachedIn(now, &job, servers, inZone)
		// A prefix that no server has is prefilled anyway.
		if cached || !c.index.hasAny(job.SharedSegments) || c.copiesPrefix(&job, rate) {
			choice, certain := c.chooseInZone(now, job, servers, rate, usable, inZone)
			// A further copy of a prefix isn't worth its prefill before a copy in another zone was
			// considered.
			if certain && !(cached && job.recomputes(&choice)) {
				return choice
			}
		}
	}
	return c.chooseFrom(now, job, servers, rate, usable)
}

// chooseInZone returns the best of the servers of a zone, and whether it has capacity and time left
// for the request even if the other gateways have sent it its part of the requests that they haven't
// reported yet.
func (c *Chooser) chooseInZone(now time.Time, job Job, servers []Server, rate *PrefillRate, usable, inZone func(*Server) bool) (Choice, bool) {
	all, own := countServers(servers, usable), countServers(servers, inZone)
	if own == 0 {
		return Choice{}, false
	}
	part := float64(own) / float64(all)
	withoutDraws := job
	withoutDraws.UnreportedRequests, withoutDraws.UnreportedTokens = 0, 0
	choice := c.chooseFrom(now, withoutDraws, servers, rate, inZone)
	if !choice.InTime {
		return choice, false
	}
	withCapacity, meetingTarget, slotsLeft := 0, 0, 0.0
	for i := range c.scored {
		scored := &c.scored[i]
		if scored.choice.HasCapacity {
			withCapacity++
		}
		if scored.choice.meetsTarget {
			meetingTarget++
		}
		if scored.choice.Index == choice.Index {
			slotsLeft = scored.slotsLeft
		}
	}
	return choice, slotsLeft >= part*job.UnreportedRequests/float64(withCapacity) &&
		job.certainInTime(&choice, rate, part*job.UnreportedTokens/float64(meetingTarget))
}

// prefixCachedIn reports whether one of the servers that fulfill a condition has most of the job's
// shared prefix cached, or whether there is no such prefix.
func (c *Chooser) prefixCachedIn(now time.Time, job *Job, servers []Server, condition func(*Server) bool) bool {
	prefix := job.sharedPrefix()
	if prefix.ID == 0 {
		return true
	}
	if !c.index.hasAny(job.SharedSegments) {
		return false
	}
	for i := range servers {
		if condition(&servers[i]) && 2*c.index.cachedAt(now, KeyOf(servers[i].Name), job.SharedSegments).expected > prefix.End {
			return true
		}
	}
	return false
}

// copiesPrefix decides at random whether a request whose planned zone doesn't have its shared prefix
// cached is prefilled there nevertheless, rather than sent to any zone. The prefill takes the servers'
// time once, and crossings cost something for each request, so that the probability is the cost of one
// crossing relative to that of the prefill: the expected costs of the crossings before the prefill then
// equal those of the prefill. If each zone prefilled each prefix at once, rare prefixes would take
// capacity that no crossing is worth.
func (c *Chooser) copiesPrefix(job *Job, rate *PrefillRate) bool {
	return c.random.Float64()*float64(job.sharedPrefix().End) < rate.tokensIn(job.CrossingCost)
}

// recomputes reports whether the chosen server prefills most of the job's shared prefix.
func (j *Job) recomputes(choice *Choice) bool {
	prefix := j.sharedPrefix().End
	return prefix > 0 && 2*(choice.PrefillTokens-(j.Tokens-prefix)) > prefix
}

// certainInTime reports whether the request is admitted at the chosen server whatever admitByTime
// draws, given the unreported tokens of other gateways at that server.
func (j *Job) certainInTime(choice *Choice, rate *PrefillRate, unreportedTokens float64) bool {
	if j.Target == 0 {
		return true
	}
	prefill := choice.Slowdown * float64(choice.PrefillTokens)
	spare := plannedWaitShare*rate.maxQueuedTokens(j.Target, j.scaleToMeanLength(prefill)) - (choice.TokensAhead - prefill)
	return spare >= choice.Slowdown*unreportedTokens-rate.tokensIn(j.ReportAge)
}

// countServers returns the number of servers that fulfill a condition.
func countServers(servers []Server, condition func(*Server) bool) int {
	count := 0
	for i := range servers {
		if condition(&servers[i]) {
			count++
		}
	}
	return count
}

// Rates returns the number of requests per second that were recently offered, by urgency level.
func (c *OfferCounts) Rates() [UrgencyLevels]float64 {
	var rates [UrgencyLevels]float64
	for i := range c {
		rates[i] = c[i].Offered / offerTimeConstant.Seconds()
	}
	return rates
}

// TokensPerMillisecond returns the estimated prefill rate, and whether it is known from enough
// samples.
func (r *PrefillRate) TokensPerMillisecond() (rate float64, known bool) {
	return r.rate(), r != nil && r.samples >= priorSamples
}
