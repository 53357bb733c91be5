package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against set(true) restarting the time of a condition that already holds: a gateway whose
// data stays behind that of others would then never poll the store itself.
func TestTimedConditionKeepsStartTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var condition timedCondition
		if condition.heldLongerThan(0) {
			t.Error("holds before it was set")
		}
		condition.setExpired()
		if !condition.heldLongerThan(maxPeerLag) {
			t.Error("setExpired has no effect")
		}
		condition.set(true)
		if !condition.heldLongerThan(maxPeerLag) {
			t.Error("set(true) changed the start time of a condition that held")
		}
		condition.set(false)
		condition.set(true)
		if condition.heldLongerThan(time.Minute) {
			t.Error("the condition kept its start time after set(false)")
		}
	})
}
