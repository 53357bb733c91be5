package soak

import (
	"testing"
	"time"
)

// noticeHistory returns a history in which a server says in a response at 10 s that it drains, or asks for
// a backoff, and the gateway sends further requests to it at the given times.
func noticeHistory(draining bool, backoff time.Duration, later ...float64) History {
	h := History{Bounds: Bounds{Contact: 4 * time.Second, Drain: 2 * time.Second}}
	add := func(id string, seconds float64) {
		h.Calls = append(h.Calls, Call{ID: id, Gateway: "gateway-0", Kind: kindSafe, Sent: at(seconds), Done: at(seconds + 0.1), Status: 503})
		h.Arrivals = append(h.Arrivals, Arrival{ID: id, Server: "server-0", Instance: "server-0.1", At: at(seconds + 0.05)})
	}
	add("notice", 10)
	h.Arrivals[0].Draining, h.Arrivals[0].Backoff = draining, backoff
	for i, seconds := range later {
		add(string(rune('a'+i)), seconds)
	}
	return h
}

// The checks must report requests to servers that drain or are backed off, and nothing that is allowed.
func TestNoticeChecks(t *testing.T) {
	broken := func(h History, check string) bool {
		for _, v := range Check(h) {
			if v.Check == check {
				return true
			}
		}
		return false
	}
	for name, c := range map[string]struct {
		history History
		change  func(*History)
		check   string
		want    bool
	}{
		"sent after the bound":  {noticeHistory(true, 0, 12.2), nil, checkDraining, true},
		"sent within the bound": {noticeHistory(true, 0, 12.05), nil, checkDraining, false},
		"other instance":        {noticeHistory(true, 0, 13), func(h *History) { h.Arrivals[1].Instance = "server-0.2" }, checkDraining, false},
		"other gateway":         {noticeHistory(true, 0, 13), func(h *History) { h.Calls[1].Gateway = "gateway-1" }, checkDraining, false},
		"restarted since": {noticeHistory(true, 0, 13), func(h *History) {
			h.Stops = []Stop{{Gateway: "gateway-0", At: at(11), End: at(12), Grace: 8 * time.Second}}
		}, checkDraining, false},
		"frozen since":                   {noticeHistory(true, 0, 13), func(h *History) { h.Faults = []Fault{{"gateway-0", kindPause, at(11), at(12)}} }, checkDraining, false},
		"response not received":          {noticeHistory(true, 0, 13), func(h *History) { h.Calls[0].Status = 0 }, checkDraining, false},
		"three in a backoff":             {noticeHistory(false, 2*time.Second, 10.7, 11, 11.5), nil, checkBackoff, true},
		"two in a backoff":               {noticeHistory(false, 2*time.Second, 10.7, 11), nil, checkBackoff, false},
		"on their way":                   {noticeHistory(false, 2*time.Second, 10.1, 10.2, 10.3, 10.4), nil, checkBackoff, false},
		"after the backoff":              {noticeHistory(false, 2*time.Second, 12.1, 12.2, 12.3), nil, checkBackoff, false},
		"backoff, gateway killed":        {noticeHistory(false, 2*time.Second, 10.7, 11, 11.5), func(h *History) { h.Faults = []Fault{{"gateway-0", kindKill, at(10.6), at(11)}} }, checkBackoff, false},
		"backoff, gateway cut off":       {noticeHistory(false, 2*time.Second, 10.7, 11, 11.5), func(h *History) { h.Faults = []Fault{{"gateway-0", kindCut, at(8), at(9)}} }, checkBackoff, false},
		"backoff, of an earlier release": {noticeHistory(false, 2*time.Second, 10.7, 11, 11.5), func(h *History) { h.Earlier = []string{"gateway-0"} }, checkBackoff, false},
	} {
		if c.change != nil {
			c.change(&c.history)
		}
		if got := broken(c.history, c.check); got != c.want {
			t.Errorf("%s: reported %v, want %v", name, got, c.want)
		}
	}
}
