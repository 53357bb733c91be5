package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

// streamBuffer is the size of the reads of a stream, in bytes: a few events.
const streamBuffer = 2 << 10

// streamed is what a caller has of a stream.
type streamed struct {
	// begun says that the head has been sent.
	begun bool
	// last is the id of the last event that the caller has; 0 for none.
	last int64
	// sentAt is when events were passed on last, and pause the longest time
	// between two such moments.
	sentAt time.Time
	pause  time.Duration
}

// passed notes that events were passed on.
func (s *streamed) passed(now time.Time) {
	if !s.sentAt.IsZero() {
		s.pause = max(s.pause, now.Sub(s.sentAt))
	}
	s.sentAt = now
}

// relay passes a stream's events on as they come, each whole.
func (c *call) relay(ctx context.Context, answer *exchange.Answer, stay *visit) verdict {
	if c.stream.last == 0 {
		// A caller that resumes has the events up to the one it names.
		c.stream.last, _ = strconv.ParseInt(c.ask.After, 10, 64)
	}
	var cut events
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if whole := cut.add(buffer[:n]); len(whole) > 0 {
				stay.begun()
				if !c.sendEvents(answer, whole) {
					return c.unclearOrLeft()
				}
				cut.taken(len(whole))
			}
			if cut.rest() > maxEvent {
				return unclear
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && cut.rest() == 0:
			return c.endStream(answer)
		case errors.Is(err, io.EOF):
			return unclear
		default:
			return c.unclearOrLeft()
		}
	}
}

// sendEvents passes on those of the whole events that the caller doesn't have;
// false if the stream can't go on so.
func (c *call) sendEvents(answer *exchange.Answer, whole []byte) bool {
	out := whole
	if c.stream.last > 0 {
		var ok bool
		if out, ok = c.following(whole); !ok {
			return false
		}
	} else {
		c.noteLast(whole)
	}
	if len(out) == 0 {
		return true
	}
	c.begin(answer)
	c.stream.passed(time.Now())
	if _, err := c.w.Write(out); err != nil {
		return false
	}
	return http.NewResponseController(c.w).Flush() == nil
}

// following returns the events after the last one that the caller has; false
// if there is a gap between them.
func (c *call) following(whole []byte) ([]byte, bool) {
	out := whole[:0:0]
	for len(whole) > 0 {
		var event []byte
		event, whole = nextEvent(whole)
		id, ok := eventID(event)
		if ok && id <= c.stream.last {
			continue
		}
		if ok && id != c.stream.last+1 {
			return nil, false
		}
		if ok {
			c.stream.last = id
		}
		out = append(out, event...)
	}
	return out, true
}

func (c *call) noteLast(whole []byte) {
	for len(whole) > 0 {
		var event []byte
		event, whole = nextEvent(whole)
		if id, ok := eventID(event); ok {
			c.stream.last = id
		}
	}
}

// begin sends the head of the first server's answer, once.
func (c *call) begin(answer *exchange.Answer) {
	if c.stream.begun {
		return
	}
	c.stream.begun = true
	c.first = time.Since(c.arrived)
	c.copyHeader(c.router.Dialect.Answer(answer.Header))
	c.w.WriteHeader(answer.Status)
}

// endStream ends a stream that is whole.
func (c *call) endStream(answer *exchange.Answer) verdict {
	c.begin(answer)
	c.served = true
	c.note(answer.Status, ReasonServed)
	return done
}
