package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestProbeKeepsTimeBetweenTokens simulates times between tokens that just meet the
// target with eight streams and miss it with more: no probe of a higher limit may
// succeed.
func TestProbeKeepsTimeBetweenTokens(t *testing.T) {
	const target = 48 * time.Millisecond
	s := NewScheduler()
	s.limiter.ramping = false
	now := testStart
	var streams []string
	offerAndGrant := func(ticketNumber int) {
		s.Offer(now, Ticket{ID: fmt.Sprint(ticketNumber), Class: "question", Tier: 2, Preemptible: true, BetweenTokens: target})
		for next, ok := s.Next(now); ok; next, ok = s.Next(now) {
			s.Started(now, next.ID)
			streams = append(streams, next.ID)
		}
	}
	for round := range 400 {
		offerAndGrant(round)
		now = now.Add(time.Duration(len(streams)) * target / initialLimit)
		for _, id := range streams {
			s.Tokens(now, id, 1)
		}
		if round > 2*initialLimit {
			s.Finished(now, streams[0], OutcomeComplete)
			streams = streams[1:]
		}
		if s.limiter.limit > initialLimit {
			t.Fatalf("limit %d after %v, want %d at most", s.limiter.limit, now.Sub(testStart), initialLimit)
		}
	}
}
