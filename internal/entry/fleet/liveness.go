package fleet

import "time"

const (
	// pingEvery is how often a connection with work outstanding is asked for
	// a sign of life.
	pingEvery = 300 * time.Millisecond
	// pongBound is when a connection that gives none counts as dead: three
	// pings, so that one delayed answer on a busy machine isn't taken for it.
	pongBound = time.Second
	// idleAsk is how long a message may stay without any sign of life before
	// the agent is asked for one, when no work is outstanding. Most messages
	// are answered or followed by others sooner and cost no ping.
	idleAsk = time.Second
)

// liveness tells when a connection has gone silent. A connection that nothing
// is sent on costs nothing: it is looked at while work is outstanding, and
// after a message that no sign of life has followed. The latter finds a silent
// connection whose tickets are all granted elsewhere, which would otherwise
// swallow news of targets for good. The link's lock guards it.
type liveness struct {
	// sent is the first message since the last sign of life, asked the first
	// ping; zero when there is none.
	sent  time.Time
	asked time.Time
}

// noteSent notes a message that is no ping.
func (v *liveness) noteSent(now time.Time) {
	if v.sent.IsZero() {
		v.sent = now
	}
}

// noteSeen notes a sign of life.
func (v *liveness) noteSeen() { *v = liveness{} }

// check reports whether the agent is to be asked for a sign of life now, or
// has left one out for too long.
func (v *liveness) check(now time.Time, busy bool) (ask, dead bool) {
	if !v.asked.IsZero() {
		return true, now.Sub(v.asked) > pongBound
	}
	unanswered := !v.sent.IsZero() && now.Sub(v.sent) >= idleAsk
	if !busy && !unanswered {
		return false, false
	}
	v.asked = now
	return true, false
}
