package dispatch

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

const (
	// maxRefusals is after how many agents' refusals for overload a request is
	// refused: two more than the two that a ticket goes to at first. Agents of
	// a model share the load, so that asking all of them would cost more
	// messages in a burst than the burst itself. The top tier asks all.
	maxRefusals = 4
	// emptyWait is how long a request waits for any agent to be there before
	// it is refused: an entry that has just started, or a whole model that
	// restarts, is back within seconds.
	emptyWait = 2 * time.Second
	// maxWait is how long a ticket may wait at all before it is refused; the
	// policy at the agents gives up sooner, so that this only covers agents
	// that never answer.
	maxWait = 10 * time.Minute
	// emptyPoll is how often it looks.
	emptyPoll = 50 * time.Millisecond
)

// placing is the state of one attempt's search for a grant.
type placing struct {
	job     *job
	attempt *attempt
	tried   []string
	open    map[string]struct{}
	refused []policy.Decision
	reason  wire.Reason
	// empty is when no agent could be asked for the first time. It stands also
	// when one could later: agents that refuse all work would otherwise be
	// asked again without end.
	empty time.Time
}

// find places tickets until an agent grants; it returns the grant, or the
// final refusal.
func (j *job) find(ctx context.Context) (offer, *Result) {
	p := &placing{job: j, attempt: newAttempt(), open: make(map[string]struct{})}
	defer p.withdrawAll()
	wait := time.NewTimer(maxWait)
	defer wait.Stop()
	again := time.NewTicker(emptyPoll)
	defer again.Stop()
	p.placeMore(policy.Copies(j.tier()))
	for {
		if result := p.over(); result != nil && p.attempt.close() {
			return offer{}, result
		}
		select {
		case o := <-p.attempt.offers:
			delete(p.open, o.agent)
			return o, nil
		case r := <-p.attempt.refusals:
			p.refuse(r)
		case <-again.C:
			p.placeIfNone()
		case <-wait.C:
			if p.attempt.close() {
				return offer{}, &Result{Outcome: NotRun, Reason: "waited_too_long", RetryAfter: policy.Hint(p.refused)}
			}
		case <-ctx.Done():
			if p.attempt.close() {
				return offer{}, &Result{Outcome: Gone, Reason: "caller_gone"}
			}
		}
	}
}

// over reports the final refusal, once no ticket is out and no more are due.
func (p *placing) over() *Result {
	if len(p.open) > 0 {
		return nil
	}
	if len(p.refused) == 0 {
		if p.empty.IsZero() || time.Since(p.empty) < emptyWait {
			return nil
		}
		return &Result{Outcome: NotRun, Reason: "no_backend_server", RetryAfter: emptyWait}
	}
	return &Result{Outcome: NotRun, Reason: string(p.reason), RetryAfter: policy.Hint(p.refused)}
}

func (p *placing) refuse(r refusal) {
	delete(p.open, r.agent)
	if !r.lost && isOverload(r.reason) {
		p.reason = r.reason
		p.refused = append(p.refused, policy.Decision{RetryAfter: r.retryAfter, Full: r.reason == wire.ReasonQueueFull})
	}
	if len(p.refused) >= maxRefusals && p.job.tier() != policy.TopTier {
		return
	}
	p.placeMore(1)
}

// isOverload tells refusals for load from those of an agent that can't serve
// at all, which say nothing about the others.
func isOverload(reason wire.Reason) bool {
	return reason == wire.ReasonOverload || reason == wire.ReasonQueueFull
}

// placeIfNone looks for agents again when none could be asked so far.
func (p *placing) placeIfNone() {
	if len(p.open) == 0 && len(p.refused) == 0 {
		p.tried = nil
		p.placeMore(policy.Copies(p.job.tier()))
	}
}

// placeMore sends the ticket to n more agents, as far as there are any.
func (p *placing) placeMore(n int) {
	j := p.job
	candidates := j.dispatcher.config.Agents.Candidates(j.request.Serves)
	want := policy.Placement{Tier: j.tier(), Zone: j.dispatcher.config.Zone, Prefix: j.request.Prefix, Exclude: p.tried}
	names := j.dispatcher.shared.pick(time.Now(), want, candidates, n)
	asks := asksOf(j.tier(), len(candidates))
	for _, name := range names {
		p.place(name, asks)
	}
	if len(p.open) == 0 && p.empty.IsZero() {
		p.empty = time.Now()
	}
}

// asksOf is how many agents of those that there are a request asks before it
// is refused.
func asksOf(t policy.Tier, agents int) int {
	if t == policy.TopTier {
		return min(agents, maxPlaced/2)
	}
	return min(agents, maxRefusals)
}

func (p *placing) place(agent string, asks int) {
	if len(p.tried) >= maxPlaced/2 {
		return
	}
	j := p.job
	p.tried = append(p.tried, agent)
	ticket := j.ticket()
	ticket.Asks = asks
	if j.dispatcher.config.Agents.Place(agent, ticket, p.attempt) {
		p.open[agent] = struct{}{}
		j.dispatcher.config.Ring.Record(timeline.KindTicket, j.request.ID, j.request.Class.Name, agent)
	}
}

func (p *placing) withdrawAll() {
	p.attempt.close()
	for agent := range p.open {
		p.job.dispatcher.config.Agents.Withdraw(agent, p.job.request.ID, p.job.attempt)
	}
}
