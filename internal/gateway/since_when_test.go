package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestSinceWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s sinceWhen
		if s.longer(0) {
			t.Error("holds before it was noted")
		}
		s.long()
		if !s.longer(lackingMost) {
			t.Error("noted as long, and isn't")
		}
		s.note(true)
		if !s.longer(lackingMost) {
			t.Error("what is noted again began anew")
		}
		s.note(false)
		s.note(true)
		if s.longer(time.Minute) {
			t.Error("what ended goes on")
		}
	})
}
