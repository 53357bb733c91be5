package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

// streamBuffer is the size of the reads of a stream, in bytes: a few events.
const streamBuffer = 2 << 10

// leastPauses is how many pauses a stream has to have for the longest of them to
// tell of its server: of a few the longest is chance.
const leastPauses = 16

// relay passes a stream's events on as they come, each whole.
func (c *call) relay(ctx context.Context, answer *exchange.Answer, stay *visit) verdict {
	if !c.stream.begun {
		c.stream.resume(c.ask.After)
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
	out, ok := c.stream.next(whole)
	if len(out) == 0 {
		return ok
	}
	c.begin(answer)
	c.stream.passed(time.Now())
	if _, err := c.w.Write(out); err != nil {
		return false
	}
	return http.NewResponseController(c.w).Flush() == nil && ok
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
	c.router.observePause(c)
	c.note(answer.Status, ReasonServed)
	return done
}
