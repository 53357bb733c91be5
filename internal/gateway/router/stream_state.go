package router

import (
	"time"

	"github.com/go-faster/errors"
)

// streamState tracks what the caller has received of a stream.
type streamState struct {
	// headerSent is set once the status and headers have been sent.
	headerSent bool
	// lastID is the ID of the last event that the caller has. It is valid if hasLastID is set.
	lastID    numericID
	hasLastID bool
	// response tracks the events of the current response.
	response responseEvents
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

// responseEvents tracks the events of one response, of which a stream has several if it is continued at
// another server.
type responseEvents struct {
	// lastID is the ID of the last event. It is valid if hasLastID is set.
	lastID    numericID
	hasLastID bool
	// repeating is set while the events are some that the caller has: from the first with an ID up to the
	// resume point until the one with that very ID.
	repeating bool
}

// setResumePoint records that the caller already has the events up to the given ID. It ignores an
// ID that is not a number.
func (s *streamState) setResumePoint(after string) {
	if id, ok := parseNumericID([]byte(after)); ok {
		s.lastID, s.hasLastID = id, true
	}
}

// beginResponse records that the events that follow are those of another response.
func (s *streamState) beginResponse() { s.response = responseEvents{lastID: s.response.lastID[:0]} }

// newEvents returns those of the events that the caller does not have yet, and records them as
// received. It returns an error if the events after the returned ones can't be those that follow.
//
// IDs increase within a response, by any amount: an event may hold several tokens. A response that begins
// with events that the caller has must repeat the event with the ID at which the stream is resumed.
// Otherwise its events are divided differently, and the next one holds a part of what the caller has.
func (s *streamState) newEvents(events []byte) ([]byte, error) {
	out := events[:0:0]
	for len(events) > 0 {
		var event []byte
		event, events = nextEvent(events)
		id, hasID := eventID(event)
		switch {
		case hasID:
			isNew, err := s.addID(id)
			if err != nil {
				return out, err
			}
			if !isNew {
				continue
			}
		case isComment(event):
		case s.response.repeating:
			continue
		default:
			s.sentWithoutID = true
		}
		out = append(out, event...)
	}
	return out, nil
}

// addID records the ID of the response's next event, and reports whether the caller does not have that
// event yet. It returns errIDNotIncreasing or errResumePointSkipped.
func (s *streamState) addID(id numericID) (isNew bool, err error) {
	r := &s.response
	if r.hasLastID && id.compare(r.lastID) <= 0 {
		return false, errors.Wrapf(errIDNotIncreasing, "event %s after %s", id, r.lastID)
	}
	r.lastID, r.hasLastID = append(r.lastID[:0], id...), true
	if s.hasLastID {
		switch order := id.compare(s.lastID); {
		case order <= 0:
			r.repeating = order < 0
			return false, nil
		case r.repeating:
			return false, errors.Wrapf(errResumePointSkipped, "event %s after %s", id, s.lastID)
		}
	}
	s.lastID, s.hasLastID = append(s.lastID[:0], id...), true
	return true, nil
}

// endResponse returns errResumePointSkipped if the response ended before the event at which the stream is
// resumed, although it began with earlier ones.
func (s *streamState) endResponse() error {
	if s.response.repeating {
		return errors.Wrapf(errResumePointSkipped, "the response ends before event %s", s.lastID)
	}
	return nil
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
