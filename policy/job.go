package policy

import (
	"slices"
	"time"
)

const (
	// maxRecomputePenalty is the largest amount by which recomputeFactor exceeds 1,
	// reached when the wait takes the whole target. Under load, prefilling a segment
	// on a server other than the one that caches it delays the requests whose
	// segments that server caches; these then move elsewhere in turn.
	maxRecomputePenalty = 15.0
	// minWaitFraction is the fraction of the target that any request may wait for
	// others, not counting the model's first step. It admits classes of very long
	// prompts at servers where almost nothing is queued. A larger value delays all
	// other requests.
	minWaitFraction = 0.04
)

// Job describes a request that is to be sent to a backend server.
type Job struct {
	// Zone is the availability zone of the gateway that sends the request.
	Zone string
	// PlannedZone is the availability zone to which the plan of the zones' shares assigns the request;
	// empty if there is no plan. CrossingCost is the wait of a caller that sending the request to
	// another zone than that of the gateway is worth.
	PlannedZone  string
	CrossingCost time.Duration
	// Urgency ranges from 0, the most urgent, to UrgencyLevels-1.
	Urgency int
	// Target is the target for the time to the first token; 0 means none.
	Target time.Duration
	// Tokens is the length of the prompt; 0 for a service that isn't a model.
	Tokens int
	// MeanTokens is the mean prompt length of the class, by which the request is
	// admitted; 0 if unknown.
	MeanTokens float64
	// SharedSegments are the segments of the prefix that the prompt shares with
	// others, in order. They don't include the remainder that is specific to
	// this prompt.
	SharedSegments []PrefixSegment
	// FetchRate is the rate, in tokens per millisecond, at which a server fetches
	// what another one has prefilled; 0 if it can't.
	FetchRate float64
	// UnreportedRequests is the expected number of requests that other gateways
	// have sent to the servers since their last update.
	UnreportedRequests float64
	// UnreportedTokens is the expected number of tokens to prefill for those of
	// them that are at least as urgent and were sent within ReportAge, the mean
	// age of the updates.
	UnreportedTokens float64
	ReportAge        time.Duration
	// UnreportedOffers is the expected number of requests, sent or not, that
	// other gateways have received for the service since their last update, and
	// OtherGateways the number of these gateways.
	UnreportedOffers float64
	OtherGateways    float64
	// Headroom is the share of each server's slots, from 0 to 1, that is left free
	// for more urgent requests, in addition to slotSharePerLevel. See
	// AdaptiveHeadroom.
	Headroom float64
	// Tried lists the servers that must not be used again.
	Tried []string
	// Bound is set if the job continues a stream. Only servers of the software version
	// Version can: events of two versions don't fit together.
	Bound   bool
	Version Key
	// Protected jobs are sent to reserved servers if one of them is in time. Jobs that are
	// BoundByReservation must respect the servers' PrefillBudget.
	Protected          bool
	BoundByReservation bool
	// MaxWaitingTokens bounds the tokens that may wait for prefill at a server that isn't over its
	// PrefillBudget, in tokens of the average server and with a prompt of the class's mean length
	// included; 0 means no bound. More would stall the streams of the job's own class.
	MaxWaitingTokens float64
	// UnreportedProtected is the part of UnreportedRequests that are protected.
	UnreportedProtected float64
}

// sharedPrefix returns the last shared segment, which identifies the complete shared
// prefix; its ID is 0 if there is none.
func (j *Job) sharedPrefix() PrefixSegment {
	if len(j.SharedSegments) == 0 {
		return PrefixSegment{}
	}
	return j.SharedSegments[len(j.SharedSegments)-1]
}

// scaleToMeanLength scales a number of the prompt's tokens to a prompt of the
// mean length of the class.
func (j *Job) scaleToMeanLength(tokens float64) float64 {
	if j.MeanTokens == 0 || j.Tokens == 0 {
		return tokens
	}
	return tokens * j.MeanTokens / float64(j.Tokens)
}

// tried reports whether the server must not be used again.
func (j *Job) tried(name string) bool {
	return slices.Contains(j.Tried, name)
}

// fits reports whether the server's software version allows it to run the job. A server of
// unknown version fits only jobs that aren't bound.
func (j *Job) fits(s *Server) bool {
	return !j.Bound || s.Version != 0 && s.Version == j.Version
}

// recomputeFactor returns how many waiting tokens a token of a shared segment that is
// prefilled again counts as in meetsTarget. It is 1 while most servers are idle and
// grows with the fraction of the target that the queue of the median server takes.
// The median keeps a single overloaded server among idle ones from raising it for all.
func (j *Job) recomputeFactor(servers []Server, usable func(*Server) bool, rate *PrefillRate) float64 {
	if j.Target == 0 || len(j.SharedSegments) == 0 {
		return 1
	}
	waits := make([]float64, 0, len(servers))
	for i := range servers {
		if usable(&servers[i]) {
			waits = append(waits, servers[i].scaledTokensAhead(UrgencyLevels-1))
		}
	}
	if len(waits) == 0 {
		return 1
	}
	slices.Sort(waits)
	medianWait := waits[len(waits)/2] / rate.rate() * float64(time.Millisecond)
	return 1 + maxRecomputePenalty*min(medianWait/float64(j.Target), 1)
}

// meetsTarget reports whether the request's first token is likely within the target at
// a server with the given cache miss, whose recomputed tokens are weighted by
// recomputeFactor. All tokens count times the server's slowdown. The request is judged as a prompt
// of the mean length of its class with the same fraction cached, so that prompts of all
// lengths find a server equally often; see ClassSizes. A server where almost nothing is
// queued counts as meeting the target anyway, so that classes are served whose prompts
// take the whole target.
func (j *Job) meetsTarget(rate *PrefillRate, s *Server, miss cacheMiss, recomputeFactor float64) bool {
	if j.Target == 0 {
		return true
	}
	ownTokens := float64(j.Tokens - j.sharedPrefix().End)
	ownTokens += miss.transferTokens
	recomputedTokens := miss.recomputed
	if miss.home || miss.secondHome {
		ownTokens += miss.uncached
	} else {
		// Other requests may prefill it on one of its home servers in the meantime.
		recomputedTokens += miss.uncached
	}
	slowdown, queuedTokens := s.slowdown(), s.scaledTokensAhead(j.Urgency)
	ownTokens, recomputedTokens = slowdown*j.scaleToMeanLength(ownTokens), slowdown*j.scaleToMeanLength(recomputedTokens)
	return rate.likelyTTFT(queuedTokens+recomputeFactor*recomputedTokens, ownTokens) <= j.Target ||
		rate.prefillTime(queuedTokens+recomputedTokens) <= scaleDuration(minWaitFraction, j.Target)
}

// scaleDuration returns the given fraction of a duration.
func scaleDuration(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}
