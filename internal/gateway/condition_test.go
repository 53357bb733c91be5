package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestConditionKnowsSinceWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c condition
		if c.longer(0) {
			t.Error("holds before it was noted")
		}
		c.long()
		if !c.longer(lackingMost) {
			t.Error("noted as long, and isn't")
		}
		c.note(true)
		if !c.longer(lackingMost) {
			t.Error("what is noted again began anew")
		}
		c.note(false)
		c.note(true)
		if c.longer(time.Minute) {
			t.Error("what ended goes on")
		}
	})
}
