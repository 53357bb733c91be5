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
			t.Error("holds before it was noted")
		}
		condition.setExpired()
		if !condition.heldLongerThan(maxServerListLag) {
			t.Error("noted as long, and isn't")
		}
		condition.set(true)
		if !condition.heldLongerThan(maxServerListLag) {
			t.Error("what is noted again began anew")
		}
		condition.set(false)
		condition.set(true)
		if condition.heldLongerThan(time.Minute) {
			t.Error("what ended goes on")
		}
	})
}
