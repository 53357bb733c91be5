package policy

import (
	"math/rand/v2"
	"time"
)

// MarkOverLimit sets OverLimit on the servers whose limit leaves no capacity for the job.
//
// It decides at random, because other gateways may have sent requests to a server since their
// last report. The probability to send is (a + remaining) / (a + others): a is the number of
// requests that the limit allows until the next draw, remaining the number that it allows now,
// and others the expected number of other gateways with a request for the server. Without the
// draw every gateway that sees capacity would send: dozens of requests where there is capacity
// for one. A gateway that loses a draw doesn't draw again until it has received the reports of
// the others, so that a burst causes one draw per gateway.
//
// The job leaves Headroom of each limit free, as it does of the servers' slots.
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
	// others is the expected number of other gateways with a request for the same server: a
	// request considers only a few servers and takes the one with the most capacity.
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
// allows; 1 if the server has no limit.
func (s *Server) limitRemaining(job *Job) float64 {
	if !s.RateLimited {
		return 1
	}
	return s.Allowance.Remaining - job.Headroom*s.Allowance.Burst
}

// soonestAvailable returns the time until the first of the candidates that are over their
// limit has capacity again, and false if none is over its limit.
func soonestAvailable(servers []Server, candidate func(*Server) bool) (soonest time.Duration, found bool) {
	for i := range servers {
		s := &servers[i]
		if s.OverLimit && candidate(s) && (!found || s.Allowance.AvailableIn < soonest) {
			soonest, found = s.Allowance.AvailableIn, true
		}
	}
	return soonest, found
}
