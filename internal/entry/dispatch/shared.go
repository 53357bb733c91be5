package dispatch

import (
	"sync"
	"time"

	"github.com/applepier/applepier/policy"
)

// shared guards the policies that all requests of an entry share. Its lock is
// a leaf: nothing else is locked under it.
type shared struct {
	mu      sync.Mutex
	placer  *policy.Placer
	ejector *policy.Ejector
	budget  *policy.RetryBudget
}

func (s *shared) fresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Fresh(now)
}

func (s *shared) allowRetry(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(now)
}

func (s *shared) observe(now time.Time, agent string, o policy.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.Observe(now, agent, o)
}

func (s *shared) pick(now time.Time, want policy.Placement, all []policy.Candidate, n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Pick(now, want, all, n)
}

func (s *shared) forget(agent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.Forget(agent)
}
