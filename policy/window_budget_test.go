package policy

import (
	"testing"
	"time"
)

func TestWindowBudgetSlides(t *testing.T) {
	b := WindowBudget{Ratio: 0.2, Extra: 3, Window: 10 * time.Second}
	allowed := func(now time.Time, asked int) int {
		n := 0
		for range asked {
			if b.Allow(now) {
				n++
			}
		}
		return n
	}
	if n := allowed(testStart, 10); n != 3 {
		t.Errorf("%d repeats without requests, the extra is 3", n)
	}
	for range 100 {
		b.Request(testStart)
	}
	if n := allowed(testStart.Add(time.Second), 100); n != 20 {
		t.Errorf("%d repeats for 100 requests, beside the 3", n)
	}
	if n := allowed(testStart.Add(9*time.Second), 100); n != 0 {
		t.Errorf("%d repeats more within the window", n)
	}
	if n := allowed(testStart.Add(11500*time.Millisecond), 100); n != 3 {
		t.Errorf("%d repeats in the next window, the extra is 3", n)
	}
}

// In any span of the window's length no more is spent than the budget of the
// requests in it and the window before.
func TestWindowBudgetNeverExceedsAnySpan(t *testing.T) {
	b := WindowBudget{Ratio: 0.2, Extra: 2, Window: 10 * time.Second}
	var repeats []time.Duration
	for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
		if at < 20*time.Second {
			b.Request(testStart.Add(at))
		}
		if b.Allow(testStart.Add(at)) {
			repeats = append(repeats, at)
		}
	}
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at-from < b.Window {
				n++
			}
		}
		if n > 102 {
			t.Fatalf("%d repeats from %v on, 500 requests allow 102", n, from)
		}
	}
}

// A repeat counts for the whole window, wherever in its part it was spent.
func TestWindowBudgetRemembersForTheWholeWindow(t *testing.T) {
	const window = 10 * time.Second
	for at := time.Duration(0); at < window/4; at += window / 100 {
		b := WindowBudget{Extra: 1, Window: window}
		b.Request(testStart)
		if !b.Allow(testStart.Add(at)) {
			t.Fatalf("at %v: the extra was refused", at)
		}
		if b.Allow(testStart.Add(at + window - time.Millisecond)) {
			t.Errorf("two repeats, at %v and %v, within one window", at, at+window-time.Millisecond)
		}
	}
}

// A request earns nothing after the window.
func TestWindowBudgetForgetsRequestsInTime(t *testing.T) {
	const window = 10 * time.Second
	for at := time.Duration(0); at < window/4; at += window / 100 {
		b := WindowBudget{Ratio: 1, Window: window}
		b.advance(testStart)
		b.Request(testStart.Add(at))
		if b.Allow(testStart.Add(at + window)) {
			t.Errorf("a repeat at %v for a request at %v", at+window, at)
		}
	}
}
