package policy

import (
	"testing"
	"time"
)

func TestSlidingRetryBudget(t *testing.T) {
	b := SlidingRetryBudget{Ratio: 0.2, Extra: 3, Window: 10 * time.Second}
	allowed := func(now time.Time, attempts int) int {
		n := 0
		for range attempts {
			if b.Allow(now) {
				n++
			}
		}
		return n
	}
	if n := allowed(testStart, 10); n != 3 {
		t.Errorf("%d retries without requests, Extra allows 3", n)
	}
	for range 100 {
		b.CountRequest(testStart)
	}
	if n := allowed(testStart.Add(time.Second), 100); n != 20 {
		t.Errorf("%d retries for 100 requests beside the 3 of Extra, want 20", n)
	}
	if n := allowed(testStart.Add(9*time.Second), 100); n != 0 {
		t.Errorf("%d more retries within the window", n)
	}
	if n := allowed(testStart.Add(11500*time.Millisecond), 100); n != 3 {
		t.Errorf("%d retries in the next window, Extra allows 3", n)
	}
}

// In any span of the window's length, no more retries are spent than the budget earned by the
// requests in that span and in the window before it.
func TestSlidingRetryBudgetHoldsInAnySpan(t *testing.T) {
	b := SlidingRetryBudget{Ratio: 0.2, Extra: 2, Window: 10 * time.Second}
	var retries []time.Duration
	for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
		if at < 20*time.Second {
			b.CountRequest(testStart.Add(at))
		}
		if b.Allow(testStart.Add(at)) {
			retries = append(retries, at)
		}
	}
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at-from < b.Window {
				n++
			}
		}
		if n > 102 {
			t.Fatalf("%d retries from %v on, 500 requests allow 102", n, from)
		}
	}
}

// A retry counts for the whole window, at whatever moment of its interval it was spent.
func TestSlidingRetryBudgetCountsRetriesForWholeWindow(t *testing.T) {
	const window = 10 * time.Second
	for at := time.Duration(0); at < window/4; at += window / 100 {
		b := SlidingRetryBudget{Extra: 1, Window: window}
		b.CountRequest(testStart)
		if !b.Allow(testStart.Add(at)) {
			t.Fatalf("at %v: the retry that Extra allows was refused", at)
		}
		if b.Allow(testStart.Add(at + window - time.Millisecond)) {
			t.Errorf("two retries, at %v and %v, within one window", at, at+window-time.Millisecond)
		}
	}
}

// A request earns no retry after the window.
func TestSlidingRetryBudgetDropsRequestsAfterWindow(t *testing.T) {
	const window = 10 * time.Second
	for at := time.Duration(0); at < window/4; at += window / 100 {
		b := SlidingRetryBudget{Ratio: 1, Window: window}
		b.advance(testStart)
		b.CountRequest(testStart.Add(at))
		if b.Allow(testStart.Add(at + window)) {
			t.Errorf("a retry at %v for a request at %v", at+window, at)
		}
	}
}
