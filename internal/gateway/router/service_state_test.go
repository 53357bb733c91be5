package router

import (
	"testing"
	"time"
)

// Guards against a changed retry window being ignored for services already in use, and against
// forgetting the retries counted before the change.
func TestRetryWindowChange(t *testing.T) {
	oneGateway := func() int { return 1 }
	r := New(Config{ListedGateways: oneGateway}, Bounds{RetryExtra: 1 / retryBudgetShare, RetryWindow: time.Hour}, nil)
	if !r.allowRetry("s") || r.allowRetry("s") {
		t.Fatal("the budget must allow exactly one retry per hour")
	}
	r.SetBounds(Bounds{RetryExtra: 1 / retryBudgetShare, RetryWindow: 20 * time.Millisecond})
	if r.allowRetry("s") {
		t.Error("the retries counted before the change are forgotten")
	}
	time.Sleep(50 * time.Millisecond)
	if !r.allowRetry("s") {
		t.Error("the shorter window does not apply")
	}
}
