package router

import (
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// choose has the policy choose a server; nil when there is none to be used.
func (c *call) chooseServer() (*backend.Server, policy.Choice) {
	servers, service := c.router.Registry.Servers(c.service), c.serviceConfig()
	c.sharedParts = clampSharedParts(c.params.Parts, c.params.PromptTokens)
	firstChoice := len(c.triedServers) == 0 && !c.retriedUnreachable
	if firstChoice {
		c.meanTokens = c.router.observePromptSize(c.service, c.route.Name, c.params.PromptTokens)
	}
	job := policy.Job{
		Zone: c.router.Zone, Urgency: c.urgency, Target: c.route.Target,
		Tokens: c.params.PromptTokens, MeanTokens: c.meanTokens, Shared: c.sharedParts, FetchRate: service.FetchRate, Tried: c.triedServers,
	}
	choice := c.chooseWithAvoidance(job, c.router.serverLoads(servers, service.MaxConns), firstChoice)
	if !choice.Found {
		return nil, choice
	}
	c.serverID, c.expectedFirstToken = servers[choice.At].Info().ID, choice.Expected
	c.prefillTokens, c.tokensAhead = choice.Prefill, int(choice.Ahead)-choice.Prefill
	c.fetchFrom = ""
	if choice.Fetches {
		c.fetchFrom = servers[choice.From].Info().Addr
	}
	return servers[choice.At], choice
}

// pick has the policy choose among the servers that the request doesn't avoid, and where none
// of these admits it, among all.
func (c *call) chooseWithAvoidance(job policy.Job, loads []policy.Server, firstChoice bool) policy.Choice {
	if avoided := c.serversToAvoid(loads); len(avoided) > 0 {
		avoiding := job
		avoiding.Tried = append(avoided, job.Tried...)
		if choice := c.router.runChooser(c.service, avoiding, c.route.Pause, loads, firstChoice); choice.Found && c.admitted(choice) {
			return choice
		}
		// It has been counted as offered.
		firstChoice = false
	}
	return c.router.runChooser(c.service, job, c.route.Pause, loads, firstChoice)
}

// facts is what operators say of the service; of one that they don't list
// nothing is known.
func (c *call) serviceConfig() routes.Service {
	if set := c.router.Holder.Current(); set != nil && set.Services[c.service] != nil {
		return *set.Services[c.service]
	}
	return routes.Service{}
}

// letIn reports whether the request is let in at the chosen server. What was
// sent before is: it has used up time and work that would be lost.
func (c *call) admitted(choice policy.Choice) bool {
	return choice.InTime || c.sends > 0 || c.params.PromptTokens == 0 && choice.Room
}

// crowded refuses a request that isn't let in, and says what is lacking.
func (c *call) refuseNoCapacity(choice policy.Choice) {
	reason := ReasonCrowded
	if choice.OnlySlots {
		reason = ReasonNoFreeSlot
	}
	c.refuse(reason, policy.ComeBack(c.route.Target))
}

// beyondLimits refuses a request for which no server's limit has room left.
func (c *call) refuseServerLimits(choice policy.Choice) {
	c.refuse(ReasonServerLimits, max(policy.ComeBack(c.route.Target), choice.FreeIn))
}
