package dispatch

import (
	"sync"
	"time"

	"github.com/applepier/applepier/policy"
)

// sharedPolicies serializes access to the policies that all requests of an entry
// share. Its lock is a leaf: no other lock is acquired under it.
type sharedPolicies struct {
	mu      sync.Mutex
	placer  *policy.Placer
	ejector *policy.Ejector
	budget  *policy.RetryBudget
}

// recordRequest counts a new request, which adds to the retry budget.
func (s *sharedPolicies) recordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.CountRequest(now)
}

// allowRetry takes a retry from the budget; it returns false if there is none.
func (s *sharedPolicies) allowRetry(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(now)
}

func (s *sharedPolicies) recordOutcome(now time.Time, agent string, outcome policy.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.Observe(now, agent, outcome)
}

func (s *sharedPolicies) pickAgents(now time.Time, placement policy.PlacementRequest, candidates []policy.Candidate, n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Pick(now, placement, candidates, n)
}

func (s *sharedPolicies) forgetAgent(agent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.RemoveEngine(agent)
}
