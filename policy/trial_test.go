package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestTrialKeepsTimeBetweenTokens gives tokens that are just in time with
// eight streams and late with more: no trial may count as proven.
func TestTrialKeepsTimeBetweenTokens(t *testing.T) {
	const target = 48 * time.Millisecond
	s := NewScheduler()
	s.limiter.ramping = false
	now := testStart
	var streams []string
	serve := func(offered int) {
		s.Offer(now, Ticket{ID: fmt.Sprint(offered), Class: "question", Tier: 2, Preemptible: true, BetweenTokens: target})
		for next, ok := s.Next(now); ok; next, ok = s.Next(now) {
			s.Started(now, next.ID)
			streams = append(streams, next.ID)
		}
	}
	for offered := range 400 {
		serve(offered)
		now = now.Add(time.Duration(len(streams)) * target / coldLimit)
		for _, id := range streams {
			s.Tokens(now, id, 1)
		}
		if offered > 2*coldLimit {
			s.Finished(now, streams[0], OutcomeWhole)
			streams = streams[1:]
		}
		if s.limiter.limit > coldLimit {
			t.Fatalf("limit %d after %v, want %d at most", s.limiter.limit, now.Sub(testStart), coldLimit)
		}
	}
}
