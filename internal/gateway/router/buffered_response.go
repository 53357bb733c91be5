package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

const (
	// maxHeld is up to which size an answer is read whole before it is passed
	// on, so that one that is broken off can be had from another server, or
	// be told as what it is. Longer ones are passed on as they come.
	maxBufferedResponse = 256 << 10
	// maxRefusal bounds what is read of a refusal's body.
	maxRejectionBody = 16 << 10
	// copyBuffer is the size of the pieces in which longer answers are passed
	// on, in bytes.
	copyBufferSize = 32 << 10
)

// heldAnswer is a server's whole answer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// length is the body's as the server told it; empty where it didn't.
	contentLength string
}

// passOn passes a server's answer on, whole or not at all.
func (c *call) forwardBuffered(ctx context.Context, response *exchange.Answer, tracked *trackedRequest) attemptResult {
	tracked.responseStarted()
	body, err := readLimited(response, maxBufferedResponse)
	if err != nil {
		return c.resultAfterReadError()
	}
	buffered := &bufferedResponse{status: response.Status, header: c.router.Dialect.Answer(response.Header), body: body, contentLength: response.Header.Get("Content-Length")}
	c.firstByteLatency = time.Since(c.arrivedAt)
	switch {
	case impliesNotRun(response.Status):
		// The server doesn't say that the request didn't run; its status
		// would.
		return resultUnknown
	case c.stream.headerSent:
		// A failure can't be put into a stream that has begun.
		return resultUnknown
	case len(body) > maxBufferedResponse:
		return c.forwardLong(buffered, response)
	case isSuccess(response.Status):
		c.served = true
		c.writeBuffered(buffered)
		c.reportEnd(buffered.status, ReasonServed)
		return resultFinal
	default:
		c.serverFailure = buffered
		if ctx.Err() != nil {
			return resultUnknown
		}
		return resultServerFailed
	}
}

// unclearOrLeft judges an answer that broke off.
func (c *call) resultAfterReadError() attemptResult {
	if c.checkCallerLeft() {
		return resultFinal
	}
	return resultUnknown
}

// callerLeft notes the request's end if its caller has left.
func (c *call) checkCallerLeft() bool {
	if c.req.Context().Err() == nil {
		return false
	}
	c.callerGone = true
	c.reportEnd(0, ReasonCallerLeft)
	return true
}

// promisesNotRun reports whether a status tells the caller that the request
// did not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// write gives the caller a whole answer.
func (c *call) writeBuffered(buffered *bufferedResponse) {
	c.copyHeader(buffered.header)
	length := strconv.Itoa(len(buffered.body))
	if c.req.Method == http.MethodHead {
		// The length is that of the body that a GET would have had.
		length = buffered.contentLength
	}
	if length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.w.WriteHeader(buffered.status)
	// A caller that doesn't take the answer has left; nothing is lost by it.
	_, _ = c.w.Write(buffered.body)
}

func (c *call) copyHeader(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		h[name] = values
	}
}

// passOnLong passes on an answer that is too long to be held.
func (c *call) forwardLong(buffered *bufferedResponse, response *exchange.Answer) attemptResult {
	c.copyHeader(buffered.header)
	if response.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.w.WriteHeader(buffered.status)
	_, err := c.w.Write(buffered.body)
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{c.w}, response, make([]byte, copyBufferSize))
	}
	if err != nil {
		return resultTruncated
	}
	c.served = true
	c.reportEnd(buffered.status, ReasonServed)
	return resultFinal
}

// readLimited reads a body to its end, or one byte more than limit of it.
func readLimited(response *exchange.Answer, limit int) ([]byte, error) {
	if response.Length >= 0 && response.Length <= int64(limit) {
		body := make([]byte, response.Length)
		if _, err := io.ReadFull(response, body); err != nil {
			return nil, err
		}
		// The end has to be read, which gives the connection back.
		_, err := io.ReadAll(response)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response, int64(limit)+1))
}
