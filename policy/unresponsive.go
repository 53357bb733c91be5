package policy

import (
	"maps"
	"time"
)

const (
	// unresponsiveThreshold is how many requests in a row a server leaves without an answer,
	// whoever sent them, before it is left out: more than come together where a
	// server loses two answers in five.
	unresponsiveThreshold = 5
	// exclusionTime is for how long it is left out then: about as long as a crashed
	// server takes to start again, or its entry to lapse.
	exclusionTime = time.Second
	// missRecordTTL is after how long without another request misses are
	// forgotten, and how often such are looked for.
	missRecordTTL = time.Minute
)

// Unresponsive are the servers that answer nobody, by what all senders tell of
// requests that got no answer at all and of those that did.
//
// It answers a crash of many servers at once. Each sender finds out by requests that
// it loses, a few at each server: with dozens of senders thousands are lost. What
// all have seen leaves a server out after a handful. A sender that is cut off itself
// doesn't leave out servers that answer the others.
//
// Servers that answer have no entry. Not safe for concurrent use.
type Unresponsive struct {
	servers map[Key]*missRecord
	lastSweep   time.Time
}

// missRecord are the requests that a server left without an answer.
type missRecord struct {
	// consecutive counts them since it answered last.
	consecutive int
	excludedUntil time.Time
	// lastMiss is when the lastMiss of them was told.
	lastMiss time.Time
}

// NewUnresponsive returns Unresponsive that know of none.
func NewUnresponsive() *Unresponsive { return &Unresponsive{servers: map[Key]*missRecord{}} }

// Unanswered notes a request that got no answer.
func (s *Unresponsive) Unanswered(now time.Time, server Key) {
	s.sweep(now)
	at := s.servers[server]
	if at == nil {
		at = &missRecord{}
		s.servers[server] = at
	}
	at.lastMiss = now
	if now.Before(at.excludedUntil) {
		// It was sent before the server was left out.
		return
	}
	at.consecutive++
	if at.consecutive >= unresponsiveThreshold {
		at.excludedUntil = now.Add(exclusionTime)
	}
}

// sweep drops servers that nothing is sent to any more.
func (s *Unresponsive) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < missRecordTTL {
		return
	}
	s.lastSweep = now
	maps.DeleteFunc(s.servers, func(_ Key, at *missRecord) bool { return now.Sub(at.lastMiss) > missRecordTTL })
}

// Answered notes that a server has answered a request.
func (s *Unresponsive) Answered(server Key) { delete(s.servers, server) }

// LeftOut reports whether a server is to be left out now. After that one more request
// without an answer leaves it out again.
func (s *Unresponsive) LeftOut(now time.Time, server Key) bool {
	at := s.servers[server]
	return at != nil && now.Before(at.excludedUntil)
}

// Forget drops what is known of a server.
func (s *Unresponsive) Forget(server Key) { delete(s.servers, server) }
