package router

import (
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// choose has the policy choose a server; nil when there is none to be used.
func (c *call) choose() (*backend.Server, policy.Choice) {
	servers, facts := c.router.Registry.Servers(c.service), c.facts()
	c.shared = shared(c.ask.Parts, c.ask.PromptTokens)
	first := len(c.tried) == 0 && !c.redialed
	if first {
		c.meanTokens = c.router.meanTokens(c.service, c.route.Name, c.ask.PromptTokens)
	}
	job := policy.Job{
		Zone: c.router.Zone, Urgency: c.urgency, Target: c.route.Target,
		Tokens: c.ask.PromptTokens, MeanTokens: c.meanTokens, Shared: c.shared, FetchRate: facts.FetchRate, Tried: c.tried,
	}
	choice := c.pick(job, c.router.loads(servers, facts.MaxConns), first)
	if !choice.Found {
		return nil, choice
	}
	c.server, c.expected = servers[choice.At].Info().ID, choice.Expected
	c.prefill, c.ahead = choice.Prefill, int(choice.Ahead)-choice.Prefill
	c.fetchFrom = ""
	if choice.Fetches {
		c.fetchFrom = servers[choice.From].Info().Addr
	}
	return servers[choice.At], choice
}

// pick has the policy choose among the servers that the request doesn't avoid, and where none
// of these admits it, among all.
func (c *call) pick(job policy.Job, loads []policy.Server, first bool) policy.Choice {
	if avoided := c.avoided(loads); len(avoided) > 0 {
		apart := job
		apart.Tried = append(avoided, job.Tried...)
		if choice := c.router.pick(c.service, apart, c.route.Pause, loads, first); choice.Found && c.letIn(choice) {
			return choice
		}
		// It has been counted as offered.
		first = false
	}
	return c.router.pick(c.service, job, c.route.Pause, loads, first)
}

// facts is what operators say of the service; of one that they don't list
// nothing is known.
func (c *call) facts() routes.Service {
	if set := c.router.Holder.Current(); set != nil && set.Services[c.service] != nil {
		return *set.Services[c.service]
	}
	return routes.Service{}
}

// letIn reports whether the request is let in at the chosen server. What was
// sent before is: it has used up time and work that would be lost.
func (c *call) letIn(choice policy.Choice) bool {
	return choice.InTime || c.sends > 0 || c.ask.PromptTokens == 0 && choice.Room
}

// crowded refuses a request that isn't let in, and says what is lacking.
func (c *call) crowded(choice policy.Choice) {
	reason := ReasonCrowded
	if choice.OnlySlots {
		reason = ReasonNoSlot
	}
	c.refuse(reason, policy.ComeBack(c.route.Target))
}

// beyondLimits refuses a request for which no server's limit has room left.
func (c *call) beyondLimits(choice policy.Choice) {
	c.refuse(ReasonLimits, max(policy.ComeBack(c.route.Target), choice.FreeIn))
}
