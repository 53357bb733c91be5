package router

import (
	"strconv"
	"time"
)

// streamState tracks what the caller has received of a stream.
type streamState struct {
	// headerSent is set once the status and headers have been sent.
	headerSent bool
	// lastID is the ID of the last event that the caller has. It is valid if hasLastID is set.
	lastID    int64
	hasLastID bool
	// sentWithoutID is set if the caller has received events without an ID, other than comments.
	sentWithoutID bool
	// lastSentAt is when events were last forwarded, and longestPause the longest time between two
	// consecutive writes of events.
	lastSentAt time.Time
	// firstSentAt is when events were first forwarded.
	firstSentAt  time.Time
	longestPause time.Duration
	// pauseCount is the number of pauses measured.
	pauseCount int
	// writeBlocked is set if the last write to the caller took longer than maxWriteTime.
	writeBlocked bool
	// pauseCounted is set once the stream was counted as late because of a pause.
	pauseCounted bool
	// outputAt is when events other than comments were last forwarded, and intervals holds the times
	// between them.
	outputAt  time.Time
	intervals eventIntervals
	// versions lists the software version of each server whose events were forwarded, in the order
	// of their events.
	versions []string
	// lastAttempt is the number of the attempt that brought the last of them.
	lastAttempt int
}

// setResumePoint records that the caller already has the events up to the given ID. It ignores an
// ID that is not a number.
func (s *streamState) setResumePoint(after string) {
	if id, err := strconv.ParseInt(after, 10, 64); err == nil {
		s.lastID, s.hasLastID = id, true
	}
}

// newEvents returns those of the events that the caller does not have yet, and records them as
// received. It reports false if an event is missing after the returned ones.
func (s *streamState) newEvents(events []byte) ([]byte, bool) {
	out := events[:0:0]
	for len(events) > 0 {
		var event []byte
		event, events = nextEvent(events)
		id, ok := eventID(event)
		switch {
		case !ok:
			s.sentWithoutID = s.sentWithoutID || !isComment(event)
		case s.hasLastID && id <= s.lastID:
			continue
		case s.hasLastID && id != s.lastID+1:
			return out, false
		default:
			s.lastID, s.hasLastID = id, true
		}
		out = append(out, event...)
	}
	return out, true
}

// resumable reports whether the stream can continue at another server. It cannot after events
// without an ID: it is unknown which of them the caller has, and none may be sent twice.
func (s *streamState) resumable() bool { return !s.sentWithoutID }

// recordServer records the software version of the server whose events are forwarded in the attempt
// with the given number.
func (s *streamState) recordServer(attempt int, version string) {
	if s.lastAttempt != attempt {
		s.lastAttempt = attempt
		s.versions = append(s.versions, version)
	}
}

// pauseUntil returns the time since events were last forwarded; 0 before the first ones, and if the
// caller delayed them.
func (s *streamState) pauseUntil(now time.Time) time.Duration {
	if s.lastSentAt.IsZero() || s.writeBlocked {
		return 0
	}
	return now.Sub(s.lastSentAt)
}

// recordSend records that events were forwarded at the given time.
func (s *streamState) recordSend(now time.Time) {
	if s.firstSentAt.IsZero() {
		s.firstSentAt = now
	}
	if !s.lastSentAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastSentAt))
		s.pauseCount++
	}
	s.lastSentAt = now
}

// recordOutput records that events other than comments were forwarded at the given time.
func (s *streamState) recordOutput(now time.Time) {
	if !s.outputAt.IsZero() && !s.writeBlocked {
		s.intervals.add(now.Sub(s.outputAt))
	}
	s.outputAt = now
}
