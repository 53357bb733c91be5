package router

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/routes"
)

// Guards against requests that are sent though they can't be done before the end of a shutdown, and against
// refusals of those that can.
func TestFitsShutdown(t *testing.T) {
	const (
		unknown         = -1
		diverted, abort = 2500 * time.Millisecond, 7600 * time.Millisecond
		quick, slow     = 10 * time.Millisecond, 4 * time.Second
		long, veryLong  = 6 * time.Second, 15 * time.Second
		enoughSamples   = 20
	)
	start := time.Now()
	cases := map[string]struct {
		at, timeout time.Duration
		// bodyTime is for how long the body was arriving before at.
		bodyTime time.Duration
		// median and slowest are those of the route's requests; unknown if there were none.
		median, slowest time.Duration
		want            bool
	}{
		"unknown, while callers come":            {time.Second, veryLong, 0, unknown, unknown, true},
		"unknown, later":                         {3 * time.Second, veryLong, 0, unknown, unknown, false},
		"unknown, with most of its time":         {3 * time.Second, long, 0, unknown, unknown, true},
		"unknown, its body was late":             {4800 * time.Millisecond, long, 2400 * time.Millisecond, unknown, unknown, false},
		"unknown, with less of its time":         {4 * time.Second, long, 0, unknown, unknown, false},
		"unknown, ends at its deadline":          {5 * time.Second, 2 * time.Second, 0, unknown, unknown, true},
		"unknown, its deadline is just too late": {6500 * time.Millisecond, 2 * time.Second, 0, unknown, unknown, false},
		"half a second's work at the end":        {7 * time.Second, veryLong, 0, 300 * time.Millisecond, 300 * time.Millisecond, true},
		"a second's work at the end":             {7 * time.Second, veryLong, 0, time.Second, time.Second, false},
		"after the end":                          {8 * time.Second, veryLong, 0, quick, quick, false},
		"quick, later":                           {5 * time.Second, veryLong, 0, quick, quick, true},
		"slow, in time":                          {3 * time.Second, veryLong, 0, slow, slow, true},
		"slow, too late":                         {3600 * time.Millisecond, veryLong, 0, slow, slow, false},
		"mostly quick, later":                    {5 * time.Second, veryLong, 0, quick, slow, false},
		"mostly quick, while callers come":       {2 * time.Second, veryLong, 0, quick, long, true},
		"long, while callers come":               {time.Second, veryLong, 0, long, long, true},
		"too long, while callers come":           {2 * time.Second, veryLong, 0, long, long, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter()
			request := &call{router: r, route: &routes.Route{Name: "r"}, service: "s", arrivedAt: start.Add(c.at - c.bodyTime), deadline: start.Add(c.at - c.bodyTime + c.timeout)}
			if !request.fitsShutdown(start.Add(c.at)) {
				t.Error("a request is refused without a shutdown")
			}
			if c.median != unknown {
				for range enoughSamples {
					r.serviceFor("s").times.Observe("r", c.median)
				}
				r.serviceFor("s").times.Observe("r", c.slowest)
			}
			r.BeginShutdown(start.Add(diverted), start.Add(abort))
			if got := request.fitsShutdown(start.Add(c.at)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
