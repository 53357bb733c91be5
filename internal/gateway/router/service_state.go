package router

import "github.com/applepier/applepier/policy"

// budgetUse is the part of the shared retry budget that is spent: gateways
// count in windows of their own, and one may not know all others.
const retryBudgetShare = 0.75

// service is what a Router has learned of one service.
type serviceState struct {
	retryBudget policy.WindowBudget
	// rates are by urgency: what is less urgent waits for all that comes after it
	// and is more so, which its rate includes.
	prefillRates [policy.UrgencyLevels]policy.PrefillRate
	sendRate     policy.SendRate
	pauses       policy.Pauses
	shortage     policy.ShortageCount
	headroom     policy.Yielding
	// sizes are of prompts, by route.
	promptSizes policy.ClassSizes
}

// service returns what is known of a service; r.mu is held.
func (r *Router) serviceFor(name string) *serviceState {
	s := r.services[name]
	if s == nil {
		s = &serviceState{}
		r.services[name] = s
	}
	return s
}

// budget returns a service's retry budget as the bounds in force make it; r.mu
// is held.
func (r *Router) retryBudget(name string) *policy.WindowBudget {
	bounds := r.Bounds()
	budget := &r.serviceFor(name).retryBudget
	budget.Window = bounds.RetryWindow
	budget.Ratio = retryBudgetShare * bounds.RetryRatio
	budget.Extra = retryBudgetShare * bounds.RetryExtra / float64(max(r.Gateways(), 1))
	return budget
}
