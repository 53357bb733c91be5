package policy

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// maxRest bounds how long a server that asked for rest gets no requests. A server that asked for
	// more is asked again then, so that a wrong value doesn't take it out of use for good.
	maxRest = 10 * time.Minute
	// restSpread is the largest share by which a rest is extended at random, up to maxRestSpread.
	// Servers ask many gateways at the same moment, and would get all their requests at once again.
	restSpread    = 0.2
	maxRestSpread = time.Second
	// firstResponseTimeout is how long after a rest the response to the first request is awaited before
	// another one is sent: about the time of a slow first token.
	firstResponseTimeout = time.Second
	// restRecordTTL is how long the record of a rest is kept after its end.
	restRecordTTL = time.Minute
)

// ServerRests tracks the server instances that turned a request of this gateway away and asked for
// a time without any.
//
// A server that is overloaded rejects requests within milliseconds, so it looks idle and would get
// more than its share. A rest is not a failure: the server isn't ejected, and others may send to
// it. After the rest a single request is sent to it, and further ones once it has responded.
//
// A later request for rest never shortens an earlier one, and other responses don't end it: they
// may have been made earlier. Not safe for concurrent use.
type ServerRests struct {
	random    *rand.Rand
	servers   map[Key]*serverRest
	lastSweep time.Time
}

// serverRest is the rest of one server instance.
type serverRest struct {
	until time.Time
	// trialSent is when the first request after the rest was sent; zero before.
	trialSent time.Time
}

// NewServerRests returns ServerRests without any. Passing the random source makes runs
// reproducible.
func NewServerRests(random *rand.Rand) *ServerRests {
	return &ServerRests{random: random, servers: map[Key]*serverRest{}}
}

// Begin records that a server instance asked for rest.
func (r *ServerRests) Begin(now time.Time, instance Key, rest time.Duration) {
	r.sweep(now)
	rest = min(rest, maxRest)
	spread := min(time.Duration(restSpread*float64(rest)), maxRestSpread)
	until := now.Add(rest + time.Duration(r.random.Float64()*float64(spread)))
	s := r.servers[instance]
	if s == nil {
		s = &serverRest{}
		r.servers[instance] = s
	}
	if until.After(s.until) {
		s.until, s.trialSent = until, time.Time{}
	}
}

// Left returns how long no request may be sent to a server instance; 0 if it doesn't rest. While
// the first request after a rest awaits its response, that is until firstResponseTimeout at the latest.
func (r *ServerRests) Left(now time.Time, instance Key) time.Duration {
	s := r.servers[instance]
	if s == nil {
		return 0
	}
	if !s.trialSent.IsZero() {
		return max(s.trialSent.Add(firstResponseTimeout).Sub(now), 0)
	}
	return max(s.until.Sub(now), 0)
}

// CountSent records that a request is being sent to a server instance that doesn't rest.
func (r *ServerRests) CountSent(now time.Time, instance Key) {
	if s := r.servers[instance]; s != nil {
		s.trialSent = now
	}
}

// ObserveResponse records a response that asked for no rest, to a request sent at a given time.
func (r *ServerRests) ObserveResponse(sent time.Time, instance Key) {
	if s := r.servers[instance]; s != nil && !sent.Before(s.until) {
		delete(r.servers, instance)
	}
}

// Empty reports whether no server has asked for rest.
func (r *ServerRests) Empty() bool { return len(r.servers) == 0 }

// Resting returns the number of server instances that rest.
func (r *ServerRests) Resting(now time.Time) int {
	n := 0
	for _, s := range r.servers {
		if now.Before(s.until) {
			n++
		}
	}
	return n
}

// sweep removes the records of instances that got no request after their rest.
func (r *ServerRests) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < restRecordTTL {
		return
	}
	r.lastSweep = now
	maps.DeleteFunc(r.servers, func(_ Key, s *serverRest) bool { return now.Sub(s.until) > restRecordTTL })
}

// soonestRestEnd returns the time until the first of the fitting servers that rest takes requests
// again. It returns false if none rests, or if another one takes requests now.
func soonestRestEnd(servers []Server, fits func(*Server) bool) (soonest time.Duration, found bool) {
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Draining || !fits(s):
		case s.RestLeft == 0 && !s.OverLimit:
			return 0, false
		case s.RestLeft > 0 && (!found || s.RestLeft < soonest):
			soonest, found = s.RestLeft, true
		}
	}
	return soonest, found
}
