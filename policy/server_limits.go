package policy

import (
	"maps"
	"time"
)

// limitKept is for how long a limit is believed that no answer has named again: a server
// that nobody asks can't lift it.
const limitKept = 10 * time.Minute

// ServerLimits are the limits that servers have named: how many requests a second they
// take from all senders together.
//
// A server names its limit in its answers, and lifts it by an answer without one. An
// answer to a request that was sent before the limit was named says nothing of it: it may
// have been made before.
//
// Not safe for concurrent use.
type ServerLimits struct {
	servers map[Key]*serverLimit
	swept   time.Time
}

// serverLimit is what is known of one server's limit.
type serverLimit struct {
	// rate is in requests a second; lifted says that there is none any more.
	rate   float64
	lifted bool
	// at is when it was last named, or, for one that was lifted, when the request was
	// sent whose answer lifted it.
	at time.Time
}

// NewServerLimits returns ServerLimits that know of none.
func NewServerLimits() *ServerLimits { return &ServerLimits{servers: map[Key]*serverLimit{}} }

// Named notes that a server has named a limit in an answer; it reports whether that is
// another one than before.
func (l *ServerLimits) Named(now time.Time, server Key, rate float64) bool {
	l.sweep(now)
	s := l.servers[server]
	if s == nil {
		s = &serverLimit{lifted: true}
		l.servers[server] = s
	}
	changed := s.lifted || s.rate != rate
	s.rate, s.lifted, s.at = rate, false, now
	return changed
}

// Unnamed notes that a server has named none in its answer to a request that was sent at
// a moment; it reports whether that lifts one.
func (l *ServerLimits) Unnamed(sent time.Time, server Key) bool {
	s := l.servers[server]
	if s == nil || s.lifted || !sent.After(s.at) {
		return false
	}
	s.lifted, s.at = true, sent
	return true
}

// Limit is a server's limit in requests a second; false if it has none.
func (l *ServerLimits) Limit(server Key) (float64, bool) {
	if s := l.servers[server]; s != nil && !s.lifted {
		return s.rate, true
	}
	return 0, false
}

// Limited counts the servers that have a limit.
func (l *ServerLimits) Limited() int {
	n := 0
	for _, s := range l.servers {
		if !s.lifted {
			n++
		}
	}
	return n
}

func (l *ServerLimits) sweep(now time.Time) {
	if now.Sub(l.swept) < time.Minute {
		return
	}
	l.swept = now
	maps.DeleteFunc(l.servers, func(_ Key, s *serverLimit) bool { return now.Sub(s.at) > limitKept })
}
