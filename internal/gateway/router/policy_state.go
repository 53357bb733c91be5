package router

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/isolation"
)

// serverLoads returns the servers with the load of all gateways, as input for the policy. maxConns
// is the number of connections that each server accepts; 0 if unknown.
func (r *Router) serverLoads(servers []*backend.Server, maxConns int) []policy.Server {
	loads := make([]policy.Server, len(servers))
	now := time.Now()
	for i, s := range servers {
		info := s.Info()
		counts := r.Peers.LoadAt(info.ID)
		ownCounts := s.Load.Counts(now)
		counts.Add(&ownCounts, 1)
		loads[i] = policy.Server{
			Name: info.ID, Instance: info.InstanceKey(), Zone: info.Zone, Slots: info.Slots, MaxConns: maxConns,
			Version: versionKey(s), Draining: info.Draining, Warming: info.WarmupLeft > 0,
			Running: counts.Running, Pending: counts.Pending,
		}
	}
	return loads
}

// versionKey returns the key of a server's software version. It is 0, like that of an unknown version,
// for an instance that has ended: another one may have started at its address that isn't listed yet.
func versionKey(s *backend.Server) policy.Key {
	if s.HasEnded() {
		return 0
	}
	return s.Info().VersionKey()
}

// observePromptSize returns the prompt length, in tokens, that admission uses for a new request:
// about the mean of its route, or 0 without a prompt. It then adds the request's own length to that
// mean.
func (r *Router) observePromptSize(service, route string, tokens int) float64 {
	if tokens == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := &r.serviceFor(service).promptSizes
	mean := sizes.Mean(route, tokens)
	sizes.Observe(route, tokens)
	return mean
}

// planPrefill records that the request is sent to the chosen server, and returns when that server
// is expected to prefill its prompt.
func (r *Router) planPrefill(c *call, choice policy.Choice) policy.PrefillPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.serviceFor(c.service), time.Now()
	s.sendRate.CountSent(now, c.urgency, choice.PrefillTokens)
	if c.params.PromptTokens > 0 {
		s.reservation.classes[c.urgency].observePrefill(choice.PrefillTokens)
	}
	s.zones.observeSent(c.urgency, choice.PrefillTokens, len(c.body))
	r.PrefixIndex.RecordSent(now, policy.KeyOf(c.serverID), c.sharedSegments)
	return s.prefillRates[c.urgency].PlanChoice(now, choice)
}

// runChooser has the policy choose a server. Only the first choice for a request counts as an offer
// and must be marked by firstChoice. pauseTarget is the route's target for pauses between events; 0
// means none.
func (r *Router) runChooser(service string, job policy.Job, pauseTarget time.Duration, loads []policy.Server, firstChoice bool) policy.Choice {
	r.assignZone(service, &job, loads)
	choice, plan, report := r.lockAndChoose(service, job, pauseTarget, loads, firstChoice)
	if report {
		r.Observer.ServersReserved(service, plan)
	}
	return choice
}

// lockAndChoose does the part of runChooser that needs r.mu. It also returns the plan of reserved servers and
// whether it is to be reported.
func (r *Router) lockAndChoose(service string, job policy.Job, pauseTarget time.Duration, loads []policy.Server, firstChoice bool) (choice policy.Choice, plan isolation.Plan, report bool) {
	offerCounts := r.Peers.OfferCounts(service)
	now, otherGateways := time.Now(), float64(r.Peers.LiveGateways()-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serviceFor(service)
	ownCounts := s.offerCounter.Counts(now)
	requests, tokens := s.sendRate.ExpectedElsewhere(now, r.Peers.ReportInterval(), job.Urgency, &ownCounts, &offerCounts)
	// Requests are counted over the whole interval between updates. Tokens are counted over half of
	// it, the mean age of updates.
	job.UnreportedRequests, job.UnreportedTokens, job.ReportAge = requests, tokens/2, r.Peers.ReportInterval()/2
	job.UnreportedOffers, job.OtherGateways = offerCounts.Expected(r.Peers.ReportInterval()), otherGateways
	othersOffers := offerCounts
	offerCounts.Add(&ownCounts, 1)
	r.setAllowances(now, loads)
	for i := range loads {
		server := policy.KeyOf(loads[i].Name)
		loads[i].PauseRisk = s.pauses.ExcessRisk(now, server, job.Urgency, pauseTarget)
		loads[i].Unresponsive = r.unresponsive.Excluded(now, server)
		loads[i].BackoffLeft = r.backoffs.Left(now, loads[i].Instance)
	}
	s.serverSpeeds.setSlowdowns(now, loads)
	plan, report = r.reserveServers(now, service, &job, pauseTarget, loads, &offerCounts, &othersOffers)
	job.Headroom = s.headroom.Share(now, &offerCounts, policy.SlotUtilization(loads), job.Urgency)
	r.limits.MarkOverLimit(now, r.Random, &job, loads)
	choice = r.Chooser.Choose(now, job, loads, &s.prefillRates[job.Urgency])
	if firstChoice {
		// A bound job without a slot says little about the service: its version may have few servers.
		s.offerCounter.Observe(now, job.Urgency, !job.Bound && (choice.SlotLimited || choice.RateLimited))
	}
	if choice.Found && (choice.InTime || !firstChoice || job.Tokens == 0 && choice.HasCapacity) {
		r.countLimitedSend(now, &loads[choice.Index])
	}
	return choice, plan, report
}

// OfferCounts returns this gateway's recent counts of offers by service.
func (r *Router) OfferCounts() map[string]policy.OfferCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	countsByService := make(map[string]policy.OfferCounts, len(r.services))
	for name, s := range r.services {
		countsByService[name] = s.offerCounter.Counts(now)
	}
	return countsByService
}

// observeFirstToken records the time to first token. The server had to prefill tokensAhead tokens
// before that token, the request's own included and multiplied by the slowdown. From now on it counts as
// having the shared segments of the prompt cached.
func (r *Router) observeFirstToken(c *call, tokensAhead float64, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.serviceFor(c.service).prefillRates[c.urgency].Observe(now, tokensAhead, elapsed)
	r.updates.addFirstToken(policy.TTFTSample{Service: policy.KeyOf(c.service), Server: policy.KeyOf(c.serverID), Urgency: c.urgency, TokensAhead: tokensAhead, Latency: elapsed})
	r.PrefixIndex.RecordPrefilled(now, policy.KeyOf(c.serverID), c.sharedSegments)
}

// recordResponse records that a server has begun to respond to a request.
func (r *Router) recordResponse(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive.RecordResponse(policy.KeyOf(server))
}

// observePause records the longest pause of a complete stream. It ignores streams that were sent to
// several servers, and those with fewer than minPauses pauses.
func (r *Router) observePause(c *call) {
	if c.route.PauseTarget == 0 || c.sends > 1 || c.stream.pauseCount < minPauses {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := policy.Pause{
		Service: policy.KeyOf(c.service), Server: policy.KeyOf(c.serverID), Urgency: c.urgency, Longest: c.stream.longestPause,
	}
	r.serviceFor(c.service).pauses.Observe(time.Now(), pause)
	r.updates.addPause(pause)
}

// MergeUpdates applies the updates of another gateway.
func (r *Router) MergeUpdates(updates policy.PeerUpdate) {
	if len(updates.Suspicions) > 0 {
		r.MergeSuspicions(updates.Suspicions)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.PrefixIndex.Merge(now, updates.PrefixUses)
	r.limits.Merge(updates.Limits)
	for _, f := range updates.FirstTokens {
		r.unresponsive.RecordResponse(f.Server)
		if s := r.serviceByKey(f.Service); s != nil {
			s.prefillRates[f.Urgency].Observe(now, f.TokensAhead, f.Latency)
		}
	}
	for _, server := range updates.Unanswered {
		r.unresponsive.RecordNoResponse(now, server)
	}
	for _, p := range updates.Pauses {
		if s := r.serviceByKey(p.Service); s != nil {
			s.pauses.Observe(now, p)
		}
	}
	r.mergeEventIntervals(now, updates.EventIntervals)
	for _, counts := range updates.PauseCounts {
		if s := r.serviceByKey(counts.Service); s != nil {
			s.reservation.observePauses(now, counts)
		}
	}
}

// serviceByKey returns the state of a service by its key, or nil if this gateway has had no request
// for it. r.mu must be held.
func (r *Router) serviceByKey(key policy.Key) *serviceState {
	for name, s := range r.services {
		if policy.KeyOf(name) == key {
			return s
		}
	}
	return nil
}

// TakeUpdates returns the updates to send to other gateways. It removes the samples that it
// returns.
func (r *Router) TakeUpdates() policy.PeerUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	samples, now := r.updates.takeAll(), time.Now()
	return policy.PeerUpdate{
		PrefixUses: r.PrefixIndex.Updates(now), FirstTokens: samples.firstTokens, Pauses: samples.pauses, EventIntervals: samples.meanEventIntervals(), PauseCounts: samples.pauseCounts, Unanswered: samples.unanswered,
		Suspicions: r.quarantine.Updates(now), Limits: r.limits.Reports(now),
	}
}

// recordUnreachable records that no connection to a server could be opened. The server may have
// crashed, and then its prefix cache is empty after the restart.
func (r *Router) recordUnreachable(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Observe(time.Now(), server, policy.OutcomeFailed)
	r.PrefixIndex.RemoveServer(policy.KeyOf(server))
	r.recordNoResponse(server)
}

// recordUnanswered records that a server did not respond to a request.
func (r *Router) recordUnanswered(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Observe(time.Now(), server, policy.OutcomeFailed)
	r.recordNoResponse(server)
}

// recordTooLarge records that a response of a server exceeded a limit, with the reason.
func (r *Router) recordTooLarge(server, reason string) {
	r.observeOutcome(server, policy.OutcomeFailed)
	r.Observer.ResponseTooLarge(server, reason)
}

// recordNoResponse records, for this gateway and for the next update to others, that a server did not
// respond. r.mu must be held.
func (r *Router) recordNoResponse(server string) {
	key := policy.KeyOf(server)
	r.unresponsive.RecordNoResponse(time.Now(), key)
	r.updates.addUnanswered(key)
}

// observeOutcome records the outcome of an attempt for ejection.
func (r *Router) observeOutcome(server string, outcome policy.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.Observe(time.Now(), server, outcome)
}

// ForgetServer discards what was learned about a server that is no longer listed.
func (r *Router) ForgetServer(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ejector.RemoveEngine(server)
	r.unresponsive.RemoveServer(policy.KeyOf(server))
	r.PrefixIndex.RemoveServer(policy.KeyOf(server))
	for _, s := range r.services {
		s.pauses.RemoveServer(policy.KeyOf(server))
		s.serverSpeeds.remove(policy.KeyOf(server))
	}
}

// countRequest counts a request, which adds to the retries that the service's retry budget allows.
func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).CountRequest(time.Now())
}

// retryAvailable reports whether the service's retry budget allows a retry now.
func (r *Router) retryAvailable(service string) bool {
	return r.queryRetryBudget(service, (*policy.DistributedRetryBudget).Available)
}

// allowRetry takes one retry from the service's retry budget, and reports whether it could.
func (r *Router) allowRetry(service string) bool {
	return r.queryRetryBudget(service, (*policy.DistributedRetryBudget).Allow)
}

// queryRetryBudget returns the result of a query of the service's retry budget. If it is false, the
// Observer is notified, once in a window of the budget.
func (r *Router) queryRetryBudget(service string, query func(*policy.DistributedRetryBudget, time.Time) bool) bool {
	r.mu.Lock()
	now, budget := time.Now(), r.retryBudget(service)
	allowed, usage := query(budget, now), budget.Usage(now)
	state := r.serviceFor(service)
	report := !allowed && now.Sub(state.exhaustionReportedAt) >= r.Bounds().RetryWindow
	if report {
		state.exhaustionReportedAt = now
	}
	r.mu.Unlock()
	if report {
		r.Observer.RetryBudgetExhausted(service, usage, r.KnownGateways())
	}
	return allowed
}
