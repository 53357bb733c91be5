package router

import (
	"testing"
	"time"
)

func TestLateByEitherTarget(t *testing.T) {
	const target, pause = 500 * time.Millisecond, 200 * time.Millisecond
	cases := map[string]struct {
		end  End
		late bool
	}{
		"in time":         {End{Target: target, First: target, PauseTarget: pause, Pause: pause}, false},
		"late first":      {End{Target: target, First: target + 1, PauseTarget: pause}, true},
		"long pause":      {End{Target: target, First: 1, PauseTarget: pause, Pause: pause + 1}, true},
		"without targets": {End{First: time.Hour, Pause: time.Hour}, false},
	}
	for name, c := range cases {
		if c.end.Late() != c.late {
			t.Errorf("%s: late is %v", name, c.end.Late())
		}
	}
}
