package policy

import (
	"maps"
	"time"
)

const (
	// unresponsiveThreshold is the number of consecutive unanswered requests, from all
	// gateways together, after which a server is excluded: more than occur in a row at a
	// server that loses two responses in five.
	unresponsiveThreshold = 5
	// exclusionTime is how long it is then excluded: about the time in which a crashed
	// server restarts or its registration expires.
	exclusionTime = time.Second
	// unansweredRecordTTL is the time without another unanswered request after which a record
	// is removed, and the interval between removals.
	unansweredRecordTTL = time.Minute
)

// UnresponsiveServers tracks servers that answer no gateway, from the answered and
// unanswered requests that all gateways report.
//
// It limits the losses when many servers crash at once. If each gateway detected the
// crashes on its own, by losing a few requests at each server, dozens of gateways would
// lose thousands of requests. With shared reports a server is excluded after a handful. A
// gateway that is itself cut off doesn't exclude servers that answer the others.
//
// Servers that answer have no entry. Not safe for concurrent use.
type UnresponsiveServers struct {
	servers   map[Key]*unansweredRecord
	lastSweep time.Time
}

// unansweredRecord describes the requests that a server has left unanswered.
type unansweredRecord struct {
	// consecutive is the number of them since the server's last response.
	consecutive   int
	excludedUntil time.Time
	// lastUnanswered is when the newest of them was reported.
	lastUnanswered time.Time
}

// NewUnresponsiveServers returns an empty tracker.
func NewUnresponsiveServers() *UnresponsiveServers {
	return &UnresponsiveServers{servers: map[Key]*unansweredRecord{}}
}

// RecordNoResponse records a request that got no response.
func (u *UnresponsiveServers) RecordNoResponse(now time.Time, server Key) {
	u.sweep(now)
	record := u.servers[server]
	if record == nil {
		record = &unansweredRecord{}
		u.servers[server] = record
	}
	record.lastUnanswered = now
	if now.Before(record.excludedUntil) {
		// It was sent before the server was excluded.
		return
	}
	record.consecutive++
	if record.consecutive >= unresponsiveThreshold {
		record.excludedUntil = now.Add(exclusionTime)
	}
}

// sweep removes servers to which no requests are sent any more.
func (u *UnresponsiveServers) sweep(now time.Time) {
	if now.Sub(u.lastSweep) < unansweredRecordTTL {
		return
	}
	u.lastSweep = now
	maps.DeleteFunc(u.servers, func(_ Key, record *unansweredRecord) bool {
		return now.Sub(record.lastUnanswered) > unansweredRecordTTL
	})
}

// RecordResponse records that a server has responded to a request.
func (u *UnresponsiveServers) RecordResponse(server Key) { delete(u.servers, server) }

// Excluded reports whether a server is excluded now. Once the exclusion has ended, a single
// unanswered request excludes the server again.
func (u *UnresponsiveServers) Excluded(now time.Time, server Key) bool {
	record := u.servers[server]
	return record != nil && now.Before(record.excludedUntil)
}

// RemoveServer removes a server's record.
func (u *UnresponsiveServers) RemoveServer(server Key) { delete(u.servers, server) }
