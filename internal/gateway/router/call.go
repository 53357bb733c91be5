package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
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
	body     []byte
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

// verdict is what came of one attempt.
type verdict int

const (
	// done: the request has had its final answer, or its caller has left.
	done verdict = iota
	// notSent: the server wasn't reached.
	notSent
	// notRun: the server said that it didn't run the request.
	notRun
	// unclear: the request may have run.
	unclear
	// failed: the server ran the request and failed; the failure is kept.
	failed
	// cutOff: the caller has a part of an answer that can't be completed.
	cutOff
)

// run sends the request until it has an answer or no other send is allowed.
func (c *call) run(ctx context.Context) {
	c.service = c.route.Service(hashID(c.ask.ID))
	c.router.countRequest(c.service)
	for !c.heldBack() {
		server, choice := c.choose()
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

// attempt sends the request to a server and passes on what comes.
func (c *call) attempt(ctx context.Context, server *backend.Server, choice policy.Choice) verdict {
	info := server.Info()
	c.tried = append(c.tried, info.ID)
	left := time.Until(c.end)
	if left <= 0 {
		return unclear
	}
	stay := &visit{Stay: server.Load.Enter(c.urgency, c.router.plan(c, choice)), call: c, ahead: choice.Ahead, sent: time.Now()}
	defer stay.Leave()
	answer, err := c.router.Pool.Do(ctx, server.Peer(), c.request(info, left))
	if errors.Is(err, exchange.ErrNotSent) {
		if ctx.Err() == nil {
			c.dials++
			c.router.unreachable(info.ID)
		}
		return notSent
	}
	c.sends++
	if err != nil {
		c.serverEnded = errors.Is(err, exchange.ErrBroken) && c.hasEnded(server)
		c.judge(server)
		return c.broken(ctx, info.ID)
	}
	defer answer.Abandon()
	reply := c.router.Dialect.Reply(answer.Status, answer.Header)
	c.learnLimit(server, stay.sent, reply)
	v := c.take(ctx, answer, reply, stay)
	c.serverEnded = answer.Broken() && c.hasEnded(server)
	c.judge(server)
	c.router.observe(info.ID, c.outcome(ctx, v))
	return v
}

// broken judges an attempt whose answer ended in an error.
func (c *call) broken(ctx context.Context, server string) verdict {
	c.mayHaveRun = true
	if c.callerLeft() {
		return done
	}
	if ctx.Err() == nil {
		c.router.unanswered(server)
	}
	return unclear
}

// take reads an answer and passes it on if it is to be the final one.
func (c *call) take(ctx context.Context, answer *exchange.Answer, reply protocol.Reply, stay *visit) verdict {
	switch {
	case reply.NotRun:
		if reply.OtherServer && c.router.Registry.Replaced(c.server) {
			c.router.Observer.Replaced(c.server)
		}
		// The body is read so that the connection can be kept.
		_, _ = readLimited(answer, maxRefusal)
		return notRun
	case reply.Encoded, isSuccess(answer.Status) && !reply.Signed:
		c.mayHaveRun = true
		return unclear
	case isSuccess(answer.Status) && c.route.Kind == routes.KindStream:
		c.mayHaveRun = true
		return c.relay(ctx, answer, stay)
	default:
		c.mayHaveRun = true
		return c.passOn(ctx, answer, stay)
	}
}

// request is the request as it goes to a server.
func (c *call) request(info *backend.Info, left time.Duration) *exchange.Request {
	send := protocol.Send{Instance: info.ID, Customer: c.customer, Urgency: c.urgency, Left: left, After: c.ask.After, FetchFrom: c.fetchFrom}
	if c.stream.numbered {
		send.After = strconv.FormatInt(c.stream.last, 10)
	}
	young := time.Hour
	if !c.route.Idempotent() {
		young = youngest
	}
	return &exchange.Request{
		Method: c.req.Method,
		Target: c.req.RequestURI,
		Host:   c.req.Host,
		Header: c.router.Dialect.Request(c.req.Header, send),
		Body:   c.body,
		Young:  young,
		Mine:   func(h http.Header) bool { return c.router.Dialect.Reply(0, h).ID == c.ask.ID },
	}
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

// outcome is what an attempt's end says of its server.
func (c *call) outcome(ctx context.Context, v verdict) policy.Outcome {
	switch {
	case c.served:
		return policy.OutcomeWhole
	case v == notRun, ctx.Err() != nil:
		return policy.OutcomeCancelled
	default:
		return policy.OutcomeFailed
	}
}
