package policy

import (
	"math"
	"time"
)

const (
	// limitMemory is over how long sends to a server are averaged at least: some telling
	// intervals. Over that time at least limitBurst requests are allowed, so that low
	// limits are met by single requests far apart.
	limitMemory = 800 * time.Millisecond
	limitBurst  = 1.2
	// sendSpread is by how much less than that may have been sent when one more is: each
	// send raises the sum by one, which is to be right at the mean.
	sendSpread = 0.3
	// drawAgain is when a sender that drew and lost draws again: by then it has received
	// what others have sent.
	drawAgain = 100 * time.Millisecond
	// leastLimit is the least that a server is sent, in requests a second: without any
	// answer its limit would never be lifted.
	leastLimit = 0.1
)

// Evidence is what a server's answer told of its limit.
type Evidence struct {
	// Rate is in requests a second; Lifted says that there is no limit any more.
	Rate   float64
	Lifted bool
	// At is when the limit was last named, or, where it was lifted, when the request was
	// sent whose answer lifted it; zero for no evidence.
	At time.Time
}

// ServerLimit is what a sender tells of a server that has named a limit.
type ServerLimit struct {
	// Server is the server's start.
	Server Key
	Evidence
	// Sent is how many requests the sender has sent to the server lately.
	Sent float64
}

// Allowance is what a server's limit leaves to a sender.
type Allowance struct {
	// Left is how many requests the sender may send at once, by what all have sent
	// lately; none if it isn't above 0. Size is how many may be sent after a rest.
	Left float64
	Size float64
	// FreeIn is after what time Left is above 0 if nobody sends meanwhile.
	FreeIn time.Duration
}

// serverLimit is what is known of one server's limit.
type serverLimit struct {
	// Evidence is the latest of all senders, and own this one's. Only that is told: what
	// passes through several hands seems younger each time.
	Evidence
	own Evidence
	// sent is how many requests this sender has sent lately, as of counted.
	sent    float64
	counted time.Time
	// liveShare is the part of all senders that were live last.
	liveShare float64
	// lost is when this sender last drew for the server and lost.
	lost time.Time
}

// allowance is what is left where others have sent so many requests lately.
func (s *serverLimit) allowance(others float64) Allowance {
	memory := s.memory()
	size := s.allowed() * memory.Seconds() * s.liveShare
	// What others told is half a telling interval old at the mean.
	sent := s.sent + others*math.Exp(-float64(drawAgain/2)/float64(memory))
	full := size - sendSpread
	a := Allowance{Left: full - sent, Size: size}
	if a.Left <= 0 && full > 0 {
		a.FreeIn = time.Duration(float64(memory) * math.Log(sent/full))
	}
	return a
}

// allowed is how many requests a second the server is sent.
func (s *serverLimit) allowed() float64 { return max(s.Rate, leastLimit) }

// meanwhile is how many requests it is sent until a sender draws again; half of one at
// least, so that low limits are used, and a burst finds few that are let through.
func (s *serverLimit) meanwhile() float64 { return max(s.allowed()*drawAgain.Seconds(), 0.5) }

// memory is over how long what was sent is averaged. All senders that hear of each other
// have about the same.
func (s *serverLimit) memory() time.Duration {
	return max(limitMemory, time.Duration(limitBurst/(s.allowed()*s.liveShare)*float64(time.Second)))
}

func (s *serverLimit) fade(now time.Time) {
	if !s.counted.IsZero() {
		s.sent *= math.Exp(-float64(now.Sub(s.counted)) / float64(s.memory()))
	}
	s.counted = now
}
