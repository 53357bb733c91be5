package router

import (
	"testing"
	"time"
)

func TestLateForEitherTarget(t *testing.T) {
	const target, pauseTarget = 500 * time.Millisecond, 200 * time.Millisecond
	cases := map[string]struct {
		end  End
		late bool
	}{
		"in time":         {End{LatencyTarget: target, First: target, PauseTarget: pauseTarget, Pause: pauseTarget}, false},
		"late first byte": {End{LatencyTarget: target, First: target + 1, PauseTarget: pauseTarget}, true},
		"long pause":      {End{LatencyTarget: target, First: 1, PauseTarget: pauseTarget, Pause: pauseTarget + 1}, true},
		"without targets": {End{First: time.Hour, Pause: time.Hour}, false},
	}
	for name, c := range cases {
		if c.end.Late() != c.late {
			t.Errorf("%s: late is %v", name, c.end.Late())
		}
	}
}
