package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

const (
	// stateHint is when to come back to a gateway that doesn't know the
	// desired state, or not for certain: another one may know it already.
	stateHint = 150 * time.Millisecond
	// refusedHint is when to come back after the backend servers had no room.
	refusedHint = 300 * time.Millisecond
	// youngest bounds how long a connection may have been idle that carries a
	// request which runs once at most: on a longer one the request may cross
	// the backend server's close, and then nobody can say whether it ran.
	youngest = time.Second
	// mostDials bounds the servers that can't be reached before a request is
	// refused; each takes up to the time-out of a new connection.
	mostDials = 4
)

// call is one request and its answer.
type call struct {
	router *Router
	w      http.ResponseWriter
	req    *http.Request

	arrived time.Time
	// end is when the final answer is due.
	end      time.Time
	ask      protocol.Ask
	route    *routes.Route
	customer string
	// urgency is from 0, the most urgent, to below protocol.Levels.
	urgency int
	limit   int64
	// version is the desired state's that the request is served by.
	version uint64
	// server is the last one that was chosen, and expected when the first
	// token was expected there.
	server   string
	expected time.Duration
	// prefill is how many tokens of the prompt that server was expected to compute, and
	// ahead how many of other requests before it.
	prefill, ahead int
	// meanTokens is the prompt length by which the request is admitted.
	meanTokens float64
	body       []byte
	// bodyRead says that the body has been read, as far as it is to be.
	bodyRead bool
	// bodyLate says that the body didn't come whole in time.
	bodyLate bool
	// left says that the caller left before it had its answer.
	left    bool
	service string

	// shared are the parts of the prompt that other requests share, and
	// fetchFrom where the chosen server is to fetch what it lacks of them;
	// empty for nowhere.
	shared    []policy.Part
	fetchFrom string
	// tried names the servers that got it or couldn't be reached; sends counts
	// the former, dials the latter.
	tried []string
	sends int
	dials int
	// unreached names those of tried that couldn't be reached, once.
	unreached []string
	// redialed says that these were tried again.
	redialed bool
	// mayHaveRun says that some backend server may have run it.
	mayHaveRun bool
	// failure is a backend server's own failure, to be passed on if no other
	// server does better.
	failure *heldAnswer
	stream  streamed
	// serverEnded says that the server which had it last ended meanwhile.
	serverEnded bool
	// print is the request's fingerprint once it has been printed.
	print   policy.Fingerprint
	printed bool
	// served says that a whole answer of a server was passed on.
	served bool
	first  time.Duration
}

// run sends the request until it has an answer or no other send is allowed.
func (c *call) run(ctx context.Context) {
	c.service = c.route.Service(hashID(c.ask.ID))
	c.router.countRequest(c.service)
	for !c.quarantined() {
		server, choice := c.choose()
		if server == nil && c.retryUnreached() {
			server, choice = c.choose()
		}
		switch {
		case server == nil && choice.Limited && c.sends == 0:
			c.beyondLimits(choice)
			return
		case server == nil:
			c.giveUp()
			return
		}
		if !c.letIn(choice) {
			c.crowded(choice)
			return
		}
		v := c.attempt(ctx, server, choice)
		switch v {
		case done:
			return
		case cutOff:
			c.breakOff()
		}
		if !c.mayGoOn(ctx, v) {
			c.giveUp()
			return
		}
	}
}

// retryUnreached reports whether servers that couldn't be reached may be tried again, once
// each. A connection that isn't opened in time says little of a server: a host that is
// busy for a moment loses the opening packet. It is for requests that no other server can take.
func (c *call) retryUnreached() bool {
	if len(c.unreached) == 0 {
		return false
	}
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return slices.Contains(c.unreached, id) })
	c.unreached, c.redialed = nil, true
	return true
}

// noteUnreached notes that a server couldn't be reached; the second time is final.
func (c *call) noteUnreached(server string) {
	c.dials++
	if !c.redialed {
		c.unreached = append(c.unreached, server)
	}
}

// mayGoOn reports whether the request may be sent to another server after an
// attempt that came to v, and takes that from the retry budget.
func (c *call) mayGoOn(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil {
		return false
	}
	if v == notSent {
		return c.dials < mostDials
	}
	if !c.stream.mayGoOn() {
		return false
	}
	if v != notRun && !c.route.Idempotent() {
		return false
	}
	return c.sends < max(c.route.Attempts, 1) && c.router.allowRepeat(c.service)
}

// shared are the parts of a prompt that other requests share: all but the last.
// Parts that claim more than the whole prompt are cut at its end.
func shared(parts []protocol.Part, prompt int) []policy.Part {
	if len(parts) < 2 {
		return nil
	}
	all, upto := make([]policy.Part, len(parts)-1), 0
	for i, p := range parts[:len(parts)-1] {
		upto += min(p.Tokens, prompt-upto)
		all[i] = policy.Part{ID: p.ID, Upto: upto}
	}
	return all
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
