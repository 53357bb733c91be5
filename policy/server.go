package policy

import "time"

// UrgencyLevels is the number of urgency levels that backend servers distinguish.
// Level 0 is the most urgent.
const UrgencyLevels = 10

// PendingWork is the work at a server that waits for its first token, by urgency.
type PendingWork [UrgencyLevels]struct {
	// Requests is the number of requests, and Tokens the number of prompt tokens that
	// have to be prefilled for them.
	Requests int
	Tokens   int
}

// Server is the state of a backend server as known to one gateway. Counts include the
// requests of all gateways: this gateway's own are exact, those of others are as old
// as their last update.
type Server struct {
	// Name identifies the server, and Instance one run of its process. Zone is its
	// availability zone.
	Name     string
	Instance Key
	Zone     string
	// Version is the key of the software version that the server runs; 0 if unknown.
	Version Key
	// Slots is the number of requests that run concurrently; 0 if unknown.
	Slots int
	// MaxConns is the number of connections that the server accepts from all gateways
	// together; 0 if unknown.
	MaxConns int
	// Running is the number of requests that have received a first token.
	Running int
	// Pending is the work that waits for its first token.
	Pending PendingWork
	// Draining servers accept no new work.
	Draining bool
	// BackoffLeft is how long no request may be sent to the server, because it asked this gateway
	// to back off; 0 if it didn't.
	BackoffLeft time.Duration
	// Warming servers have started recently and are slow for a while.
	Warming bool
	// Unresponsive servers answer no gateway.
	Unresponsive bool
	// RateLimited servers have stated a rate limit, of which Allowance is left to this
	// gateway. No request is sent to a server that is OverLimit.
	RateLimited bool
	Allowance   Allowance
	OverLimit   bool
	// Slowdown is the ratio of the server's time per event to the mean over the service's
	// servers, as estimated by package serverspeed; 0 means 1.
	Slowdown float64
	// PauseRisk is the excess probability, compared with the service's average server,
	// that the job's stream has a longer pause between events than its target.
	PauseRisk float64
	// Reserved servers are reserved for protected jobs. PrefillBudget is the number of tokens
	// up to which a job that is bound by reservations may add to those that wait there; 0
	// means no bound. See package isolation.
	Reserved      bool
	PrefillBudget float64
}

// takesRequests reports whether requests may be sent to the server at all. Nothing overrides that.
func (s *Server) takesRequests() bool { return !s.Draining && s.BackoffLeft == 0 }

// slowdown returns Slowdown, or 1 if it isn't set.
func (s *Server) slowdown() float64 {
	if s.Slowdown == 0 {
		return 1
	}
	return s.Slowdown
}

// scaledTokensAhead returns tokensAhead times the slowdown: the number of tokens that the
// average server prefills in that time.
func (s *Server) scaledTokensAhead(urgency int) float64 {
	return s.slowdown() * s.tokensAhead(urgency)
}

// inFlight returns the number of running and pending requests.
func (s *Server) inFlight() int {
	n := s.Running
	for _, level := range s.Pending {
		n += level.Requests
	}
	return n
}

// SlotUtilization returns the number of running and pending requests as a share of all
// servers' slots; 0 if no server has a known number of slots. Slots that a rate limit keeps
// idle count as used, and those of servers that take no requests don't count.
func SlotUtilization(servers []Server) float64 {
	used, slots := 0.0, 0
	for i := range servers {
		s := &servers[i]
		if s.Slots == 0 || !s.takesRequests() {
			continue
		}
		slots += s.Slots
		busy := float64(s.inFlight())
		if s.RateLimited {
			busy = max(busy, float64(s.Slots)*(1-max(s.Allowance.Remaining, 0)/s.Allowance.Burst))
		}
		used += busy
	}
	return used / float64(max(slots, 1))
}

// tokensAhead returns the number of tokens that the server prefills before a new
// request of an urgency level: servers process more urgent requests first, and requests of
// equal urgency in order of arrival.
func (s *Server) tokensAhead(urgency int) float64 {
	tokens := 0
	for _, level := range s.Pending[:urgency+1] {
		tokens += level.Tokens + level.Requests*minPendingTokens
	}
	if s.Warming {
		tokens += warmupTokens
	}
	return float64(tokens)
}
