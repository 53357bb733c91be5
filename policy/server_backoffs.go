package policy

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// maxBackoff bounds how long a server gets no requests. One that asked for a longer time gets a
	// request then, so that a wrong value doesn't take it out of use for good.
	maxBackoff = 10 * time.Minute
	// backoffSpread is the largest share by which a backoff is extended at random, up to maxBackoffSpread.
	// Servers ask many gateways at the same moment, and would get all their requests at once again.
	backoffSpread    = 0.2
	maxBackoffSpread = time.Second
	// firstResponseTimeout is how long after a backoff the response to the first request is awaited before
	// another one is sent: about the time of a slow first token.
	firstResponseTimeout = time.Second
	// backoffRecordTTL is how long the record of a backoff is kept after its end.
	backoffRecordTTL = time.Minute
)

// ServerBackoffs tracks the server instances that rejected a request of this gateway and asked for a
// time without any.
//
// A server that is overloaded rejects requests within milliseconds, so it looks idle and would get
// more than its share. A backoff is not a failure: the server isn't ejected, and others may send to
// it. After the backoff a single request is sent to it, and further ones once it has responded.
//
// A later, shorter backoff never shortens an earlier one, and other responses don't end it: they
// may have been made earlier. Not safe for concurrent use.
type ServerBackoffs struct {
	random    *rand.Rand
	servers   map[Key]*serverBackoff
	lastSweep time.Time
}

// serverBackoff is the backoff of one server instance.
type serverBackoff struct {
	until time.Time
	// trialSent is when the first request after the backoff was sent; zero before.
	trialSent time.Time
}

// NewServerBackoffs returns ServerBackoffs without any. Passing the random source makes runs
// reproducible.
func NewServerBackoffs(random *rand.Rand) *ServerBackoffs {
	return &ServerBackoffs{random: random, servers: map[Key]*serverBackoff{}}
}

// Begin records that a server instance wants no requests for a time.
func (r *ServerBackoffs) Begin(now time.Time, instance Key, backoff time.Duration) {
	r.sweep(now)
	backoff = min(backoff, maxBackoff)
	spread := min(time.Duration(backoffSpread*float64(backoff)), maxBackoffSpread)
	until := now.Add(backoff + time.Duration(r.random.Float64()*float64(spread)))
	s := r.servers[instance]
	if s == nil {
		s = &serverBackoff{}
		r.servers[instance] = s
	}
	if until.After(s.until) {
		s.until, s.trialSent = until, time.Time{}
	}
}

// Left returns how long no request may be sent to a server instance; 0 if it isn't backed off. It
// counts as backed off while the first request after the backoff awaits its response, for at most
// firstResponseTimeout.
func (r *ServerBackoffs) Left(now time.Time, instance Key) time.Duration {
	s := r.servers[instance]
	if s == nil {
		return 0
	}
	if !s.trialSent.IsZero() {
		return max(s.trialSent.Add(firstResponseTimeout).Sub(now), 0)
	}
	return max(s.until.Sub(now), 0)
}

// CountSent records that a request is being sent to a server instance that isn't backed off.
func (r *ServerBackoffs) CountSent(now time.Time, instance Key) {
	if s := r.servers[instance]; s != nil {
		s.trialSent = now
	}
}

// ObserveResponse records a response without a backoff to a request sent at a given time.
func (r *ServerBackoffs) ObserveResponse(sent time.Time, instance Key) {
	if s := r.servers[instance]; s != nil && !sent.Before(s.until) {
		delete(r.servers, instance)
	}
}

// Active returns the number of server instances that are backed off.
func (r *ServerBackoffs) Active(now time.Time) int {
	n := 0
	for _, s := range r.servers {
		if now.Before(s.until) {
			n++
		}
	}
	return n
}

// sweep removes the records of instances that got no request after their backoff.
func (r *ServerBackoffs) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < backoffRecordTTL {
		return
	}
	r.lastSweep = now
	maps.DeleteFunc(r.servers, func(_ Key, s *serverBackoff) bool { return now.Sub(s.until) > backoffRecordTTL })
}

// soonestBackoffEnd returns the time until the first of the fitting servers that are backed off takes
// requests again. It returns false if none is, or if another one takes requests now.
func soonestBackoffEnd(servers []Server, fits func(*Server) bool) (soonest time.Duration, found bool) {
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Draining || !fits(s):
		case s.BackoffLeft == 0 && !s.OverLimit:
			return 0, false
		case s.BackoffLeft > 0 && (!found || s.BackoffLeft < soonest):
			soonest, found = s.BackoffLeft, true
		}
	}
	return soonest, found
}
