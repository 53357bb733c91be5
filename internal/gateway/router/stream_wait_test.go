package router

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/routes"
)

// Guards against a stream that is taken to have ended because its route's timeout was lowered, and against a
// caller that prolongs the wait at will.
func TestLongestStreamWait(t *testing.T) {
	const timeout = 4 * time.Second
	resumable := &routes.Route{Resumable: true, Timeout: timeout}
	cases := map[string]struct {
		route  *routes.Route
		stated time.Duration
		want   time.Duration
	}{
		"no limit stated":       {resumable, 0, timeout},
		"a shorter limit":       {resumable, time.Second, timeout},
		"a longer limit":        {resumable, 3 * timeout, 3 * timeout},
		"an absurd limit":       {resumable, 1000 * time.Hour, DefaultTimeout},
		"a longer timeout":      {&routes.Route{Resumable: true, Timeout: 2 * DefaultTimeout}, time.Second, 2 * DefaultTimeout},
		"no timeout":            {&routes.Route{Resumable: true}, time.Second, DefaultTimeout},
		"streams begin anew":    {&routes.Route{Timeout: timeout}, timeout, 0},
		"a negative limit":      {resumable, -time.Second, timeout},
		"another route, before": {&routes.Route{}, 0, 0},
	}
	for name, c := range cases {
		var w longestWait
		w.observe(c.route, c.stated)
		w.observe(&routes.Route{Resumable: c.want > 0, Timeout: time.Millisecond}, 0)
		if got := time.Duration(w.nanoseconds.Load()); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
