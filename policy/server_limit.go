package policy

import (
	"math"
	"time"
)

const (
	// minLimitTimeConstant is the shortest time constant for averaging sends to a server:
	// several gossip intervals. limitBurst is the least number of requests allowed within the
	// time constant, so that a low limit can be used by single requests far apart.
	minLimitTimeConstant = 800 * time.Millisecond
	limitBurst           = 1.2
	// sendMargin and slowSendMargin are subtracted from the allowed number of recent sends: each send
	// raises that number by a whole one, and its mean should meet the limit. sendMargin applies at
	// minLimitTimeConstant. There lost draws delay the sends noticeably, with a long time constant they
	// don't.
	sendMargin     = 0.3
	slowSendMargin = 0.43
	// redrawInterval is the time after which a gateway that lost a draw draws again: by then
	// it has received reports of what the others sent.
	redrawInterval = 100 * time.Millisecond
	// limitLearnTime is how long after the start of a gateway all limits count as used up: two gossip
	// intervals, after which it has received what the others sent.
	limitLearnTime = 200 * time.Millisecond
	// minLimitRate is the lowest rate, in requests per second, at which a limited server is
	// sent requests: without any response its limit would never be lifted.
	minLimitRate = 0.1
)

// LimitEvidence is what a server's response says about its limit.
type LimitEvidence struct {
	// Rate is in requests per second. Lifted says that there is no limit any more.
	Rate   float64
	Lifted bool
	// At is when the limit was last stated. For a lifted limit, it is when the request was
	// sent whose response lifted it. Zero means no evidence.
	At time.Time
}

// LimitReport is what a gateway reports to other gateways about a server that has stated a
// limit.
type LimitReport struct {
	// Instance identifies the server instance.
	Instance Key
	LimitEvidence
	// Sent is how many requests the gateway sent to the server recently, with exponential
	// decay.
	Sent float64
}

// Allowance is the part of a server's limit that a gateway may still use.
type Allowance struct {
	// Remaining is how many requests the gateway may send at once, given what all gateways
	// sent recently; it may send none if Remaining isn't above 0. Burst is how many it may
	// send after an idle period.
	Remaining float64
	Burst     float64
	// AvailableIn is the time until Remaining is above 0 if no gateway sends meanwhile; 0 if
	// Remaining is above 0 already.
	AvailableIn time.Duration
}

// serverLimit is the state of one server's limit.
type serverLimit struct {
	// LimitEvidence is the latest of all gateways, and own this gateway's latest. Only own is
	// reported to others, since evidence seems newer each time that it is relayed.
	LimitEvidence
	own LimitEvidence
	// sent is how many requests this gateway sent recently, decayed to sentAt.
	sent   float64
	sentAt time.Time
	// liveShare is the share of all gateways that were live at the last call of Allowance.
	liveShare float64
	// drawLost is when this gateway last lost a draw for the server.
	drawLost time.Time
}

// allowance returns what is left of the limit; others is how many requests other gateways
// sent recently, and age the time since this gateway started.
func (s *serverLimit) allowance(age time.Duration, others float64) Allowance {
	timeConstant := s.timeConstant()
	burst := s.sendRate() * timeConstant.Seconds() * s.liveShare
	// Reports of other gateways are half a gossip interval old on average.
	sent := s.sent + others*math.Exp(-float64(redrawInterval/2)/float64(timeConstant))
	budget := burst - margin(timeConstant)
	// What was sent before this gateway started isn't known: it is taken to be the whole budget.
	sent += budget * math.Exp(-float64(age-limitLearnTime)/float64(timeConstant))
	allowance := Allowance{Remaining: budget - sent, Burst: burst}
	if allowance.Remaining <= 0 && budget > 0 {
		allowance.AvailableIn = time.Duration(float64(timeConstant) * math.Log(sent/budget))
	}
	return allowance
}

// margin returns what to subtract from the allowed number of recent sends.
func margin(timeConstant time.Duration) float64 {
	return slowSendMargin - (slowSendMargin-sendMargin)*float64(minLimitTimeConstant)/float64(timeConstant)
}

// sendRate returns the rate, in requests per second, that all gateways together may send to
// the server.
func (s *serverLimit) sendRate() float64 { return max(s.Rate, minLimitRate) }

// sendsPerRedraw returns how many requests all gateways together may send to the server in a
// redrawInterval. It is at least a half, so that low limits are used while few requests of a
// burst are admitted.
func (s *serverLimit) sendsPerRedraw() float64 {
	return max(s.sendRate()*redrawInterval.Seconds(), 0.5)
}

// timeConstant returns the time constant for averaging sends. It is about the same for all
// gateways that receive from each other.
func (s *serverLimit) timeConstant() time.Duration {
	return max(minLimitTimeConstant, time.Duration(limitBurst/(s.sendRate()*s.liveShare)*float64(time.Second)))
}

// decay reduces the weight of earlier sends.
func (s *serverLimit) decay(now time.Time) {
	if !s.sentAt.IsZero() {
		s.sent *= math.Exp(-float64(now.Sub(s.sentAt)) / float64(s.timeConstant()))
	}
	s.sentAt = now
}
