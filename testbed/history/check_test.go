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
		return Call{Marker: marker, RequestID: "r-" + marker, Entry: "e0", Class: marker, Tier: tier, Service: "m", Sent: at(sent),
			Done: at(sent + 4), Outcome: OutcomeComplete, Text: "answer " + marker, Expected: "answer " + marker}
	}
	run := func(marker string, started int) Run {
		return Run{ID: "r-" + marker + "/1", Request: "r-" + marker, Marker: marker, Server: "vm0",
			Started: at(started), Ended: at(started + 2), Ending: EndingComplete}
	}
	return History{
		Calls:   []Call{call("flag", 0, 0), call("docket", 3, 0)},
		Runs:    []Run{run("flag", 1), run("docket", 1)},
		Stops:   []Stop{{Process: "e0", At: at(2), Clean: true}},
		Drains:  []Drain{{Server: "vm0", At: at(0), Limit: 3 * time.Second}},
		Changes: []Change{{Version: 2, Class: "flag", Accepted: at(1), Limit: 5 * time.Second}},
		Versions: []VersionReading{
			{Process: "e0", At: at(0), Version: 1},
			{Process: "e0", At: at(7), Version: 2, ClassVersions: map[string]uint64{"flag": 2}},
		},
	}
}

const (
	flag   = 0
	docket = 1
)

func setFailed(c *Call, outcome Outcome) { c.Outcome, c.Text = outcome, "" }

// Guards against a checker that reports violations in a valid history.
func TestValidHistoryPasses(t *testing.T) {
	if found := Check(validHistory()); len(found) > 0 {
		t.Fatal(found)
	}
}

// Guards against a checker that misses a violation, so that a cell with a broken guarantee passes.
func TestEachBrokenGuaranteeIsReported(t *testing.T) {
	cases := []struct {
		name      string
		guarantee Guarantee
		corrupt   func(*History)
	}{
		{"top tier refused while lower-tier work starts", GuaranteeTopTier, func(h *History) {
			setFailed(&h.Calls[flag], OutcomeNotRun)
			h.Calls[flag].Code = CodeOverloaded
			h.Runs = h.Runs[1:]
		}},
		{"top tier preempted", GuaranteeTopTier, func(h *History) {
			setFailed(&h.Calls[flag], OutcomeFailed)
			h.Runs[flag].Ending = EndingCancelled
		}},
		{"call without an end", GuaranteeServed, func(h *History) { setFailed(&h.Calls[docket], OutcomeNone) }},
		{"class not served after a fault", GuaranteeServed, func(h *History) {
			setFailed(&h.Calls[docket], OutcomeNotRun)
			h.Calls[docket].Probe = true
			h.Runs = h.Runs[:1]
		}},
		{"served after its maximum duration", GuaranteeServed, func(h *History) { h.Calls[docket].MaxDuration = time.Second }},
		{"never served although its caller retried", GuaranteeServed, func(h *History) {
			setFailed(&h.Calls[docket], OutcomeNotRun)
			h.Calls[docket].MaxDuration = time.Minute
			h.Runs = h.Runs[:1]
		}},
		{"not run, but ran before in a run of no other call", GuaranteeNotRun, func(h *History) {
			retry := h.Calls[docket]
			retry.RequestID, retry.Sent, retry.Done = "r-repeat", at(10), at(14)
			setFailed(&retry, OutcomeNotRun)
			h.Calls = append(h.Calls, retry)
			h.Runs[docket].Request = "r-nobody"
		}},
		{"response of another call", GuaranteeComplete, func(h *History) { h.Calls[docket].Text = h.Calls[flag].Text }},
		{"truncated response reported as complete", GuaranteeComplete, func(h *History) { h.Calls[docket].Text = "answer" }},
		{"response sent twice", GuaranteeComplete, func(h *History) { h.Calls[docket].Text += h.Calls[docket].Text }},
		{"another call's text in a failed response", GuaranteeComplete, func(h *History) {
			h.Calls[docket].Outcome = OutcomeFailed
			h.Calls[docket].Text = "answer flag"
		}},
		{"response without a run", GuaranteeComplete, func(h *History) { h.Runs = h.Runs[:1] }},
		{"not run, but it ran", GuaranteeNotRun, func(h *History) { setFailed(&h.Calls[docket], OutcomeNotRun) }},
		{"not run, but ran afterwards", GuaranteeNotRun, func(h *History) {
			setFailed(&h.Calls[docket], OutcomeNotRun)
			h.Runs[docket].Started = at(30)
		}},
		{"not run, but ran afterwards with its own request ID while a retry ran", GuaranteeNotRun, func(h *History) {
			retry := h.Calls[docket]
			retry.RequestID = "r-repeat"
			retry.Sent, retry.Done = at(10), at(14)
			h.Calls = append(h.Calls, retry)
			setFailed(&h.Calls[docket], OutcomeNotRun)
			h.Runs[docket].Started = at(11)
		}},
		{"ran twice", GuaranteeAtMostOnce, func(h *History) { h.Runs = append(h.Runs, h.Runs[docket]) }},
		{"ran twice in two requests with one key", GuaranteeAtMostOnce, func(h *History) {
			again := h.Runs[docket]
			again.ID, again.Request = "r-other/1", "r-other"
			h.Runs = append(h.Runs, again)
		}},
		{"unknown without a fault", GuaranteeAtMostOnce, func(h *History) { setFailed(&h.Calls[docket], OutcomeUnknown) }},
		{"unknown after the fault was cleared", GuaranteeAtMostOnce, func(h *History) {
			setFailed(&h.Calls[docket], OutcomeUnknown)
			h.Faults = []Fault{{At: at(-5), Cleared: at(-1)}}
		}},
		{"new work on a draining server", GuaranteeDraining, func(h *History) { h.Runs[docket].Started = at(4) }},
		{"planned stop interrupted a response", GuaranteeStop, func(h *History) { setFailed(&h.Calls[docket], OutcomeFailed) }},
		{"planned stop refused a waiting call", GuaranteeStop, func(h *History) {
			setFailed(&h.Calls[docket], OutcomeNotRun)
			h.Runs = h.Runs[:1]
		}},
		{"process did not end cleanly at a planned stop", GuaranteeStop, func(h *History) { h.Stops[0].Clean = false }},
		{"targets went back to an older version", GuaranteeTargets, func(h *History) {
			h.Versions = append(h.Versions, VersionReading{Process: "e0", At: at(8), Version: 1})
		}},
		{"change in force too late", GuaranteeTargets, func(h *History) {
			h.Versions = append(h.Versions, VersionReading{Process: "e1", At: at(9), Version: 1})
		}},
		{"two changes with one version", GuaranteeTargets, func(h *History) {
			h.Changes = append(h.Changes, Change{Version: 2, Class: "docket", Accepted: at(1), Limit: time.Minute})
		}},
		{"action with a stale fencing token", GuaranteeLease, func(h *History) {
			h.FencingTokens = []FencingTokenReading{{Resource: "vm0", FencingToken: 2}, {Resource: "vm0", FencingToken: 1}}
		}},
		{"change missing from a newer version", GuaranteeTargets, func(h *History) {
			h.Versions[1].Version = 3
			h.Versions[1].ClassVersions = map[string]uint64{"flag": 1}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.corrupt(&h)
			for _, violation := range Check(h) {
				if violation.Guarantee == c.guarantee {
					return
				}
			}
			t.Fatalf("violation of guarantee %d is not reported; got %v", c.guarantee, Check(h))
		})
	}
}

// Guards against a checker that reports outcomes that the guarantees allow.
func TestAllowedDeviationsPass(t *testing.T) {
	cases := []struct {
		name  string
		allow func(*History)
	}{
		{"unknown after a fault", func(h *History) {
			setFailed(&h.Calls[docket], OutcomeUnknown)
			h.Faults = []Fault{{Kind: "kill", Process: "vm0", At: at(2)}}
		}},
		{"refused, then run by the caller's own retry", func(h *History) {
			retry := h.Calls[docket]
			retry.RequestID, retry.IdempotencyKey = "r-repeat", "k"
			retry.Sent, retry.Done = at(10), at(14)
			h.Calls = append(h.Calls, retry)
			setFailed(&h.Calls[docket], OutcomeNotRun)
			h.Calls[docket].Done = at(1)
			h.Runs[docket].Request, h.Runs[docket].Started = "r-repeat", at(11)
			h.Drains = nil
		}},
		{"without a key: ran and failed, then refused", func(h *History) {
			retry := h.Calls[docket]
			retry.RequestID, retry.Sent, retry.Done = "r-repeat", at(10), at(14)
			setFailed(&retry, OutcomeNotRun)
			h.Calls = append(h.Calls, retry)
		}},
		{"refused, then served within the maximum duration", func(h *History) {
			h.Calls[docket].MaxDuration = time.Minute
			refused := h.Calls[docket]
			refused.RequestID, refused.Sent, refused.Done = "r-first", at(-9), at(-8)
			setFailed(&refused, OutcomeNotRun)
			h.Calls = append(h.Calls, refused)
		}},
		{"top tier refused while no lower-tier work starts", func(h *History) {
			setFailed(&h.Calls[flag], OutcomeNotRun)
			h.Calls[flag].Code = CodeOverloaded
			h.Calls[flag].Sent = at(2)
			h.Runs = h.Runs[1:]
		}},
		{"partial response with a visible failure", func(h *History) {
			h.Calls[docket].Outcome, h.Calls[docket].Text = OutcomeFailed, "answ"
			h.Faults = []Fault{{Kind: "cut", Process: "vm0", At: at(2), Cleared: at(3)}}
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
