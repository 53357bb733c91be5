package router

import "github.com/applepier/applepier/policy"

// budgetUse is the part of the shared retry budget that is spent: gateways
// count in windows of their own, and one may not know all others.
const budgetUse = 0.75

// service is what a Router has learned of one service.
type service struct {
	budget policy.WindowBudget
	// rates are by urgency: what is less urgent waits for all that comes after it
	// and is more so, which its rate includes.
	rates    [policy.UrgencyLevels]policy.PrefillRate
	sends    policy.SendRate
	pauses   policy.Pauses
	shortage policy.ShortageCount
	yielding policy.Yielding
	// sizes are of prompts, by route.
	sizes policy.ClassSizes
}

// service returns what is known of a service; r.mu is held.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// budget returns a service's retry budget as the bounds in force make it; r.mu
// is held.
func (r *Router) budget(name string) *policy.WindowBudget {
	bounds := r.Bounds()
	b := &r.service(name).budget
	b.Window = bounds.RetryWindow
	b.Ratio = budgetUse * bounds.RetryRatio
	b.Extra = budgetUse * bounds.RetryExtra / float64(max(r.Gateways(), 1))
	return b
}
