package policy

import (
	"maps"
	"time"
)

const (
	// limitKept is for how long a limit is believed that no answer has named again: a
	// server that nobody asks can't lift it.
	limitKept = 10 * time.Minute
	// liftToldFor is for how long others are told that a limit was lifted.
	liftToldFor = 5 * time.Second
)

// ServerLimits are the limits that servers have named: how many requests a second they
// take from all senders together. Servers are told apart by their starts.
//
// It answers a server in need, which takes part of what it usually does for as long as it
// says so. Each sender alone knows its own sends only: dozens of them would send dozens of
// times the limit, and an equal part of it for each would starve those that have most of
// the load. So each tells what it sent lately, and sends as long as all have sent less
// than the limit. What others may have sent since they told is left to chance, see Draw.
// Those that aren't live may send their equal part, which is kept for them.
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

// NewServerLimits returns ServerLimits that know of none.
func NewServerLimits() *ServerLimits { return &ServerLimits{servers: map[Key]*serverLimit{}} }

// Named notes that a server has named a limit in an answer; it reports whether that is
// another one than before.
func (l *ServerLimits) Named(now time.Time, server Key, rate float64) bool {
	l.sweep(now)
	s := l.server(server)
	changed := s.Lifted || s.Rate != rate
	s.own = Evidence{Rate: rate, At: now}
	s.Evidence = s.own
	return changed
}

// Unnamed notes that a server has named none in its answer to a request that was sent at
// a moment; it reports whether that lifts one.
func (l *ServerLimits) Unnamed(sent time.Time, server Key) bool {
	s := l.servers[server]
	if s == nil || s.Lifted || !sent.After(s.At) {
		return false
	}
	s.own = Evidence{Lifted: true, At: sent}
	s.Evidence = s.own
	s.sent = 0
	return true
}

// Sent counts a request that is sent to a server.
func (l *ServerLimits) Sent(now time.Time, server Key) {
	if s := l.servers[server]; s != nil && !s.Lifted {
		s.fade(now)
		s.sent++
	}
}

// Merge merges another sender's updates: the latest evidence counts.
func (l *ServerLimits) Merge(updates []ServerLimit) {
	for _, t := range updates {
		if t.At.IsZero() {
			continue
		}
		if s := l.server(t.Server); t.At.After(s.At) {
			s.Evidence = t.Evidence
		}
	}
}

// News is what others are to be told now.
func (l *ServerLimits) News(now time.Time) []ServerLimit {
	l.sweep(now)
	var news []ServerLimit
	for key, s := range l.servers {
		if s.Lifted && now.Sub(s.At) > liftToldFor || s.own.At.IsZero() && s.sent == 0 {
			continue
		}
		s.fade(now)
		news = append(news, ServerLimit{Server: key, Evidence: s.own, Sent: s.sent})
	}
	return news
}

// Allowance is what a server's limit leaves, where others have sent so many requests
// lately; false if it has none. LiveShare is the part of all senders that is live, this
// one included.
func (l *ServerLimits) Allowance(now time.Time, server Key, others, liveShare float64) (Allowance, bool) {
	s := l.servers[server]
	if s == nil || s.Lifted {
		return Allowance{}, false
	}
	s.fade(now)
	s.liveShare = liveShare
	return s.allowance(others), true
}

// Empty reports whether no server has a limit, or had one lately.
func (l *ServerLimits) Empty() bool { return len(l.servers) == 0 }

// Limited counts the servers that have a limit.
func (l *ServerLimits) Limited() int {
	n := 0
	for _, s := range l.servers {
		if !s.Lifted {
			n++
		}
	}
	return n
}

// server returns what is known of a server, from now on at least.
func (l *ServerLimits) server(key Key) *serverLimit {
	s := l.servers[key]
	if s == nil {
		s = &serverLimit{Evidence: Evidence{Lifted: true}, liveShare: 1}
		l.servers[key] = s
	}
	return s
}

func (l *ServerLimits) sweep(now time.Time) {
	if now.Sub(l.swept) < time.Minute {
		return
	}
	l.swept = now
	maps.DeleteFunc(l.servers, func(_ Key, s *serverLimit) bool { return now.Sub(s.At) > limitKept })
}
