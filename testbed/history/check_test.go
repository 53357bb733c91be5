package history

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// validHistory returns a history without violations, which tests modify.
func validHistory() History {
	call := func(marker string, tier int, sent int) Call {
		return Call{Marker: marker, RequestID: "r-" + marker, Entry: "e0", Class: marker, Tier: tier, Serves: "m", Sent: at(sent),
			Done: at(sent + 4), Told: ToldWhole, Text: "answer " + marker, Expected: "answer " + marker}
	}
	run := func(marker string, started int) Run {
		return Run{ID: "r-" + marker + "/1", Request: "r-" + marker, Marker: marker, Server: "vm0",
			Started: at(started), Ended: at(started + 2), Ending: EndingWhole}
	}
	return History{
		Calls:    []Call{call("flag", 0, 0), call("docket", 3, 0)},
		Runs:     []Run{run("flag", 1), run("docket", 1)},
		Stops:    []Stop{{Process: "e0", At: at(2), Clean: true}},
		Leavings: []Leaving{{Server: "vm0", At: at(0), Limit: 3 * time.Second}},
		Changes:  []Change{{Version: 2, Class: "flag", Accepted: at(1), Limit: 5 * time.Second}},
		Versions: []VersionSeen{
			{Process: "e0", At: at(0), Version: 1},
			{Process: "e0", At: at(7), Version: 2, Held: map[string]uint64{"flag": 2}},
		},
	}
}

const (
	flag   = 0
	docket = 1
)

func setFailed(c *Call, told Told) { c.Told, c.Text = told, "" }

func TestGoodHistoryPasses(t *testing.T) {
	if found := Check(validHistory()); len(found) > 0 {
		t.Fatal(found)
	}
}

func TestEachBrokenPromiseIsFound(t *testing.T) {
	cases := []struct {
		name  string
		point Point
		spoil func(*History)
	}{
		{"top tier shed for lower work", PointTopTier, func(h *History) {
			setFailed(&h.Calls[flag], ToldNotRun)
			h.Calls[flag].Code = CodeOverloaded
			h.Runs = h.Runs[1:]
		}},
		{"top tier preempted", PointTopTier, func(h *History) {
			setFailed(&h.Calls[flag], ToldFailed)
			h.Runs[flag].Ending = EndingCancelled
		}},
		{"call without an end", PointServed, func(h *History) { setFailed(&h.Calls[docket], ToldNothing) }},
		{"class not served after a fault", PointServed, func(h *History) {
			setFailed(&h.Calls[docket], ToldNotRun)
			h.Calls[docket].Probe = true
			h.Runs = h.Runs[:1]
		}},
		{"served after its bound", PointServed, func(h *History) { h.Calls[docket].Within = time.Second }},
		{"never served although its caller came back", PointServed, func(h *History) {
			setFailed(&h.Calls[docket], ToldNotRun)
			h.Calls[docket].Within = time.Minute
			h.Runs = h.Runs[:1]
		}},
		{"not run, ran before in a run of no other call", PointNotRun, func(h *History) {
			repeat := h.Calls[docket]
			repeat.RequestID, repeat.Sent, repeat.Done = "r-repeat", at(10), at(14)
			setFailed(&repeat, ToldNotRun)
			h.Calls = append(h.Calls, repeat)
			h.Runs[docket].Request = "r-nobody"
		}},
		{"another's answer", PointWhole, func(h *History) { h.Calls[docket].Text = h.Calls[flag].Text }},
		{"shorter answer that looks whole", PointWhole, func(h *History) { h.Calls[docket].Text = "answer" }},
		{"answer twice", PointWhole, func(h *History) { h.Calls[docket].Text += h.Calls[docket].Text }},
		{"foreign text in a failed answer", PointWhole, func(h *History) {
			h.Calls[docket].Told = ToldFailed
			h.Calls[docket].Text = "answer flag"
		}},
		{"answer without a run", PointWhole, func(h *History) { h.Runs = h.Runs[:1] }},
		{"not run, but it ran", PointNotRun, func(h *History) { setFailed(&h.Calls[docket], ToldNotRun) }},
		{"not run, ran afterwards", PointNotRun, func(h *History) {
			setFailed(&h.Calls[docket], ToldNotRun)
			h.Runs[docket].Started = at(30)
		}},
		{"not run, ran afterwards under its own id beside a repeat", PointNotRun, func(h *History) {
			repeat := h.Calls[docket]
			repeat.RequestID = "r-repeat"
			repeat.Sent, repeat.Done = at(10), at(14)
			h.Calls = append(h.Calls, repeat)
			setFailed(&h.Calls[docket], ToldNotRun)
			h.Runs[docket].Started = at(11)
		}},
		{"ran twice", PointOnce, func(h *History) { h.Runs = append(h.Runs, h.Runs[docket]) }},
		{"ran twice under two requests of one key", PointOnce, func(h *History) {
			again := h.Runs[docket]
			again.ID, again.Request = "r-other/1", "r-other"
			h.Runs = append(h.Runs, again)
		}},
		{"unknown without a fault", PointOnce, func(h *History) { setFailed(&h.Calls[docket], ToldUnknown) }},
		{"unknown after the fault was lifted", PointOnce, func(h *History) {
			setFailed(&h.Calls[docket], ToldUnknown)
			h.Faults = []Fault{{At: at(-5), Lifted: at(-1)}}
		}},
		{"new work on a leaving server", PointLeaving, func(h *History) { h.Runs[docket].Started = at(4) }},
		{"planned stop cut an answer", PointStop, func(h *History) { setFailed(&h.Calls[docket], ToldFailed) }},
		{"planned stop refused what waited", PointStop, func(h *History) {
			setFailed(&h.Calls[docket], ToldNotRun)
			h.Runs = h.Runs[:1]
		}},
		{"planned stop did not end", PointStop, func(h *History) { h.Stops[0].Clean = false }},
		{"targets went back", PointTargets, func(h *History) {
			h.Versions = append(h.Versions, VersionSeen{Process: "e0", At: at(8), Version: 1})
		}},
		{"change late", PointTargets, func(h *History) {
			h.Versions = append(h.Versions, VersionSeen{Process: "e1", At: at(9), Version: 1})
		}},
		{"two changes under one version", PointTargets, func(h *History) {
			h.Changes = append(h.Changes, Change{Version: 2, Class: "docket", Accepted: at(1), Limit: time.Minute})
		}},
		{"act under an old lease", PointLease, func(h *History) {
			h.Fences = []FenceSeen{{Place: "vm0", Fence: 2}, {Place: "vm0", Fence: 1}}
		}},
		{"change lost under a newer version", PointTargets, func(h *History) {
			h.Versions[1].Version = 3
			h.Versions[1].Held = map[string]uint64{"flag": 1}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.spoil(&h)
			for _, violation := range Check(h) {
				if violation.Point == c.point {
					return
				}
			}
			t.Fatalf("point %d was broken and not found: %v", c.point, Check(h))
		})
	}
}

func TestWhatIsAllowedPasses(t *testing.T) {
	cases := []struct {
		name  string
		allow func(*History)
	}{
		{"unknown after a fault", func(h *History) {
			setFailed(&h.Calls[docket], ToldUnknown)
			h.Faults = []Fault{{Kind: "kill", Process: "vm0", At: at(2)}}
		}},
		{"refused, then run by the caller's own retry", func(h *History) {
			repeat := h.Calls[docket]
			repeat.RequestID, repeat.IdempotencyKey = "r-repeat", "k"
			repeat.Sent, repeat.Done = at(10), at(14)
			h.Calls = append(h.Calls, repeat)
			setFailed(&h.Calls[docket], ToldNotRun)
			h.Calls[docket].Done = at(1)
			h.Runs[docket].Request, h.Runs[docket].Started = "r-repeat", at(11)
			h.Leavings = nil
		}},
		{"without a key: ran and failed, then refused", func(h *History) {
			repeat := h.Calls[docket]
			repeat.RequestID, repeat.Sent, repeat.Done = "r-repeat", at(10), at(14)
			setFailed(&repeat, ToldNotRun)
			h.Calls = append(h.Calls, repeat)
		}},
		{"refused, then served within the bound", func(h *History) {
			h.Calls[docket].Within = time.Minute
			refused := h.Calls[docket]
			refused.RequestID, refused.Sent, refused.Done = "r-first", at(-9), at(-8)
			setFailed(&refused, ToldNotRun)
			h.Calls = append(h.Calls, refused)
		}},
		{"top tier refused while nothing lower is let in", func(h *History) {
			setFailed(&h.Calls[flag], ToldNotRun)
			h.Calls[flag].Code = CodeOverloaded
			h.Calls[flag].Sent = at(2)
			h.Runs = h.Runs[1:]
		}},
		{"beginning of an answer with a visible failure", func(h *History) {
			h.Calls[docket].Told, h.Calls[docket].Text = ToldFailed, "answ"
			h.Faults = []Fault{{Kind: "cut", Process: "vm0", At: at(2), Lifted: at(3)}}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.allow(&h)
			if found := Check(h); len(found) > 0 {
				t.Fatal(found)
			}
		})
	}
}
