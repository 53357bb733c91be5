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
	maxHeld = 256 << 10
	// maxRefusal bounds what is read of a refusal's body.
	maxRefusal = 16 << 10
	// copyBuffer is the size of the pieces in which longer answers are passed
	// on, in bytes.
	copyBuffer = 32 << 10
)

// heldAnswer is a server's whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
	// length is the body's as the server told it; empty where it didn't.
	length string
}

// passOn passes a server's answer on, whole or not at all.
func (c *call) passOn(ctx context.Context, answer *exchange.Answer, stay *visit) verdict {
	stay.begun()
	body, err := readLimited(answer, maxHeld)
	if err != nil {
		return c.unclearOrLeft()
	}
	held := &heldAnswer{status: answer.Status, header: c.router.Dialect.Answer(answer.Header), body: body, length: answer.Header.Get("Content-Length")}
	c.first = time.Since(c.arrived)
	switch {
	case promisesNotRun(answer.Status):
		// The server doesn't say that the request didn't run; its status
		// would.
		return unclear
	case c.stream.begun:
		// A failure can't be put into a stream that has begun.
		return unclear
	case len(body) > maxHeld:
		return c.passOnLong(held, answer)
	case isSuccess(answer.Status):
		c.served = true
		c.write(held)
		c.note(held.status, ReasonServed)
		return done
	default:
		c.failure = held
		if ctx.Err() != nil {
			return unclear
		}
		return failed
	}
}

// unclearOrLeft judges an answer that broke off.
func (c *call) unclearOrLeft() verdict {
	if c.callerLeft() {
		return done
	}
	return unclear
}

// callerLeft notes the request's end if its caller has left.
func (c *call) callerLeft() bool {
	if c.req.Context().Err() == nil {
		return false
	}
	c.left = true
	c.note(0, ReasonCallerLeft)
	return true
}

// promisesNotRun reports whether a status tells the caller that the request
// did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// write gives the caller a whole answer.
func (c *call) write(held *heldAnswer) {
	c.copyHeader(held.header)
	length := strconv.Itoa(len(held.body))
	if c.req.Method == http.MethodHead {
		// The length is that of the body that a GET would have had.
		length = held.length
	}
	if length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.w.WriteHeader(held.status)
	// A caller that doesn't take the answer has left; nothing is lost by it.
	_, _ = c.w.Write(held.body)
}

func (c *call) copyHeader(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		h[name] = values
	}
}

// passOnLong passes on an answer that is too long to be held.
func (c *call) passOnLong(held *heldAnswer, answer *exchange.Answer) verdict {
	c.copyHeader(held.header)
	if answer.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.w.WriteHeader(held.status)
	_, err := c.w.Write(held.body)
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{c.w}, answer, make([]byte, copyBuffer))
	}
	if err != nil {
		return cutOff
	}
	c.served = true
	c.note(held.status, ReasonServed)
	return done
}

// readLimited reads a body to its end, or one byte more than limit of it.
func readLimited(answer *exchange.Answer, limit int) ([]byte, error) {
	if answer.Length >= 0 && answer.Length <= int64(limit) {
		body := make([]byte, answer.Length)
		if _, err := io.ReadFull(answer, body); err != nil {
			return nil, err
		}
		// The end has to be read, which gives the connection back.
		_, err := io.ReadAll(answer)
		return body, err
	}
	return io.ReadAll(io.LimitReader(answer, int64(limit)+1))
}
