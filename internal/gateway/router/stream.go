package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

// streamBufferSize is the size of the buffer for reading a stream, in bytes. It holds a few events.
const streamBufferSize = 2 << 10

// minPauses is the minimum number of pauses in a stream for its longest one to count as an
// observation of the server. With fewer, the longest is mostly chance.
const minPauses = 16

// maxWriteTime is how long a write to a caller takes at most if the caller reads. A longer one delays the
// next read from the server, whose pause is then the caller's.
const maxWriteTime = 10 * time.Millisecond

// maxCommentBytes bounds the comments and empty lines between two events, in bytes. A server that sends a
// comment a second, to keep a connection open, takes an hour for as many. Each empty line is processed as
// an event, so that more would take a small VM's processor.
const maxCommentBytes = 64 << 10

// relayEvents forwards the events of a stream as they arrive, each only when complete.
func (c *call) relayEvents(ctx context.Context, response *exchange.Response, tracked *trackedRequest) attemptResult {
	if !c.stream.headerSent {
		c.stream.setResumePoint(c.params.LastEventID)
	}
	c.stream.beginResponse()
	defer c.releaseResponseMemory()
	var splitter eventSplitter
	buffer := make([]byte, streamBufferSize)
	commentBytes := 0
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if events := splitter.add(buffer[:n]); len(events) > 0 {
				tracked.responseStarted()
				if isComment(events) {
					commentBytes += len(events)
				} else {
					commentBytes = 0
					tracked.outputStarted()
				}
				if !c.sendEvents(response, events) {
					return c.brokenResponseResult()
				}
				splitter.consume(len(events))
				c.observeLongAnswer(tracked)
			}
			switch {
			case splitter.pendingBytes() > maxEventBytes:
				c.router.Observer.ResponseTooLarge(c.serverID, "event")
				return resultUnknown
			case !c.reserveResponseBuffer(splitter.bufferSize()):
				c.router.Observer.ResponseTooLarge(c.serverID, "memory for an event")
				return resultUnknown
			case commentBytes > maxCommentBytes:
				c.router.Observer.ResponseTooLarge(c.serverID, "comments")
				return resultUnknown
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.pendingBytes() == 0 && c.checkOrder(c.stream.endResponse()) && !c.endedByCrash(response, tracked.server):
			return c.finishStream(response)
		case errors.Is(err, io.EOF):
			return resultUnknown
		default:
			return c.brokenResponseResult()
		}
	}
}

// checkOrder reports whether the events of a response are in order. If they are not, it passes the reason
// to the Observer.
func (c *call) checkOrder(err error) bool {
	if err != nil {
		c.router.Observer.EventsOutOfOrder(c.params.ID, c.serverID, err)
	}
	return err == nil
}

// sendEvents forwards those of the events that the caller does not have yet. It reports false if
// the stream cannot continue, because events are out of order or the caller cannot be written to.
func (c *call) sendEvents(response *exchange.Response, events []byte) bool {
	out, err := c.stream.newEvents(events)
	inOrder := c.checkOrder(err)
	if len(out) == 0 {
		return inOrder
	}
	c.recordOrigin()
	c.writeStreamHeader(response)
	c.stream.recordServer(c.sends, c.serverVersion)
	now := time.Now()
	pause := c.stream.pauseUntil(now)
	c.stream.recordSend(now)
	c.router.observePauseTarget(c, pause)
	if !isComment(out) {
		c.stream.recordOutput(now)
		if c.stream.intervals.complete() {
			c.router.observeEventInterval(c)
		}
	}
	if _, err := c.w.Write(out); err != nil {
		return false
	}
	flushed := http.NewResponseController(c.w).Flush() == nil
	c.stream.writeBlocked = time.Since(now) > maxWriteTime
	return flushed && inOrder
}

// writeStreamHeader sends the status and headers of the response, unless they were sent before.
func (c *call) writeStreamHeader(response *exchange.Response) {
	if c.stream.headerSent {
		return
	}
	c.stream.headerSent = true
	c.firstByteLatency = time.Since(c.arrivedAt)
	c.copyHeader(c.router.Dialect.CallerHeaders(response.Header))
	c.w.WriteHeader(response.Status)
}

// finishStream reports a completely forwarded stream as served. If the stream had no events, it
// sends the status and headers first.
func (c *call) finishStream(response *exchange.Response) attemptResult {
	c.writeStreamHeader(response)
	c.served = true
	c.router.observePause(c)
	c.router.observeEventInterval(c)
	c.router.observeStreamEnd(c)
	c.router.observeRequestTime(c)
	c.reportEnd(response.Status, ReasonServed)
	return resultFinal
}
