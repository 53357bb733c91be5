package isolation

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// planInterval is the least time between two decisions from the same list of servers: gateways
// learn of each other's load every 100 ms.
const planInterval = 100 * time.Millisecond

// budgetShare is the share of the pause target in which the tokens that wait at a reserved server
// must be prefilled. Other gateways may have sent prompts in the last 100 ms, and servers have slow
// phases: with 0.5 fewer streams are on time, with 0.1 far fewer long prompts.
const budgetShare = 0.25

// waitingShare is the share of its own pause target in which the tokens that wait at any server must
// be prefilled for a bound level. The rest is for decoding steps and for prompts that other gateways
// have sent since their last update.
const waitingShare = 0.6

// Planner plans for one service. The zero value is ready to use. Not safe for concurrent use.
type Planner struct {
	levels [policy.UrgencyLevels]level
	demand demand
	order  serverOrder
	holds  holds
	// plan is the last decision, made at plannedAt for the servers in planned.
	plan      Plan
	plannedAt time.Time
	planned   []plannedServer
}

// level is the state of one urgency level.
type level struct {
	evidence evidence
	// boundUntil is when long prompts are no longer bound by reservations for this level.
	boundUntil time.Time
}

// plannedServer is what a decision must not be out of date about.
type plannedServer struct {
	key    policy.Key
	usable bool
}

// ObserveStreams records streams of an urgency level. A stream is late if it had a pause over the
// target. Each stream is to be recorded once: a late one as soon as it is late.
func (p *Planner) ObserveStreams(now time.Time, urgency, late, onTime int) {
	if urgency >= 0 && urgency < policy.UrgencyLevels && late >= 0 && onTime >= 0 {
		p.levels[urgency].evidence.observe(now, late, onTime)
	}
}

// Plan decides which servers are reserved. It may be called for every request: a new decision is
// made only after planInterval, or at once if a server was added, removed or moved in the list or
// its Usable changed. Servers are sorted only if their order may have changed.
func (p *Planner) Plan(now time.Time, load *Load) Plan {
	if elapsed := now.Sub(p.plannedAt); p.isPlanned(load.Servers) && elapsed >= 0 && elapsed < planInterval {
		return p.plan
	}
	p.plan = p.decide(now, load)
	p.plannedAt = now
	p.planned = p.planned[:0]
	for i := range load.Servers {
		p.planned = append(p.planned, plannedServer{load.Servers[i].Key, load.Servers[i].Usable})
	}
	return p.plan
}

// isPlanned reports whether the last decision was made for these servers.
func (p *Planner) isPlanned(servers []Server) bool {
	if p.plannedAt.IsZero() || len(servers) != len(p.planned) {
		return false
	}
	for i := range servers {
		if p.planned[i] != (plannedServer{servers[i].Key, servers[i].Usable}) {
			return false
		}
	}
	return true
}

// decide makes a new decision.
func (p *Planner) decide(now time.Time, load *Load) Plan {
	plan := Plan{Reserved: make([]bool, len(load.Servers)), Budget: unboundedBudgets(len(load.Servers))}
	rate := load.prefillRate()
	protection := p.protect(now, load, rate, &plan)
	if !protection.any {
		p.demand = demand{}
	}
	p.holds.expire(now)
	if !protection.any && len(p.holds) == 0 {
		return plan
	}
	p.order.update(load.Servers)
	limit, weight := weightLimit(load.Servers), 0.0
	if protection.any {
		p.demand.follow(protection.demand, now.Sub(p.plannedAt))
		plan.RunningStreams, plan.PrefillTokensPerSecond = p.demand.streams, p.demand.tokensPerSecond
		plan.NeededForSlots, plan.NeededForPrefill = neededServers(p.order.sorted, load, p.demand)
		plan.Count, weight = reserve(p.order.sorted, load.Servers, max(plan.NeededForSlots, plan.NeededForPrefill), limit, plan.Reserved)
		p.setBudgets(load.Servers, budgetShare*toMillis(protection.pauseTarget)*rate, now.Add(holdTime(protection.streamTime)), &plan)
	}
	p.applyHolds(load.Servers, limit-weight, &plan)
	return plan
}

// protection summarizes the levels that are protected now.
type protection struct {
	any    bool
	demand demand
	// pauseTarget is the tightest target, and streamTime the longest mean time.
	pauseTarget, streamTime time.Duration
}

// protect decides which levels are protected and which are bound, and sets them in the plan. A
// level is protected only if another one is bound thereby, and if no more urgent one binds it.
func (p *Planner) protect(now time.Time, load *Load, rate float64, plan *Plan) protection {
	var result protection
	// Customers of different priority share a class, and the level of a few customers has too few streams
	// of its own: evidence counts for all levels whose target is no longer.
	lateTarget, late := p.longestLateTarget(now, load, rate), 0.0
	for i := range load.Classes {
		class, state := &load.Classes[i], &p.levels[i]
		if !class.protectable(rate) {
			continue
		}
		plan.RecentStreams += state.evidence.streams
		late += state.evidence.late
		bound, found := load.longPromptLevels(i, rate)
		if class.PauseTarget <= lateTarget && found && !plan.Bound[i] {
			plan.Protected[i] = true
			state.boundUntil = now.Add(holdTime(class.StreamTime))
			result.demand.add(class)
			result.streamTime = max(result.streamTime, class.StreamTime)
			if !result.any || class.PauseTarget < result.pauseTarget {
				result.pauseTarget = class.PauseTarget
			}
			result.any = true
		}
		if plan.Protected[i] || now.Before(state.boundUntil) {
			for j := range bound {
				plan.Bound[j] = plan.Bound[j] || bound[j]
			}
		}
	}
	for i, bound := range plan.Bound {
		if bound {
			plan.MaxWaitingTokens[i] = waitingShare * toMillis(max(load.Classes[i].PauseTarget, 0)) * rate
		}
	}
	if plan.RecentStreams > 0 {
		plan.LateShare = late / plan.RecentStreams
	}
	return result
}

// longestLateTarget returns the longest pause target of the levels that may be protected and for which
// there is evidence; 0 if there is none.
func (p *Planner) longestLateTarget(now time.Time, load *Load, rate float64) time.Duration {
	var bound [policy.UrgencyLevels]bool
	longest := time.Duration(0)
	for i := range load.Classes {
		class := &load.Classes[i]
		active := p.levels[i].evidence.active(now)
		if !class.protectable(rate) || bound[i] {
			continue
		}
		levels, binds := load.longPromptLevels(i, rate)
		if active && binds {
			longest = max(longest, class.PauseTarget)
		}
		for j := range levels {
			bound[j] = bound[j] || levels[j]
		}
	}
	return longest
}

// setBudgets sets the budgets of the reserved servers, which they keep until holdUntil if they
// leave. tokens is the budget of the average server.
func (p *Planner) setBudgets(servers []Server, tokens float64, holdUntil time.Time, plan *Plan) {
	if p.holds == nil {
		p.holds = holds{}
	}
	for i := range servers {
		if plan.Reserved[i] {
			plan.Budget[i] = tokens * servers[i].weight()
			p.holds.renew(servers[i].Key, plan.Budget[i], holdUntil)
		}
	}
}

// applyHolds sets the budgets of servers that have left the reservation, in the order of
// reservation and up to a sum of weights: all servers with a budget together stay within
// maxReservedShare.
func (p *Planner) applyHolds(servers []Server, limit float64, plan *Plan) {
	if len(p.holds) == plan.Count {
		return
	}
	for _, at := range p.order.sorted {
		s := &servers[at.index]
		held, found := p.holds[s.Key]
		if !found || plan.Reserved[at.index] || !s.Usable || s.weight() > limit {
			continue
		}
		plan.Budget[at.index] = held.budget
		plan.Held++
		limit -= s.weight()
	}
}
