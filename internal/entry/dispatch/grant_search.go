package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

const (
	// maxOverloadRefusals is the number of overload refusals by agents after
	// which the entry refuses the request: those of the two agents that get a
	// ticket first and of two more. The agents of a model share its load, so
	// the others are probably overloaded as well, and asking them all would
	// send far more messages in a burst than it has requests. The top tier asks
	// all agents.
	maxOverloadRefusals = 4
	// noAgentTimeout is how long a request waits for an agent to connect before
	// it is refused. After a restart of this entry or of all agents of a model,
	// connections are back within seconds.
	noAgentTimeout = 2 * time.Second
	// maxGrantWait bounds the wait for a grant. Agents refuse waiting tickets
	// sooner; this covers agents that never reply.
	maxGrantWait = 10 * time.Minute
	// noAgentPollInterval is how often a request without an agent looks for
	// connected agents.
	noAgentPollInterval = 50 * time.Millisecond
)

// grantSearch is the state of one attempt's search for a grant.
type grantSearch struct {
	job       *job
	collector *grantCollector
	// tried lists the agents asked so far, and those that are only asked if no other
	// agent can be; pending has those that have not replied.
	tried   []string
	pending map[string]struct{}
	// overloadRefusals and overloadReason cover refusals for overload only.
	overloadRefusals []policy.Decision
	overloadReason   wire.Reason
	// noAgentSince is the first time that no agent could be asked. It is not
	// reset when an agent is found later: otherwise a request would ask agents
	// that refuse all work again and again, without end.
	noAgentSince time.Time
}

// acquireGrant places tickets until an agent grants one. It returns the grant,
// or the final refusal.
func (j *job) acquireGrant(ctx context.Context) (acceptedGrant, *Result) {
	search := &grantSearch{job: j, collector: newGrantCollector(), tried: slices.Clone(j.notStarted), pending: make(map[string]struct{})}
	defer search.withdrawAll()
	deadline := time.NewTimer(maxGrantWait)
	defer deadline.Stop()
	poll := time.NewTicker(noAgentPollInterval)
	defer poll.Stop()
	search.placeTickets(policy.Copies(j.tier()))
	for {
		if result := search.finalRefusal(); result != nil && search.collector.close() {
			return acceptedGrant{}, result
		}
		select {
		case grant := <-search.collector.granted:
			delete(search.pending, grant.agent)
			return grant, nil
		case r := <-search.collector.refusals:
			search.handleRefusal(r)
		case <-poll.C:
			search.retryPlacement()
		case <-deadline.C:
			if search.collector.close() {
				return acceptedGrant{}, &Result{Outcome: NotRun, Reason: "waited_too_long", RetryAfter: policy.CombineRetryAfter(search.overloadRefusals)}
			}
		case <-ctx.Done():
			if search.collector.close() {
				return acceptedGrant{}, &Result{Outcome: Cancelled, Reason: "caller_gone"}
			}
		}
	}
}

// finalRefusal returns the final refusal once no ticket is pending and no more
// will be placed; otherwise nil.
func (s *grantSearch) finalRefusal() *Result {
	if len(s.pending) > 0 {
		return nil
	}
	if len(s.overloadRefusals) == 0 {
		if s.noAgentSince.IsZero() || time.Since(s.noAgentSince) < noAgentTimeout {
			return nil
		}
		return &Result{Outcome: NotRun, Reason: "no_backend_server", RetryAfter: noAgentTimeout}
	}
	return &Result{Outcome: NotRun, Reason: string(s.overloadReason), RetryAfter: policy.CombineRetryAfter(s.overloadRefusals)}
}

// handleRefusal places a ticket at one more agent, unless enough agents have
// refused for overload.
func (s *grantSearch) handleRefusal(r refusal) {
	delete(s.pending, r.agent)
	if !r.connectionLost && isOverload(r.reason) {
		s.overloadReason = r.reason
		s.overloadRefusals = append(s.overloadRefusals, policy.Decision{RetryAfter: r.retryAfter, QueueFull: r.reason == wire.ReasonQueueFull})
	}
	if len(s.overloadRefusals) >= maxOverloadRefusals && s.job.tier() != policy.TopTier {
		return
	}
	s.placeTickets(1)
}

// isOverload reports whether an agent refused because of load. Other refusals
// come from an agent that cannot serve at all and say nothing about other
// agents.
func isOverload(reason wire.Reason) bool {
	return reason == wire.ReasonOverload || reason == wire.ReasonQueueFull
}

// retryPlacement places tickets again if no agent could be asked so far.
func (s *grantSearch) retryPlacement() {
	if len(s.pending) == 0 && len(s.overloadRefusals) == 0 {
		s.tried = nil
		s.placeTickets(policy.Copies(s.job.tier()))
	}
}

// placeTickets sends the ticket to up to n more agents.
func (s *grantSearch) placeTickets(n int) {
	j := s.job
	candidates := j.dispatcher.config.Agents.Candidates(j.request.Serves)
	placement := policy.PlacementRequest{Tier: j.tier(), Zone: j.dispatcher.config.Zone, Prefix: j.request.PrefixHash, Exclude: s.tried, Bound: j.tokensDelivered > 0, Version: j.version}
	agents := j.dispatcher.policies.pickAgents(time.Now(), placement, candidates, n)
	agentsAsked := maxAgentsAsked(j.tier(), len(candidates))
	for _, agent := range agents {
		s.placeTicket(agent, agentsAsked)
	}
	if len(s.pending) == 0 && s.noAgentSince.IsZero() {
		s.noAgentSince = time.Now()
	}
}

// maxAgentsAsked returns the maximum number of agents that a request asks before
// it is refused, of the given number of available agents.
func maxAgentsAsked(tier policy.Tier, available int) int {
	if tier == policy.TopTier {
		return min(available, refusalQueueSize/2)
	}
	return min(available, maxOverloadRefusals)
}

func (s *grantSearch) placeTicket(agent string, agentsAsked int) {
	if len(s.tried) >= refusalQueueSize/2 {
		return
	}
	j := s.job
	s.tried = append(s.tried, agent)
	ticket := j.ticket()
	ticket.MaxEngines = agentsAsked
	if j.dispatcher.config.Agents.Place(agent, ticket, s.collector) {
		s.pending[agent] = struct{}{}
		j.dispatcher.config.Timeline.Record(timeline.KindTicket, j.request.ID, j.request.Class.Name, agent)
	}
}

// withdrawAll declines further grants and withdraws all pending tickets.
func (s *grantSearch) withdrawAll() {
	s.collector.close()
	for agent := range s.pending {
		s.job.dispatcher.config.Agents.Withdraw(agent, s.job.request.ID, s.job.attempt)
	}
}
