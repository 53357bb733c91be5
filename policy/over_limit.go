package policy

import (
	"math/rand/v2"
	"time"
)

// MarkOverLimit marks the servers whose limit leaves no capacity for a request.
//
// It decides at random, to account for what other gateways may have sent to a server since
// their last report. Of the gateways that are expected to have a request for the server
// meanwhile, as many are admitted as the limit allows in that time, plus what remains of it.
// Otherwise every gateway that sees capacity would send, and dozens do whenever there is
// capacity for one. A gateway that loses a draw waits until it has received from the others, so
// that a burst causes one draw per gateway.
//
// A less urgent request leaves the same share of each limit free as of servers' slots.
func (l *ServerLimits) MarkOverLimit(now time.Time, random *rand.Rand, job *Job, servers []Server) {
	if l.Empty() {
		return
	}
	available := 0
	for i := range servers {
		if servers[i].limitRemaining(job) > 0 {
			available++
		}
	}
	// A request considers a few of the servers and takes the one with the most capacity.
	others := min(job.UnreportedOffers, job.OtherGateways) * min(1, sampledServers/float64(max(available, 1)))
	for i := range servers {
		if s := &servers[i]; s.RateLimited {
			remaining, limit := s.limitRemaining(job), l.servers[s.Instance]
			s.OverLimit = remaining <= 0 || !limit.draw(now, random, (limit.sendsPerRedraw()+remaining)/(limit.sendsPerRedraw()+others))
		}
	}
}

// draw reports whether the gateway wins a draw of the given probability.
func (s *serverLimit) draw(now time.Time, random *rand.Rand, probability float64) bool {
	if now.Sub(s.drawLost) < redrawInterval {
		return false
	}
	if random.Float64() < probability {
		return true
	}
	s.drawLost = now
	return false
}

// limitRemaining returns how many requests of the job's urgency the server's limit still
// allows; 1 if it has none.
func (s *Server) limitRemaining(job *Job) float64 {
	if !s.RateLimited {
		return 1
	}
	return s.Allowance.Remaining - job.Headroom*s.Allowance.Burst
}

// soonestAvailable returns after what time the first of the candidates that are over their
// limit has capacity; false if none is over its limit.
func soonestAvailable(servers []Server, candidate func(*Server) bool) (soonest time.Duration, found bool) {
	for i := range servers {
		s := &servers[i]
		if s.OverLimit && candidate(s) && (!found || s.Allowance.AvailableIn < soonest) {
			soonest, found = s.Allowance.AvailableIn, true
		}
	}
	return soonest, found
}
