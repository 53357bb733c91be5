package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

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
