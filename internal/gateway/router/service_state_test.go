package router

import (
	"testing"
	"time"
)

// A changed retry window is in force for services that are in use already, and
// what was spent before counts.
func TestRetryWindowChange(t *testing.T) {
	oneGateway := func() int { return 1 }
	r := New(Config{Gateways: oneGateway}, Bounds{RetryExtra: 1 / retryBudgetShare, RetryWindow: time.Hour}, nil)
	if !r.allowRetry("s") || r.allowRetry("s") {
		t.Fatal("one repeat an hour is allowed")
	}
	r.SetBounds(Bounds{RetryExtra: 1 / retryBudgetShare, RetryWindow: 20 * time.Millisecond})
	if r.allowRetry("s") {
		t.Error("what was spent is forgotten with the change")
	}
	time.Sleep(50 * time.Millisecond)
	if !r.allowRetry("s") {
		t.Error("the shorter window isn't in force")
	}
}
