package router

import (
	"strconv"
	"time"
)

// streamed is what a caller has of a stream.
type streamState struct {
	// begun says that the head has been sent.
	headerSent bool
	// last is the id of the last event that the caller has; it means something
	// only if numbered.
	lastID    int64
	hasLastID bool
	// unnumbered says that the caller has events without an id.
	sentWithoutID bool
	// sentAt is when events were passed on last, and pause the longest time
	// between two such moments.
	lastSentAt   time.Time
	longestPause time.Duration
	// pauses counts the times between two such moments.
	pauseCount int
}

// resume notes that a caller has the events up to the one that it names; what
// is no number names none.
func (s *streamState) setResumePoint(after string) {
	if id, err := strconv.ParseInt(after, 10, 64); err == nil {
		s.lastID, s.hasLastID = id, true
	}
}

// next returns those of the whole events that the caller doesn't have yet, and
// notes that it has them; false if there is a gap after them.
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

// mayGoOn reports whether the stream can go on at another server: nobody can say
// which events without an id the caller has, and none may come twice.
func (s *streamState) resumable() bool { return !s.sentWithoutID }

// passed notes that events were passed on.
func (s *streamState) recordSend(now time.Time) {
	if !s.lastSentAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastSentAt))
		s.pauseCount++
	}
	s.lastSentAt = now
}
