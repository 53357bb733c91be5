package router

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// serviceState is what a Router has learned about one service.
type serviceState struct {
	retryBudget *policy.DistributedRetryBudget
	// exhaustionReportedAt is when the Observer was last notified that retryBudget was exhausted.
	exhaustionReportedAt time.Time
	// prefillRates holds the prefill rates by urgency. Less urgent requests also wait for more
	// urgent ones that arrive later, and their rate includes that wait.
	prefillRates [policy.UrgencyLevels]policy.PrefillRate
	sendRate     policy.SendRate
	pauses       policy.PauseEstimator
	serverSpeeds serverSpeeds
	reservation  reservation
	offerCounter policy.OfferCounter
	headroom     policy.AdaptiveHeadroom
	zones        zoneRouting
	// promptSizes holds the mean prompt lengths by route, in tokens.
	promptSizes policy.ClassSizes
	// times holds how long requests take by route.
	times policy.ClassTimes
}

// serviceFor returns the state of a service and creates it if needed. r.mu must be held.
func (r *Router) serviceFor(name string) *serviceState {
	s := r.services[name]
	if s == nil {
		s = &serviceState{retryBudget: policy.NewDistributedRetryBudget(r.Random)}
		r.services[name] = s
	}
	return s
}

// retryBudget returns a service's retry budget, set to the current bounds. r.mu must be held.
func (r *Router) retryBudget(name string) *policy.DistributedRetryBudget {
	bounds := r.Bounds()
	budget := r.serviceFor(name).retryBudget
	budget.SetBound(policy.RetryBound{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow}, r.KnownGateways())
	return budget
}
