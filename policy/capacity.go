package policy

import "math"

const (
	// maxSlotShare is the share of a server's slots that the most urgent requests may fill,
	// and slotSharePerLevel the share that each less urgent level leaves free for those above.
	// A full server preempts running work for more urgent requests. Requests that other
	// gateways haven't reported yet need no reservation: admitBySlots accounts for them.
	maxSlotShare      = 1.0
	slotSharePerLevel = 0.02
	// maxConnShare is the share of a server's connections that requests may take. Idle
	// connections and those of gateways that haven't reported yet take the rest.
	maxConnShare = 0.7
)

// connsExhausted reports whether the server might reset one more connection. A model server
// has slots. A plain service queues briefly and answers that it is full, but it resets
// connections beyond those that it accepts, and then the outcome of their requests is unknown.
func (s *Server) connsExhausted() bool {
	return s.MaxConns > 0 && float64(s.inFlight()) >= maxConnShare*float64(s.MaxConns)
}

// admitBySlots decides at random which servers with a free slot stay eligible for the request.
// unreported is how many requests other gateways are expected to have sent since their last
// update. A server stays eligible with the probability that a slot is left for this request.
// Without this, all gateways see the same few servers with a free slot when nearly all are
// full, and all of them send there.
//
// If fewer slots are left in total than other gateways have sent requests, the request draws
// once for all slots and gets at most one server, chosen in proportion to its free slots.
// Independent draws per server would add up: with 13 requests for seven servers that have two
// free slots each, two of three requests would win at least one draw, and the cheapest server
// would get most of them.
func (c *Chooser) admitBySlots(unreported float64, scored []scoredServer) {
	withCapacity, freeSlots, meetingTarget := 0, 0.0, 0
	for i := range scored {
		if !scored[i].choice.HasCapacity {
			continue
		}
		withCapacity++
		if scored[i].choice.meetsTarget {
			meetingTarget++
			freeSlots += scored[i].slotsLeft
		}
	}
	perServer := unreported / float64(max(withCapacity, 1))
	draw, scarce := 0.0, freeSlots < perServer*float64(meetingTarget)
	if scarce {
		draw = c.random.Float64() * perServer * float64(meetingTarget)
	}
	for i := range scored {
		s := &scored[i]
		switch {
		case !s.choice.HasCapacity:
		case scarce && s.choice.meetsTarget:
			s.choice.HasCapacity = draw >= 0 && draw < s.slotsLeft
			draw -= s.slotsLeft
		case s.slotsLeft < perServer:
			s.choice.HasCapacity = c.random.Float64() < s.slotsLeft/perServer
		}
	}
}

// slotsLeft returns how many slots a request of the job's urgency may still take. It is +Inf
// if the server's slots or the request's tokens aren't known.
func (s *Server) slotsLeft(job Job) float64 {
	if job.Tokens == 0 || s.Slots == 0 {
		return math.Inf(1)
	}
	share := maxSlotShare - slotSharePerLevel*float64(job.Urgency) - job.Headroom
	return share*float64(s.Slots) - float64(s.inFlight())
}

// admitByTime decides at random whether a request is admitted at the chosen server, given what
// other gateways may have sent since their last updates. Near saturation all gateways see the
// same last server that meets the target. If each sent there until it learned of the others'
// requests, these would wait for seconds. The probability of admission is the number of tokens
// that the server can still prefill within the target, divided by the number of tokens that
// other gateways are expected to have sent there and that it hasn't prefilled yet.
//
// meetingTarget counts the servers that meet the target whether or not they have a free slot:
// servers without one are short of slots, not of time.
func (c *Chooser) admitByTime(job *Job, best *Choice, rate *PrefillRate, meetingTarget int) bool {
	if job.Target == 0 || job.UnreportedTokens == 0 {
		return true
	}
	unreportedTokens := best.Slowdown*job.UnreportedTokens/float64(meetingTarget) - rate.tokensIn(job.ReportAge)
	prefill := best.Slowdown * float64(best.PrefillTokens)
	spare := rate.maxQueuedTokens(job.Target, job.scaleToMeanLength(prefill)) - (best.TokensAhead - prefill)
	return spare >= unreportedTokens || c.random.Float64() < spare/unreportedTokens
}
