package router

import (
	"testing"
	"time"
)

// A changed retry window is in force for services that are in use already, and
// what was spent before counts.
func TestRetryWindowMayChange(t *testing.T) {
	one := func() int { return 1 }
	r := New(Config{Gateways: one}, Bounds{RetryExtra: 1 / budgetUse, RetryWindow: time.Hour}, nil)
	if !r.allowRepeat("s") || r.allowRepeat("s") {
		t.Fatal("one repeat an hour is allowed")
	}
	r.SetBounds(Bounds{RetryExtra: 1 / budgetUse, RetryWindow: 20 * time.Millisecond})
	if r.allowRepeat("s") {
		t.Error("what was spent is forgotten with the change")
	}
	time.Sleep(50 * time.Millisecond)
	if !r.allowRepeat("s") {
		t.Error("the shorter window isn't in force")
	}
}
