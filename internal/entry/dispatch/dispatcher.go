// Package dispatch executes requests on backend servers through their agents.
// For each request it places tickets at some agents, accepts the first grant,
// sends the body, relays the response stream, and decides after a failure
// whether to retry. Start reading at Dispatcher.Do.
package dispatch

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/dial"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// Agents is the part of the fleet that a Dispatcher uses.
type Agents interface {
	// Candidates lists the agents of a model or service that can take a ticket.
	Candidates(serves string) []policy.Candidate
	// Place sends a ticket; it returns false if the agent is not connected.
	Place(agent string, t *wire.Ticket, handler TicketHandler) bool
	// Withdraw cancels a ticket.
	Withdraw(agent, request string, attempt int)
	// Void asks an agent to make an unused grant unusable. It returns an error
	// if the agent does not respond.
	Void(ctx context.Context, agent, grant string) (wire.VoidResult, error)
	// Addr returns an agent's host:port; false if the agent is not known.
	Addr(agent string) (string, bool)
}

// TicketHandler receives the replies to an attempt's tickets. See
// fleet.TicketHandler.
type TicketHandler = interface {
	Granted(agent, grant string) bool
	Refused(agent string, reason wire.Reason, retryAfter time.Duration)
	Lost(agent string)
}

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	// Zone is the availability zone of this entry.
	Zone        string
	SystemKey   string
	Agents      Agents
	Placer      *policy.Placer
	Ejector     *policy.Ejector
	RetryBudget *policy.RetryBudget
	Timeline    *timeline.Ring
	Log         *zap.Logger
}

// Dispatcher executes requests on backend servers. It is safe for concurrent
// use.
type Dispatcher struct {
	config   Config
	policies sharedPolicies
	client   *http.Client
}

const (
	// connectTimeout bounds the dial of a connection to an agent's HTTP port.
	connectTimeout = time.Second
	// maxIdleConnsPerAgent is the number of idle HTTP connections kept open to
	// each agent.
	maxIdleConnsPerAgent = 16
	// idleConnTimeout closes idle HTTP connections. It must be shorter than the
	// agent's own idle timeout.
	idleConnTimeout = 30 * time.Second
)

// New returns a Dispatcher that uses the dependencies in c.
func New(c Config) *Dispatcher {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerAgent,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: dial.MaxHeadBytes,
	}
	return &Dispatcher{
		config:   c,
		policies: sharedPolicies{placer: c.Placer, ejector: c.Ejector, budget: c.RetryBudget},
		client:   &http.Client{Transport: transport},
	}
}

// Do executes one request, writes its response to sink and returns the final
// result. It blocks until the request has a final result or ctx ends.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Result {
	d.policies.recordRequest(time.Now())
	j := &job{dispatcher: d, request: r, sink: sink}
	result := j.execute(ctx)
	result.Tokens = j.tokensDelivered
	result.BodySent = j.bodySent
	result.Attempts = j.attempt
	result.FirstToken = j.timeToFirstToken
	d.recordResult(r, result)
	return result
}

// ForgetAgent removes the failure history of an agent that was removed from the
// fleet. VM names are never reused.
func (d *Dispatcher) ForgetAgent(agent string) { d.policies.forgetAgent(agent) }

// recordResult writes the final result to the timeline and the log.
func (d *Dispatcher) recordResult(r *Request, result Result) {
	kind, event := eventsFor(result.Outcome)
	d.config.Timeline.Record(kind, r.ID, r.Class.Name, result.Reason)
	d.config.Log.Info(event,
		logging.Request(r.ID),
		logging.Class(r.Class.Name),
		zap.String("customer", r.Customer),
		zap.String("outcome", string(result.Outcome)),
		logging.Reason(result.Reason),
		zap.Int("tokens", result.Tokens),
		zap.Int("attempts", result.Attempts),
		zap.Duration("first_token", result.FirstToken),
		zap.Duration("took", time.Since(r.Arrived)),
	)
}

// eventsFor returns the timeline event kind and the log event for an outcome.
func eventsFor(o Outcome) (timeline.Kind, string) {
	switch o {
	case NotRun, Rejected:
		return timeline.KindRefusal, logging.EventRequestRefused
	case Unknown:
		return timeline.KindUnknown, logging.EventRequestUnknown
	case Cancelled:
		return timeline.KindFinish, logging.EventRequestCancelled
	default:
		return timeline.KindFinish, logging.EventRequestFinished
	}
}
