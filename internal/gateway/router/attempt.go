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
	defer c.watchRun(info.ID)()
	answer, err := c.router.Pool.Do(ctx, server.Peer(), c.request(info, left))
	if errors.Is(err, exchange.ErrNotSent) {
		if ctx.Err() == nil {
			c.noteUnreached(info.ID)
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
