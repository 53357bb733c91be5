package policy

import (
	"math/rand/v2"
	"time"
)

// Draw says at which servers a request is beyond the limit.
//
// What others may have sent to a server since they told is left to chance: of as many
// senders as are expected to have a request for it meanwhile, as many are let through as
// the limit takes in that time, and as many more as it leaves. Each that saw room would
// send otherwise, and dozens do whenever there is room for one. Who loses waits until it
// has heard of the others, so that a burst brings one draw of each sender.
//
// What is less urgent leaves of each limit the part that it leaves of servers' slots.
func (l *ServerLimits) Draw(now time.Time, random *rand.Rand, job *Job, servers []Server) {
	if l.Empty() {
		return
	}
	roomy := 0
	for i := range servers {
		if servers[i].leaves(job) > 0 {
			roomy++
		}
	}
	// A request looks at a few of the servers, and takes the one with the most room.
	others := min(job.UnseenOffers, job.OtherSenders) * min(1, drawn/float64(max(roomy, 1)))
	for i := range servers {
		if s := &servers[i]; s.Limited {
			left, limit := s.leaves(job), l.servers[s.Start]
			s.Beyond = left <= 0 || !limit.draws(now, random, (limit.meanwhile()+left)/(limit.meanwhile()+others))
		}
	}
}

// draws reports whether a draw is won that has a chance.
func (s *serverLimit) draws(now time.Time, random *rand.Rand, chance float64) bool {
	if now.Sub(s.lost) < drawAgain {
		return false
	}
	if random.Float64() < chance {
		return true
	}
	s.lost = now
	return false
}

// leaves is how many requests like one a server's limit leaves room for.
func (s *Server) leaves(job *Job) float64 {
	if !s.Limited {
		return 1
	}
	return s.Allowance.Left - job.Headroom*s.Allowance.Size
}

// soonestFree is after what time the first of the servers has room that are beyond their
// limits; false if none is.
func soonestFree(servers []Server, candidate func(*Server) bool) (soonest time.Duration, found bool) {
	for i := range servers {
		s := &servers[i]
		if s.Beyond && candidate(s) && (!found || s.Allowance.FreeIn < soonest) {
			soonest, found = s.Allowance.FreeIn, true
		}
	}
	return soonest, found
}
