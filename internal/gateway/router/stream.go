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
const streamBufferSize = 2 << 10

// leastPauses is how many pauses a stream has to have for the longest of them to
// tell of its server: of a few the longest is chance.
const minPauses = 16

// relay passes a stream's events on as they come, each whole.
func (c *call) relayEvents(ctx context.Context, response *exchange.Answer, tracked *trackedRequest) attemptResult {
	if !c.stream.headerSent {
		c.stream.setResumePoint(c.params.After)
	}
	var splitter eventSplitter
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if events := splitter.add(buffer[:n]); len(events) > 0 {
				tracked.responseStarted()
				if !c.sendEvents(response, events) {
					return c.resultAfterReadError()
				}
				splitter.consume(len(events))
			}
			if splitter.pendingBytes() > maxEventBytes {
				return resultUnknown
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.pendingBytes() == 0:
			return c.finishStream(response)
		case errors.Is(err, io.EOF):
			return resultUnknown
		default:
			return c.resultAfterReadError()
		}
	}
}

// sendEvents passes on those of the whole events that the caller doesn't have;
// false if the stream can't go on so.
func (c *call) sendEvents(response *exchange.Answer, events []byte) bool {
	out, ok := c.stream.newEvents(events)
	if len(out) == 0 {
		return ok
	}
	c.writeStreamHeader(response)
	c.stream.recordSend(time.Now())
	if _, err := c.w.Write(out); err != nil {
		return false
	}
	return http.NewResponseController(c.w).Flush() == nil && ok
}

// begin sends the head of the first server's answer, once.
func (c *call) writeStreamHeader(response *exchange.Answer) {
	if c.stream.headerSent {
		return
	}
	c.stream.headerSent = true
	c.firstByteLatency = time.Since(c.arrivedAt)
	c.copyHeader(c.router.Dialect.Answer(response.Header))
	c.w.WriteHeader(response.Status)
}

// endStream ends a stream that is whole.
func (c *call) finishStream(response *exchange.Answer) attemptResult {
	c.writeStreamHeader(response)
	c.served = true
	c.router.observePause(c)
	c.reportEnd(response.Status, ReasonServed)
	return resultFinal
}
