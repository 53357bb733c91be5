package fleet

import "time"

const (
	// pingEvery is how long a connection with work outstanding may stay
	// without any sign of life before it is asked for one. While urgent work
	// is outstanding that holds all the time, so that a silent connection is
	// found within pingEvery + pongBound, 1.3 s.
	pingEvery = 300 * time.Millisecond
	// pingMost is to how much that time grows while the same less urgent
	// tickets wait and the agent answers: it doubles with each answer, so that
	// it stays near the time that they have waited already. A silent
	// connection with only these is found within pingMost + pongBound, 10.6 s;
	// within 1.3 s if it was silent when the last of them was placed. At the
	// target size an entry with all of its 288 connections busy sends and
	// receives 1.8 KB/s for it, against 58 KB/s at pingEvery.
	pingMost = 32 * pingEvery
	// pongBound is when a connection that gives none counts as dead: three
	// pings, so that one delayed answer on a busy machine isn't taken for it.
	pongBound = time.Second
	// idleAsk is how long a message may stay without any sign of life before
	// the agent is asked for one, when no work is outstanding. Most messages
	// are answered or followed by others sooner and cost no ping.
	idleAsk = time.Second
)

// watch is how closely a connection is looked at.
type watch int

const (
	// watchIdle: no work is outstanding.
	watchIdle watch = iota
	// watchWaiting: tickets of less urgent tiers wait.
	watchWaiting
	// watchUrgent: a ticket of an urgent tier waits, or the answer to a Void.
	watchUrgent
)

// liveness tells when a connection has gone silent. A connection that nothing
// is sent on costs nothing: it is looked at while work is outstanding, and
// after a message that no sign of life has followed. The latter finds a silent
// connection whose tickets are all granted elsewhere, which would otherwise
// swallow news of targets for good. The link's lock guards it.
type liveness struct {
	// quiet is since when nothing was heard: the last sign of life, or the
	// last ticket, whose answer is then given pingEvery to come.
	quiet time.Time
	// sent is the first message since the last sign of life, asked the first
	// ping; zero when there is none.
	sent  time.Time
	asked time.Time
	// pause is the silence after which the agent is asked, while no urgent
	// work is outstanding; zero means pingEvery.
	pause time.Duration
}

// noteSent notes a message that is neither a ping nor a ticket.
func (v *liveness) noteSent(now time.Time) {
	if v.sent.IsZero() {
		v.sent = now
	}
}

// noteTicket notes a ticket that was placed.
func (v *liveness) noteTicket(now time.Time) {
	v.noteSent(now)
	v.quiet = now
	v.pause = pingEvery
}

// noteSeen notes a sign of life.
func (v *liveness) noteSeen(now time.Time) {
	if !v.asked.IsZero() {
		v.pause = min(2*max(v.pause, pingEvery), pingMost)
	}
	v.quiet = now
	v.sent = time.Time{}
	v.asked = time.Time{}
}

// check reports whether the agent is to be asked for a sign of life now, or
// has left one out for too long.
func (v *liveness) check(now time.Time, w watch) (ask, dead bool) {
	if !v.asked.IsZero() {
		return true, now.Sub(v.asked) >= pongBound
	}
	due, ok := v.due(w)
	if !ok || now.Before(due) {
		return false, false
	}
	v.asked = now
	return true, false
}

// next is after how long to check again: pingEvery, or sooner if something
// falls due before.
func (v *liveness) next(now time.Time, w watch) time.Duration {
	due, ok := v.due(w)
	if !v.asked.IsZero() {
		due, ok = v.asked.Add(pongBound), true
	}
	if !ok {
		return pingEvery
	}
	return min(max(due.Sub(now), time.Millisecond), pingEvery)
}

// due is when the agent is to be asked; false when there is no need.
func (v *liveness) due(w watch) (time.Time, bool) {
	var due time.Time
	switch w {
	case watchUrgent:
		due = v.quiet.Add(pingEvery)
	case watchWaiting:
		due = v.quiet.Add(max(v.pause, pingEvery))
	}
	if v.sent.IsZero() {
		return due, w != watchIdle
	}
	unanswered := v.sent.Add(idleAsk)
	if w == watchIdle || unanswered.Before(due) {
		due = unanswered
	}
	return due, true
}
