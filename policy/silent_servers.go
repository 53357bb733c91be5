package policy

import (
	"maps"
	"time"
)

const (
	// silentAfter is how many requests in a row a server leaves without an answer,
	// whoever sent them, before it is left out: more than come together where a
	// server loses two answers in five.
	silentAfter = 5
	// silentFor is for how long it is left out then: about as long as a crashed
	// server takes to start again, or its entry to lapse.
	silentFor = time.Second
	// silenceForgotten is after how long without another request a silence is
	// forgotten, and how often such are looked for.
	silenceForgotten = time.Minute
)

// SilentServers are the servers that answer nobody, by what all senders tell of
// requests that got no answer at all and of those that did.
//
// It answers a crash of many servers at once. Each sender finds out by requests that
// it loses, a few at each server: with dozens of senders thousands are lost. What
// all have seen leaves a server out after a handful. A sender that is cut off itself
// doesn't leave out servers that answer the others.
//
// Servers that answer have no entry. Not safe for concurrent use.
type SilentServers struct {
	servers map[Key]*silence
	swept   time.Time
}

// silence is of a server that left requests without an answer.
type silence struct {
	// inRow counts them since it answered last.
	inRow int
	until time.Time
	// last is when the last of them was told.
	last time.Time
}

// NewSilentServers returns SilentServers that know of none.
func NewSilentServers() *SilentServers { return &SilentServers{servers: map[Key]*silence{}} }

// Unanswered notes a request that got no answer.
func (s *SilentServers) Unanswered(now time.Time, server Key) {
	s.sweep(now)
	at := s.servers[server]
	if at == nil {
		at = &silence{}
		s.servers[server] = at
	}
	at.last = now
	if now.Before(at.until) {
		// It was sent before the server was left out.
		return
	}
	at.inRow++
	if at.inRow >= silentAfter {
		at.until = now.Add(silentFor)
	}
}

// sweep drops servers that nothing is sent to any more.
func (s *SilentServers) sweep(now time.Time) {
	if now.Sub(s.swept) < silenceForgotten {
		return
	}
	s.swept = now
	maps.DeleteFunc(s.servers, func(_ Key, at *silence) bool { return now.Sub(at.last) > silenceForgotten })
}

// Answered notes that a server has answered a request.
func (s *SilentServers) Answered(server Key) { delete(s.servers, server) }

// Silent reports whether a server is to be left out now. After that one more request
// without an answer leaves it out again.
func (s *SilentServers) Silent(now time.Time, server Key) bool {
	at := s.servers[server]
	return at != nil && now.Before(at.until)
}

// Forget drops what is known of a server.
func (s *SilentServers) Forget(server Key) { delete(s.servers, server) }
