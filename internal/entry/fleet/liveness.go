package fleet

import "time"

const (
	// minPingInterval is how long a connection with pending work may be silent
	// before the agent is pinged. It applies all the time while urgent work is
	// pending, so that a silent connection is detected within minPingInterval +
	// pongTimeout, 1.3 s.
	minPingInterval = 300 * time.Millisecond
	// maxPingInterval bounds the ping interval while the same less urgent
	// tickets wait and the agent answers. The interval doubles with each
	// answer, so it stays close to the time that the tickets have waited
	// already. While only such tickets are pending, a silent connection is
	// detected within maxPingInterval + pongTimeout, 10.6 s; within 1.3 s if it
	// was already silent when the last ticket was placed. At the target size,
	// an entry with all of its 288 connections busy sends and receives 1.8 KB/s
	// of pings, compared with 58 KB/s at minPingInterval.
	maxPingInterval = 32 * minPingInterval
	// pongTimeout is how long after the first unanswered ping a connection
	// counts as dead. It covers three pings, so that one delayed answer on a
	// busy machine does not close the connection.
	pongTimeout = time.Second
	// unansweredPingDelay is how long the agent may be silent after a message
	// to it before it is pinged, even if no work is pending. Usually the agent
	// sends something sooner and needs no ping.
	unansweredPingDelay = time.Second
)

// watchLevel is how closely a connection is monitored.
type watchLevel int

const (
	// watchIdle: no work is pending.
	watchIdle watchLevel = iota
	// watchWaiting: only tickets of less urgent tiers are pending.
	watchWaiting
	// watchUrgent: a ticket of an urgent tier or the answer to a Void is
	// pending.
	watchUrgent
)

// liveness detects connections on which the agent has become silent. The agent is
// pinged only while work is pending, or after a message to it until it sends
// something again; an idle connection has no traffic. Without the second case, a
// silent connection whose tickets were all granted by other agents would stay
// undetected, and announcements of targets would be lost on it indefinitely. The
// link's lock guards liveness.
type liveness struct {
	// silentSince is the time of the last received message or of the last
	// placed ticket, whichever is later. The agent has minPingInterval to
	// answer a ticket.
	silentSince time.Time
	// unansweredSince is the time of the first message sent since the last
	// received one; pingedAt is the time of the first ping. Both are zero if
	// there is none.
	unansweredSince time.Time
	pingedAt        time.Time
	// pingInterval is the silence after which the agent is pinged while no
	// urgent work is pending; zero means minPingInterval.
	pingInterval time.Duration
}

// messageSent records a sent message other than a ping or a ticket.
func (l *liveness) messageSent(now time.Time) {
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
}

// ticketPlaced records a sent ticket and resets the ping interval.
func (l *liveness) ticketPlaced(now time.Time) {
	l.messageSent(now)
	l.silentSince = now
	l.pingInterval = minPingInterval
}

// messageReceived records a received message. If it follows a ping, the ping
// interval doubles.
func (l *liveness) messageReceived(now time.Time) {
	if !l.pingedAt.IsZero() {
		l.pingInterval = min(2*max(l.pingInterval, minPingInterval), maxPingInterval)
	}
	l.silentSince = now
	l.unansweredSince = time.Time{}
	l.pingedAt = time.Time{}
}

// check reports whether to ping the agent now, and whether the connection counts
// as dead because a ping was not answered for pongTimeout.
func (l *liveness) check(now time.Time, level watchLevel) (sendPing, dead bool) {
	if !l.pingedAt.IsZero() {
		return true, now.Sub(l.pingedAt) >= pongTimeout
	}
	due, ok := l.pingDue(level)
	if !ok || now.Before(due) {
		return false, false
	}
	l.pingedAt = now
	return true, false
}

// nextCheck returns the time until the next check: minPingInterval, or less if
// a ping or the pong timeout is due sooner.
func (l *liveness) nextCheck(now time.Time, level watchLevel) time.Duration {
	due, ok := l.pingDue(level)
	if !l.pingedAt.IsZero() {
		due, ok = l.pingedAt.Add(pongTimeout), true
	}
	if !ok {
		return minPingInterval
	}
	return min(max(due.Sub(now), time.Millisecond), minPingInterval)
}

// pingDue returns the time of the next ping; false if none is needed.
func (l *liveness) pingDue(level watchLevel) (time.Time, bool) {
	var due time.Time
	switch level {
	case watchUrgent:
		due = l.silentSince.Add(minPingInterval)
	case watchWaiting:
		due = l.silentSince.Add(max(l.pingInterval, minPingInterval))
	}
	if l.unansweredSince.IsZero() {
		return due, level != watchIdle
	}
	unanswered := l.unansweredSince.Add(unansweredPingDelay)
	if level == watchIdle || unanswered.Before(due) {
		due = unanswered
	}
	return due, true
}
