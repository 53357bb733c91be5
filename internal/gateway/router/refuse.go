package router

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/callers"
)

// giveUp gives the final answer when no other send is allowed: a server's own
// failure if there is one, a refusal if the request certainly didn't run, and
// otherwise that nobody can say.
func (c *call) giveUp() {
	switch {
	case c.callerLeft():
	case c.stream.begun:
		c.breakOff()
	case c.failure != nil:
		c.write(c.failure)
		c.note(c.failure.status, ReasonPassedOn)
	case c.mayHaveRun && !time.Now().Before(c.end):
		c.fail(http.StatusGatewayTimeout, ReasonTimeUp)
	case c.mayHaveRun:
		c.fail(http.StatusBadGateway, ReasonUnknown)
	case c.sends > 0:
		c.refuse(ReasonNotRun, refusedHint)
	case !time.Now().Before(c.end):
		c.refuse(ReasonNotStarted, refusedHint)
	case c.dials > 0:
		c.refuse(ReasonUnreachable, refusedHint)
	default:
		c.refuse(ReasonNoServer, refusedHint)
	}
}

// refuse answers that the request didn't run and won't, and when to come back.
// A gateway that isn't certain of its desired state sends the caller to another
// one: a connection that is kept stays with its gateway.
func (c *call) refuse(reason Reason, after time.Duration) {
	if reason == ReasonNotFresh || reason == ReasonNoState {
		c.w.Header().Set("Connection", "close")
	}
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	c.fail(http.StatusServiceUnavailable, reason)
}

const (
	// drained is up to how many bytes of an unread body are read around an
	// answer of the gateway's own: a connection that is closed with unread bytes
	// is reset, and its caller may never see the answer.
	drained = 256 << 10
	// drainWait is how long the body is read before the answer, so that the
	// connection can be kept, and lingerWait how long after it on a connection
	// that is closed: time enough for a caller that sends on a slow link to come
	// to the answer.
	drainWait  = 500 * time.Millisecond
	lingerWait = time.Second
)

// drainBody reads what is left of a body and reports whether that was all of it.
// If not, the connection can't be kept: once a deadline has passed, net/http
// takes its caller for gone, and each later request on it would be cut.
func (c *call) drainBody() bool {
	if c.bodyLate {
		return false
	}
	if c.bodyRead || c.req.Body == nil || c.req.Body == http.NoBody {
		return true
	}
	return c.discard(drainWait)
}

// discard reads what is left of a body for so long and reports whether that was
// all of it.
func (c *call) discard(wait time.Duration) bool {
	// Where a deadline can't be set the server's own time-outs hold.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(wait))
	n, err := io.CopyN(io.Discard, c.req.Body, drained)
	return n < drained && errors.Is(err, io.EOF)
}

// fail gives an answer of the gateway's own.
func (c *call) fail(status int, reason Reason) {
	whole := c.drainBody()
	h := c.w.Header()
	if !whole {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.w.WriteHeader(status)
	// A caller that doesn't take the answer has left.
	_, _ = c.w.Write([]byte(string(reason) + "\n"))
	c.note(status, reason)
	if !whole {
		// The deadline stays: net/http reads on to the body's end otherwise.
		_ = http.NewResponseController(c.w).Flush()
		c.discard(lingerWait)
	}
}

// breakOff ends a stream that can't be completed, such that it doesn't look
// complete.
func (c *call) breakOff() {
	c.note(0, ReasonStreamBroken)
	if !c.req.ProtoAtLeast(1, 1) {
		// There an answer without a length ends with its connection.
		callers.Reset(c.req.Context())
	}
	panic(http.ErrAbortHandler)
}

// note tells the observer how the request ended.
func (c *call) note(status int, reason Reason) {
	end := End{
		ID: c.ask.ID, Service: c.service, Customer: c.customer, Urgency: c.urgency,
		Status: status, Reason: reason, Sends: c.sends, Server: c.server, Expected: c.expected,
		Version: c.version, ProofAge: boottime.Now() - c.router.Holder.ProvenAt(),
		First: c.first, Pause: c.stream.pause, Took: time.Since(c.arrived),
		Caller: callers.EndOf(c.req.Context()),
	}
	if c.route != nil {
		end.Route, end.Target, end.PauseTarget = c.route.Name, c.route.Target, c.route.Pause
	}
	c.router.Observer.Ended(end)
}
