package policy

import (
	"testing"
	"time"
)

func TestEjectionDoublesAndHeals(t *testing.T) {
	e := NewEjector()
	now := testStart
	for range ejectAfter - 1 {
		e.Observe(now, "a", OutcomeFailed)
	}
	if e.Ejected(now, "a") {
		t.Fatalf("ejected after %d failures", ejectAfter-1)
	}
	for pause := ejectFirst; pause <= ejectLongest; pause *= 2 {
		e.Observe(now, "a", OutcomeFailed)
		if !e.Ejected(now.Add(pause-1), "a") || e.Ejected(now.Add(pause), "a") {
			t.Fatalf("not ejected for %v", pause)
		}
		now = now.Add(pause)
	}
	for range ejectTrust {
		e.Observe(now, "a", OutcomeWhole)
	}
	if len(e.records) != 0 {
		t.Errorf("a healthy engine has a record")
	}
}

func TestEjectionBySharesOnly(t *testing.T) {
	e := NewEjector()
	for i := range 40 {
		o := OutcomeWhole
		if i%3 > 0 {
			o = OutcomeFailed
		}
		e.Observe(testStart, "flaky", o)
		e.Observe(testStart, "cancelled", OutcomeCancelled)
		e.Observe(testStart, "lapsed", OutcomeLapsed)
	}
	if !e.Ejected(testStart, "flaky") || e.Ejected(testStart, "cancelled") || e.Ejected(testStart, "lapsed") {
		t.Errorf("records %v", e.records)
	}
	e.Forget("flaky")
	if e.Ejected(testStart, "flaky") {
		t.Errorf("ejected after it left")
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	allowed := 0
	for range 1000 {
		b.Fresh(testStart)
		if b.Allow(testStart) {
			allowed++
		}
	}
	if allowed < 100 || allowed > 100+retryReserve {
		t.Errorf("%d retries of 1000 fresh requests", allowed)
	}
	if b.Allow(testStart) || !b.Allow(testStart.Add(time.Minute)) {
		t.Errorf("a quiet service gets no retry")
	}
}

func TestHint(t *testing.T) {
	refusals := []Decision{{RetryAfter: 9 * time.Second}, {RetryAfter: 4 * time.Second}, {RetryAfter: 30 * time.Second}}
	for n, want := range map[int]time.Duration{1: 9 * time.Second, 2: 9 * time.Second, 3: 9 * time.Second} {
		if got := Hint(refusals[:n]); got != want {
			t.Errorf("of %d: got %v, want %v", n, got, want)
		}
	}
	if got := Hint(refusals[1:]); got != 30*time.Second {
		t.Errorf("of two the later: got %v", got)
	}
	if Hint(nil) != minRetryAfter {
		t.Errorf("got %v for none", Hint(nil))
	}
}
