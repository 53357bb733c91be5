package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

const (
	// maxBufferedResponse is the largest response body, in bytes, that is read completely before it
	// is forwarded. If such a response breaks off, the request can be sent to another server, or
	// the caller gets the right status. Longer responses are forwarded as they arrive.
	maxBufferedResponse = 256 << 10
	// minResponseBuffer is the size of the first buffer for a response of unknown length, in bytes.
	minResponseBuffer = 4 << 10
	// maxRejectionBody bounds the bytes read from the body of a response that reports that the
	// request did not run.
	maxRejectionBody = 16 << 10
	// copyBufferSize is the size of the buffer with which longer responses are copied, in bytes, and
	// smallCopyBufferSize its size while memory is short.
	copyBufferSize      = 32 << 10
	smallCopyBufferSize = 4 << 10
)

// bufferedResponse is a server's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// contentLength is the server's Content-Length header; empty if it sent none.
	contentLength string
}

// forwardBuffered forwards a response that is not an event stream. Up to maxBufferedResponse, or less
// while memory is short, it forwards either the complete response or nothing.
func (c *call) forwardBuffered(ctx context.Context, response *exchange.Response, tracked *trackedRequest) attemptResult {
	tracked.responseStarted()
	if isSuccess(response.Status) {
		// A failure needs no prefill, so that its time says nothing of the next request's.
		tracked.outputStarted()
	}
	defer c.releaseResponseMemory()
	body, complete, err := c.readBuffered(response)
	if err != nil || complete && c.endedByCrash(response, tracked.server) {
		return c.brokenResponseResult()
	}
	buffered := &bufferedResponse{status: response.Status, header: c.router.Dialect.CallerHeaders(response.Header), body: body, contentLength: response.Header.Get("Content-Length")}
	c.firstByteLatency = time.Since(c.arrivedAt)
	switch {
	case impliesNotRun(response.Status):
		// The server did not report that the request did not run, but callers would take this
		// status to mean that.
		return resultUnknown
	case c.stream.headerSent:
		// A failure status cannot be sent once the stream has started.
		return resultUnknown
	case !complete:
		return c.forwardLong(buffered, response, tracked)
	case isSuccess(response.Status):
		c.served = true
		c.router.observeRequestTime(c)
		c.writeBuffered(buffered)
		c.reportEnd(buffered.status, ReasonServed)
		return resultFinal
	default:
		c.serverFailure = buffered
		c.keepResponseMemory()
		if ctx.Err() != nil {
			return resultUnknown
		}
		return resultServerFailed
	}
}

// brokenResponseResult returns the result of an attempt whose response broke off or could not be
// written to the caller.
func (c *call) brokenResponseResult() attemptResult {
	if c.endIfDisconnected() {
		return resultFinal
	}
	return resultUnknown
}

// endIfDisconnected reports whether the caller has disconnected, and if so, reports the end of the
// request.
func (c *call) endIfDisconnected() bool {
	if c.req.Context().Err() == nil {
		return false
	}
	c.callerDisconnected = true
	c.reportEnd(0, ReasonCallerDisconnected)
	return true
}

// impliesNotRun reports whether a status tells callers that the request did not run and will not.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeBuffered sends a complete response to the caller.
func (c *call) writeBuffered(buffered *bufferedResponse) {
	c.copyHeader(buffered.header)
	length := strconv.Itoa(len(buffered.body))
	if c.req.Method == http.MethodHead {
		// The length is that of the body that a GET would have returned.
		length = buffered.contentLength
	}
	if length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.w.WriteHeader(buffered.status)
	// If the write fails, the caller has disconnected.
	_, _ = c.w.Write(buffered.body)
}

func (c *call) copyHeader(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		h[name] = values
	}
}

// forwardLong forwards a response that is too long to be buffered. The argument buffered holds its
// beginning.
func (c *call) forwardLong(buffered *bufferedResponse, response *exchange.Response, tracked *trackedRequest) attemptResult {
	c.copyHeader(buffered.header)
	if response.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.w.WriteHeader(buffered.status)
	_, err := c.w.Write(buffered.body)
	// The caller may take the rest slowly.
	buffered.body = nil
	c.releaseResponseMemory()
	if err == nil {
		// The wrapper hides the ReadFrom method of c.w, with which io.CopyBuffer would not use the
		// buffer.
		_, err = io.CopyBuffer(struct{ io.Writer }{c.w}, response, c.newCopyBuffer())
	}
	switch {
	case err != nil && c.endIfDisconnected():
		return resultFinal
	case err != nil || c.endedByCrash(response, tracked.server):
		return resultTruncated
	}
	reason := ReasonServerFailure
	if isSuccess(buffered.status) {
		c.served, reason = true, ReasonServed
		c.router.observeRequestTime(c)
	}
	c.reportEnd(buffered.status, reason)
	return resultFinal
}

// newCopyBuffer returns the buffer with which the rest of a long response is copied.
func (c *call) newCopyBuffer() []byte {
	if !c.reserveResponseBuffer(smallResponse + copyBufferSize) {
		return make([]byte, smallCopyBufferSize)
	}
	return make([]byte, copyBufferSize)
}

// readBuffered reads the body up to its end, or up to maxBufferedResponse+1 bytes if it is longer. It reads
// less while memory is short. complete is whether the end was read. It returns an error if the body breaks
// off before that.
func (c *call) readBuffered(response *exchange.Response) (body []byte, complete bool, err error) {
	const longest = maxBufferedResponse + 1
	size := minResponseBuffer
	if response.Length >= 0 {
		// A byte more than the body has, so that the end is read too.
		size = int(min(response.Length, maxBufferedResponse)) + 1
	}
	if !c.reserveResponseBuffer(size) {
		size = minResponseBuffer
	}
	body = make([]byte, 0, size)
	for {
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) < cap(body):
			continue
		}
		larger := min(2*cap(body), longest)
		if larger == cap(body) || !c.reserveResponseBuffer(larger) {
			return body, false, nil
		}
		body = append(make([]byte, 0, larger), body...)
	}
}

// readLimited reads the body up to its end, or up to limit+1 bytes if it is longer than limit. It
// returns an error if the body breaks off before that.
func readLimited(response *exchange.Response, limit int) ([]byte, error) {
	if response.Length >= 0 && response.Length <= int64(limit) {
		body := make([]byte, response.Length)
		if _, err := io.ReadFull(response, body); err != nil {
			return nil, err
		}
		// Reading the end of the body returns the connection to the pool.
		_, err := io.ReadAll(response)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response, int64(limit)+1))
}
