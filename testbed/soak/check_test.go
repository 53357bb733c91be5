package soak

import (
	"testing"
	"time"
)

// start is when the histories begin.
var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// at is some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// sound is a history that keeps all promises: a request of each kind on kept
// connections, all served, between a fault long before and one after, beside a
// stop and a desired state that takes a key away.
func sound() *History {
	h := &History{
		Bounds: Bounds{Contact: 4 * time.Second, Revoke: 5 * time.Second, Recover: 15 * time.Second, MemoryMB: 184, Descriptors: 4100},
		Faults: []Fault{{"gateway-0", kindFreeze, at(0), at(5)}, {"server-0", kindCrash, at(30), at(31)}},
		Stops:  []Stop{{Gateway: "gateway-0", At: at(19), End: at(26), Grace: 8 * time.Second}},
		States: []State{{Version: 1, At: at(0)}, {Version: 2, At: at(10), Removed: []string{"old"}}},
		Readings: []Reading{
			{Gateway: "gateway-0", Process: 7, At: at(1), Version: 2, MemoryMB: 100, Descriptors: 50},
			{Gateway: "gateway-0", Process: 8, At: at(2), Version: 1, MemoryMB: 100, Descriptors: 50},
		},
		Probes: []Probe{{"gateway-0", kindSafe, time.Second}},
	}
	for _, kind := range []string{kindSafe, kindUnsafe, kindStream, kindResume} {
		h.Calls = append(h.Calls, Call{
			ID: kind, Gateway: "gateway-0", Kind: kind, Key: "old", Before: 1, Sent: at(14), Written: true, Done: at(15),
			Status: 200, Echoed: kind, Signed: true, Whole: true, Body: Whole(kind, kind, 0), Timeout: timeoutOf(kind),
		})
		h.Arrivals = append(h.Arrivals, Arrival{ID: kind, Server: "server-0", At: at(14.1), Script: "well", Ran: true})
	}
	return h
}

// Places in the sound history.
const (
	safeCall = iota
	unsafeCall
	streamCall
)

// closed ends a call by a closed connection.
func (h *History) closed(call int) *Call {
	c := &h.Calls[call]
	c.Status, c.Whole, c.Body, c.Signed, c.Echoed, c.Err = 0, false, "", false, "", "EOF"
	return c
}

func (h *History) again(call int) { h.Arrivals = append(h.Arrivals, h.Arrivals[call]) }

// TestEachCheckFindsWhatItIsFor breaks one promise after the other, and what is
// allowed beside them.
func TestEachCheckFindsWhatItIsFor(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(h *History)
		// want is the check that finds it; empty where it is allowed.
		want string
	}{
		{"all is well", func(*History) {}, ""},
		{"another's answer", func(h *History) { h.Calls[safeCall].Body = Whole(kindSafe, "s2", 0) }, checkOwn},
		{"another's id", func(h *History) { h.Calls[safeCall].Echoed = "s2" }, checkOwn},
		{"short and looks whole", func(h *History) { h.Calls[safeCall].Body = h.Calls[safeCall].Body[:3] }, checkOwn},
		{"unsigned", func(h *History) { h.Calls[safeCall].Signed = false }, checkOwn},
		{"stray bytes", func(h *History) { h.Calls[safeCall].Stray = true }, checkOwn},
		{"another's bytes in part", func(h *History) {
			h.Calls[safeCall].Whole, h.Calls[safeCall].Body, h.Arrivals[safeCall].Cut = false, "other", true
		}, checkOwn},
		{"a part that doesn't look whole", func(h *History) {
			h.Calls[safeCall].Whole, h.Calls[safeCall].Body, h.Arrivals[safeCall].Cut = false, h.Calls[safeCall].Body[:3], true
		}, ""},
		{"ran twice", func(h *History) { h.again(unsafeCall) }, checkOnce},
		{"a stream ran twice", func(h *History) { h.again(streamCall) }, checkOnce},
		{"a safe one ran twice", func(h *History) { h.again(safeCall) }, ""},
		{"sent twice, ran once", func(h *History) { h.again(unsafeCall); h.Arrivals[unsafeCall].Ran = false }, ""},
		{"503 and ran", func(h *History) { h.Calls[unsafeCall].Status = 503 }, checkNotRun},
		{"429 and ran", func(h *History) { h.Calls[safeCall].Status = 429 }, checkNotRun},
		{"408 and ran", func(h *History) { h.Calls[unsafeCall].Status = 408 }, checkNotRun},
		{"421 and ran later", func(h *History) { h.Calls[unsafeCall].Status, h.Arrivals[unsafeCall].At = 421, at(29) }, checkNotRun},
		{"502 and ran", func(h *History) { h.Calls[unsafeCall].Status = 502 }, ""},
		{"503 and refused", func(h *History) { h.Calls[unsafeCall].Status, h.Arrivals[unsafeCall].Ran = 503, false }, ""},
		{"cut", func(h *History) { h.closed(unsafeCall) }, checkLost},
		{"cut after a server refused", func(h *History) { h.closed(unsafeCall); h.Arrivals[unsafeCall].Ran = false }, checkLost},
		{"cut where the server dropped it", func(h *History) { h.closed(safeCall); h.Arrivals[safeCall].Script = "drop" }, checkLost},
		{"cut where the server broke off its answer", func(h *History) { h.closed(safeCall); h.Arrivals[safeCall].Cut = true }, checkLost},
		{"cut within the grace period", func(h *History) { c := h.closed(unsafeCall); c.Sent, c.Done = at(19.5), at(25.9); c.Key = lastingKey }, checkLost},
		{"cut in the midst", func(h *History) { h.Calls[safeCall].Whole, h.Calls[safeCall].Body = false, "" }, checkLost},
		{"cut in the midst by the server", func(h *History) {
			h.Calls[safeCall].Whole, h.Calls[safeCall].Body, h.Arrivals[safeCall].Cut = false, "", true
		}, ""},
		{"cut in the midst when the time is up", func(h *History) {
			c := &h.Calls[safeCall]
			c.Whole, c.Body, c.Done = false, "", c.Sent.Add(c.Timeout)
		}, ""},
		{"cut soon after a freeze", func(h *History) { h.closed(unsafeCall); h.Faults[0].To = at(10.5) }, ""},
		{"cut beside a freeze elsewhere", func(h *History) { h.closed(unsafeCall); h.Faults[0] = Fault{"gateway-1", kindFreeze, at(0), at(50)} }, checkLost},
		{"cut where the server crashed", func(h *History) { h.closed(unsafeCall); h.Faults[1].From = at(14.5) }, ""},
		{"cut before it reached a server", func(h *History) { h.closed(unsafeCall); h.Arrivals[unsafeCall].ID = "none" }, ""},
		{"cut on a new connection", func(h *History) { h.closed(unsafeCall).Before = 0 }, ""},
		{"not written whole", func(h *History) { h.closed(unsafeCall).Written = false }, ""},
		{"an event is missing", func(h *History) {
			h.Calls[streamCall].Whole, h.Arrivals[streamCall].Cut = false, true
			h.Calls[streamCall].Body = eventOf(kindStream, 1) + eventOf(kindStream, 3)
		}, checkOrder},
		{"an event comes twice", func(h *History) { h.Calls[streamCall].Body = eventOf(kindStream, 1) + h.Calls[streamCall].Body }, checkOrder},
		{"whole before the last event", func(h *History) { h.Calls[streamCall].Body = eventOf(kindStream, 1) }, checkOrder},
		{"a slow stop", func(h *History) { h.Stops[0].End = at(27.1) }, checkGrace},
		{"a failed stop", func(h *History) { h.Stops[0].Failed = true }, checkGrace},
		{"a stop that a freeze held up", func(h *History) { h.Stops[0].End, h.Faults[0].From, h.Faults[0].To = at(27.1), at(20), at(22) }, ""},
		{"a key that was taken away", func(h *History) { h.Calls[unsafeCall].Sent, h.Calls[unsafeCall].Done = at(15.1), at(16) }, checkKey},
		{"the state goes back", func(h *History) { h.Readings[1].Process = 7 }, checkState},
		{"too much memory", func(h *History) { h.Readings[0].MemoryMB = 185 }, checkBounded},
		{"too many descriptors", func(h *History) { h.Readings[0].Descriptors = 4101 }, checkBounded},
		{"never served again", func(h *History) { h.Probes[0].After = -1 }, checkServed},
		{"served again too late", func(h *History) { h.Probes[0].After = 16 * time.Second }, checkServed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := sound()
			test.spoil(h)
			found := Check(*h)
			if test.want == "" && len(found) > 0 {
				t.Errorf("found in what is allowed: %v", found)
			}
			if test.want == "" {
				return
			}
			for _, v := range found {
				if v.Check == test.want {
					return
				}
			}
			t.Errorf("not found: %s; only %v", test.want, found)
		})
	}
}

// TestASeedDrawsTheSameStepsAgain: a failed seed can be played once more.
func TestASeedDrawsTheSameStepsAgain(t *testing.T) {
	first, again, other := Plan(3, 3, servers, time.Minute), Plan(3, 3, servers, time.Minute), Plan(4, 3, servers, time.Minute)
	if len(first) != len(again) || len(first) < 100 {
		t.Fatalf("%d steps and %d", len(first), len(again))
	}
	differ := len(first) != len(other)
	for i := range first {
		if first[i] != again[i] {
			t.Fatalf("step %d: %v and %v", i, first[i], again[i])
		}
		differ = differ || first[i] != other[i]
	}
	if !differ {
		t.Error("two seeds draw the same")
	}
}
