package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/unread"
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

// fail gives an answer of the gateway's own.
func (c *call) fail(status int, reason Reason) {
	answer := func() {
		h := c.w.Header()
		h.Set("Content-Type", "text/plain; charset=utf-8")
		h.Set("Content-Length", strconv.Itoa(len(reason)+1))
		c.w.WriteHeader(status)
		// A caller that doesn't take the answer has left.
		_, _ = c.w.Write([]byte(string(reason) + "\n"))
		c.note(status, reason)
	}
	if c.bodyRead && !c.bodyLate {
		answer()
		return
	}
	unread.Answer(c.w, c.req, c.bodyLate, answer)
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
		Status: status, Reason: reason, Sends: c.sends, Unreached: c.dials, Server: c.server, Expected: c.expected,
		PromptTokens: c.ask.PromptTokens, MeanTokens: int(c.meanTokens), Prefill: c.prefill, Ahead: c.ahead,
		Version: c.version, ProofAge: boottime.Now() - c.router.Holder.ProvenAt(),
		First: c.first, Pause: c.stream.pause, Took: time.Since(c.arrived),
		Caller: callers.EndOf(c.req.Context()),
	}
	if reason != ReasonServed {
		end.Fingerprint, end.ServerEnded = c.fingerprint(), c.serverEnded
	}
	if c.route != nil {
		end.Route, end.Target, end.PauseTarget = c.route.Name, c.route.Target, c.route.Pause
	}
	c.router.Observer.Ended(end)
}
