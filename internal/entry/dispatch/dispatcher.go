// Package dispatch carries a request from its ticket to its one final answer:
// it places tickets at some agents, takes the first grant, sends the body,
// relays the stream, and decides what a failure means for the request. Start
// reading at Dispatcher.Do.
package dispatch

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// Agents is what a Dispatcher needs of the fleet.
type Agents interface {
	Candidates(serves string) []policy.Candidate
	Place(agent string, t *wire.Ticket, l Listener) bool
	Withdraw(agent, request string, attempt int)
	Void(ctx context.Context, agent, grant string) (wire.VoidResult, error)
	Addr(agent string) (string, bool)
}

// Listener hears what becomes of an attempt's tickets.
type Listener = interface {
	Granted(agent, grant string) bool
	Refused(agent string, reason wire.Reason, retryAfter time.Duration)
	Lost(agent string)
}

// Config is what a Dispatcher works with.
type Config struct {
	Zone      string
	SystemKey string
	Agents    Agents
	Placer    *policy.Placer
	Ejector   *policy.Ejector
	Budget    *policy.RetryBudget
	Ring      *timeline.Ring
	Log       *zap.Logger
}

// Dispatcher carries requests. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	shared shared
	client *http.Client
}

const (
	// connectTimeout bounds the opening of a connection for a body.
	connectTimeout = time.Second
	// maxIdlePerAgent keeps connections for bodies open between requests.
	maxIdlePerAgent = 16
	// idleTimeout closes them; below the agent's own idle timeout.
	idleTimeout = 30 * time.Second
)

// New returns a Dispatcher.
func New(c Config) *Dispatcher {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Dispatcher{
		config: c,
		shared: shared{placer: c.Placer, ejector: c.Ejector, budget: c.Budget},
		client: &http.Client{Transport: transport},
	}
}

// Do carries one request to its final answer.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Result {
	d.shared.fresh(time.Now())
	j := &job{dispatcher: d, request: r, sink: sink}
	result := j.carry(ctx)
	result.Tokens = j.tokens
	result.Sent = j.sent
	result.Attempts = j.attempt
	result.FirstToken = j.firstToken
	d.record(r, result)
	return result
}

// Forget drops what is remembered of an agent that has gone; VMs' names are
// never used again.
func (d *Dispatcher) Forget(agent string) { d.shared.forget(agent) }

func (d *Dispatcher) record(r *Request, result Result) {
	kind, event := endOf(result.Outcome)
	d.config.Ring.Record(kind, r.ID, r.Class.Name, result.Reason)
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

// endOf names an outcome on the time line and in the log.
func endOf(o Outcome) (timeline.Kind, string) {
	switch o {
	case NotRun, Rejected:
		return timeline.KindRefusal, logging.EventRequestRefused
	case Unknown:
		return timeline.KindUnknown, logging.EventRequestUnknown
	case Gone:
		return timeline.KindFinish, logging.EventRequestCancelled
	default:
		return timeline.KindFinish, logging.EventRequestFinished
	}
}
