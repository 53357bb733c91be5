package policy

import (
	"testing"
	"time"
)

func TestEjectionDoublesAndRecovers(t *testing.T) {
	e := NewEjector()
	now := testStart
	for range ejectAfterFailures - 1 {
		e.Observe(now, "a", OutcomeFailed)
	}
	if e.Ejected(now, "a") {
		t.Fatalf("ejected after %d failures", ejectAfterFailures-1)
	}
	for duration := minEjection; duration <= maxEjection; duration *= 2 {
		e.Observe(now, "a", OutcomeFailed)
		if !e.Ejected(now.Add(duration-1), "a") || e.Ejected(now.Add(duration), "a") {
			t.Fatalf("not ejected for exactly %v", duration)
		}
		now = now.Add(duration)
	}
	for range healthyAfter {
		e.Observe(now, "a", OutcomeComplete)
	}
	if len(e.records) != 0 {
		t.Errorf("a healthy engine still has a record")
	}
}

func TestEjectionByFailureShare(t *testing.T) {
	e := NewEjector()
	for i := range 40 {
		o := OutcomeComplete
		if i%3 > 0 {
			o = OutcomeFailed
		}
		e.Observe(testStart, "flaky", o)
		e.Observe(testStart, "cancelled", OutcomeCancelled)
		e.Observe(testStart, "lapsed", OutcomeLapsed)
	}
	if !e.Ejected(testStart, "flaky") || e.Ejected(testStart, "cancelled") || e.Ejected(testStart, "lapsed") {
		t.Errorf("want only the engine with failures ejected; records %v", e.records)
	}
	e.RemoveEngine("flaky")
	if e.Ejected(testStart, "flaky") {
		t.Errorf("still ejected after RemoveEngine")
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	allowed := 0
	for range 1000 {
		b.CountRequest(testStart)
		if b.Allow(testStart) {
			allowed++
		}
	}
	if allowed < 100 || allowed > 100+maxRetryBalance {
		t.Errorf("%d retries allowed for 1000 requests", allowed)
	}
	if b.Allow(testStart) || !b.Allow(testStart.Add(time.Minute)) {
		t.Errorf("a retry is allowed although the budget is used up, or none after an idle minute")
	}
}

func TestCombineRetryAfter(t *testing.T) {
	refusals := []Decision{{RetryAfter: 9 * time.Second}, {RetryAfter: 4 * time.Second}, {RetryAfter: 30 * time.Second}}
	for n, want := range map[int]time.Duration{1: 9 * time.Second, 2: 9 * time.Second, 3: 9 * time.Second} {
		if got := CombineRetryAfter(refusals[:n]); got != want {
			t.Errorf("%d refusals: got %v, want %v", n, got, want)
		}
	}
	if got := CombineRetryAfter(refusals[1:]); got != 30*time.Second {
		t.Errorf("got %v, want the later of two", got)
	}
	if CombineRetryAfter(nil) != minRetryAfter {
		t.Errorf("got %v without refusals", CombineRetryAfter(nil))
	}
}
