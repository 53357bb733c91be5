package router

import (
	"strconv"
	"time"
)

// streamed is what a caller has of a stream.
type streamed struct {
	// begun says that the head has been sent.
	begun bool
	// last is the id of the last event that the caller has; it means something
	// only if numbered.
	last     int64
	numbered bool
	// unnumbered says that the caller has events without an id.
	unnumbered bool
	// sentAt is when events were passed on last, and pause the longest time
	// between two such moments.
	sentAt time.Time
	pause  time.Duration
	// pauses counts the times between two such moments.
	pauses int
}

// resume notes that a caller has the events up to the one that it names; what
// is no number names none.
func (s *streamed) resume(after string) {
	if id, err := strconv.ParseInt(after, 10, 64); err == nil {
		s.last, s.numbered = id, true
	}
}

// next returns those of the whole events that the caller doesn't have yet, and
// notes that it has them; false if there is a gap after them.
func (s *streamed) next(whole []byte) ([]byte, bool) {
	out := whole[:0:0]
	for len(whole) > 0 {
		var event []byte
		event, whole = nextEvent(whole)
		id, ok := eventID(event)
		switch {
		case !ok:
			s.unnumbered = s.unnumbered || !isComment(event)
		case s.numbered && id <= s.last:
			continue
		case s.numbered && id != s.last+1:
			return out, false
		default:
			s.last, s.numbered = id, true
		}
		out = append(out, event...)
	}
	return out, true
}

// mayGoOn reports whether the stream can go on at another server: nobody can say
// which events without an id the caller has, and none may come twice.
func (s *streamed) mayGoOn() bool { return !s.unnumbered }

// passed notes that events were passed on.
func (s *streamed) passed(now time.Time) {
	if !s.sentAt.IsZero() {
		s.pause = max(s.pause, now.Sub(s.sentAt))
		s.pauses++
	}
	s.sentAt = now
}
