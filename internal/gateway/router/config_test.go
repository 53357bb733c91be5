package router

import (
	"testing"
	"time"
)

func TestLateForEitherTarget(t *testing.T) {
	const target, pauseTarget = 500 * time.Millisecond, 200 * time.Millisecond
	cases := map[string]struct {
		result RequestResult
		late   bool
	}{
		"in time":         {RequestResult{LatencyTarget: target, FirstByteLatency: target, PauseTarget: pauseTarget, LongestPause: pauseTarget}, false},
		"late first byte": {RequestResult{LatencyTarget: target, FirstByteLatency: target + 1, PauseTarget: pauseTarget}, true},
		"long pause":      {RequestResult{LatencyTarget: target, FirstByteLatency: 1, PauseTarget: pauseTarget, LongestPause: pauseTarget + 1}, true},
		"without targets": {RequestResult{FirstByteLatency: time.Hour, LongestPause: time.Hour}, false},
	}
	for name, c := range cases {
		if c.result.Late() != c.late {
			t.Errorf("%s: late is %v", name, c.result.Late())
		}
	}
}
