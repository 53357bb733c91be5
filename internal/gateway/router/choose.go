package router

import (
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// chooseServer has the policy choose a server. It returns nil if no server is usable.
func (c *call) chooseServer() (*backend.Server, policy.Choice) {
	servers, service := c.router.Registry.Servers(c.service), c.serviceConfig()
	c.sharedSegments = clampSharedSegments(c.params.PromptSegments, c.params.PromptTokens)
	firstChoice := len(c.triedServers) == 0 && !c.retriedUnreachable
	if firstChoice {
		c.meanTokens = c.router.observePromptSize(c.service, c.route.Name, c.params.PromptTokens)
	}
	job := policy.Job{
		Zone: c.router.Zone, Urgency: c.urgency, Target: c.route.LatencyTarget,
		Tokens: c.params.PromptTokens, MeanTokens: c.meanTokens, SharedSegments: c.sharedSegments, FetchRate: service.FetchRate, Tried: c.triedServers,
		Bound: c.binding.bound, Version: c.binding.origin.Version,
	}
	loads := c.router.serverLoads(servers, service.MaxConns)
	choice := c.chooseWithAvoidance(job, loads, firstChoice)
	if !choice.Found {
		return nil, choice
	}
	c.serverID, c.expectedTTFT = servers[choice.Index].Info().ID, choice.ExpectedTTFT
	c.serverReserved = loads[choice.Index].Reserved
	info := servers[choice.Index].Info()
	c.serverVersion, c.serverVersionKey = info.SoftwareVersion, info.VersionKey()
	c.prefillTokens, c.otherTokensAhead = choice.PrefillTokens, int(choice.QueuedTokens)
	c.fetchFrom = ""
	if choice.Fetches {
		c.fetchFrom = servers[choice.FetchFrom].Info().Addr
	}
	return servers[choice.Index], choice
}

// chooseWithAvoidance has the policy choose among the servers outside serversToAvoid. If the request
// is not admitted at any of them, the policy chooses among all servers.
func (c *call) chooseWithAvoidance(job policy.Job, loads []policy.Server, firstChoice bool) policy.Choice {
	if avoided := c.serversToAvoid(loads); len(avoided) > 0 {
		avoiding := job
		avoiding.Tried = append(avoided, job.Tried...)
		if choice := c.router.runChooser(c.service, avoiding, c.route.PauseTarget, loads, firstChoice); choice.Found && c.admitted(choice) {
			return choice
		}
		// The first call has already counted the request as offered.
		firstChoice = false
	}
	return c.router.runChooser(c.service, job, c.route.PauseTarget, loads, firstChoice)
}

// serviceConfig returns the service's entry in the desired state, or a zero Service if there is
// none.
func (c *call) serviceConfig() routes.Service {
	if snapshot := c.router.Holder.Current(); snapshot != nil && snapshot.Services[c.service] != nil {
		return *snapshot.Services[c.service]
	}
	return routes.Service{}
}

// admitted reports whether the request is admitted at the chosen server. Without a prompt, or if it
// resumes a stream whose first token the caller already has, it needs only capacity there. A request
// that was sent before is always admitted: rejecting it would waste the time and work already spent.
func (c *call) admitted(choice policy.Choice) bool {
	return choice.InTime || c.sends > 0 || (c.params.PromptTokens == 0 || c.binding.bound) && choice.HasCapacity
}

// refuseNoCapacity refuses a request that is not admitted. The reason says whether slots or time
// are short.
func (c *call) refuseNoCapacity(choice policy.Choice) {
	reason := ReasonNoCapacity
	if choice.SlotLimited {
		reason = ReasonNoFreeSlot
	}
	c.refuse(reason, policy.RetryDelay(c.route.LatencyTarget))
}

// refuseServerLimits refuses a request because all servers have reached their rate limits.
func (c *call) refuseServerLimits(choice policy.Choice) {
	c.refuse(ReasonServerLimits, max(policy.RetryDelay(c.route.LatencyTarget), choice.AvailableIn))
}
