package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Violation describes a guarantee that was broken.
type Violation struct {
	Check, Detail string
}

func (v Violation) String() string { return v.Check + ": " + v.Detail }

// Names of the checks, as reported in Violation.Check.
const (
	checkIntegrity       = "own and whole"
	checkAtMostOnce      = "once at most"
	checkNotRun          = "not run"
	checkLost            = "lost"
	checkStreamOrder     = "order"
	checkGrace           = "grace"
	checkRevokedKey      = "key taken away"
	checkStateRegression = "state goes back"
	checkResourceUse     = "bounded"
	checkRecovery        = "served again"
	checkSingleHolder    = "one at a time"
	checkVersions        = "one version"
	checkResumptions     = "resumed"
	checkDeadlySegments  = "deadly segments"
	checkSoundRequests   = "sound requests"
	checkDraining        = "draining"
	checkBackoff         = "backoff"
	checkRetries         = "retries"
	checkEndlessHeads    = "endless heads"
)

// indexedHistory is a History with its arrivals indexed by request ID.
type indexedHistory struct {
	History
	arrivals map[string][]Arrival
}

// Check returns all violations in a history; nil if every guarantee was kept.
func Check(h History) []Violation {
	indexed := indexedHistory{History: h, arrivals: map[string][]Arrival{}}
	for _, a := range h.Arrivals {
		indexed.arrivals[a.ID] = append(indexed.arrivals[a.ID], a)
	}
	var violations []Violation
	report := func(check, format string, args ...any) {
		violations = append(violations, Violation{check, fmt.Sprintf(format, args...)})
	}
	for _, c := range h.Calls {
		indexed.verifyIntegrity(c, report)
		indexed.verifyAtMostOnce(c, report)
		indexed.verifyNotRun(c, report)
		if indexed.responseOwed(c) && !c.Whole {
			report(checkLost, "%s: no complete response; arrivals: %v", c, indexed.arrivals[c.ID])
		}
		indexed.verifyStreamOrder(c, report)
	}
	indexed.verifyVersions(report)
	indexed.verifyResumptions(report)
	indexed.verifySegments(report)
	indexed.verifyNotices(report)
	indexed.verifyRetries(report)
	indexed.verifyEndlessHeads(report)
	indexed.verifyRevokedKeys(report)
	indexed.verifyStops(report)
	indexed.verifyReadings(report)
	for _, p := range h.Probes {
		if p.After < 0 || p.After > h.Bounds.Recover {
			report(checkRecovery, "%s at %s: served after %s (negative: never); stalls of the soak: %d", p.Kind, p.Gateway, p.After, len(h.Stalls))
		}
	}
	for _, broken := range h.Duties.Broken {
		report(checkSingleHolder, "%s", broken)
	}
	return violations
}

type reportFunc func(check, format string, args ...any)

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// verifyIntegrity checks that a response which appears complete is the complete
// response to this request, and that a partial one contains no foreign bytes.
func (h indexedHistory) verifyIntegrity(c Call, report reportFunc) {
	expected := expectedBody(c.Kind, c.ID, 0)
	isOwn := func(whole bool) bool {
		if isStream(c.Kind) {
			return isStreamBody(c.Body, c.stream(), c.After, whole)
		}
		if !whole && h.reachedScript(c.ID, scriptEndlessBody) {
			return isEndlessBody(c.Body, expected)
		}
		return c.Body == expected || !whole && strings.HasPrefix(expected, c.Body)
	}
	switch {
	case c.Stray:
		report(checkIntegrity, "%s: unsolicited bytes before the request", c)
	case c.Echoed != "" && c.Echoed != c.ID:
		report(checkIntegrity, "%s: the response has the request ID %s", c, c.Echoed)
	case !isSuccess(c.Status):
	case c.Whole && !c.Signed:
		report(checkIntegrity, "%s: successful response without a server's signature", c)
	case c.Whole && !isOwn(true):
		report(checkIntegrity, "%s: the response appears complete but has a wrong body: %q", c, c.Body)
	case !isOwn(false):
		report(checkIntegrity, "%s: the partial body has foreign bytes: %q", c, c.Body)
	}
}

// reachedScript reports whether a request reached a server of a script.
func (h indexedHistory) reachedScript(id, script string) bool {
	return slices.ContainsFunc(h.arrivals[id], func(a Arrival) bool { return a.Script == script })
}

// verifyAtMostOnce checks that a request which may run at most once did so.
func (h indexedHistory) verifyAtMostOnce(c Call, report reportFunc) {
	if runs := h.runCount(c.ID); c.runsAtMostOnce() && runs > 1 {
		report(checkAtMostOnce, "%s: ran %d times: %v", c, runs, h.arrivals[c.ID])
	}
}

// verifyNotRun checks that a request which was refused with a status that means
// "not run" never ran.
func (h indexedHistory) verifyNotRun(c Call, report reportFunc) {
	refusals := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if slices.Contains(refusals, c.Status) && h.runCount(c.ID) > 0 {
		report(checkNotRun, "%s: ran although it was refused: %v", c, h.arrivals[c.ID])
	}
}

// runCount returns how often servers ran a request.
func (h indexedHistory) runCount(id string) (runs int) {
	for _, a := range h.arrivals[id] {
		if a.Ran {
			runs++
		}
	}
	return runs
}

// responseOwed reports whether a call must have a complete response: its request
// was written completely to a reused connection and reached a backend server, and
// no unplanned fault affected the gateway or the servers involved. A slow path,
// a planned stop, new settings and new desired states are no excuse.
func (h indexedHistory) responseOwed(c Call) bool {
	arrivals := h.arrivals[c.ID]
	if c.Before == 0 || c.Left || !c.Written || len(arrivals) == 0 || h.affectedByFault(c.Gateway, c) {
		return false
	}
	for _, a := range arrivals {
		// A response that has been forwarded in part ends where the server
		// broke it off; before that the gateway can still send another one.
		if h.affectedByFault(a.Server, c) || a.Cut && c.Status != 0 {
			return false
		}
	}
	// A response may be broken off when the route's timeout expires.
	return c.Status == 0 || c.Done.Sub(c.Sent) < c.Timeout
}

// CountOwed returns the number of calls to which the check "lost" applies.
func CountOwed(h History) (owed int) {
	indexed := indexedHistory{History: h, arrivals: map[string][]Arrival{}}
	for _, a := range h.Arrivals {
		indexed.arrivals[a.ID] = append(indexed.arrivals[a.ID], a)
	}
	for _, c := range h.Calls {
		if indexed.responseOwed(c) {
			owed++
		}
	}
	return owed
}

// affectedByFault reports whether a fault affected a process or its network path
// during a call or within Bounds.Contact before it.
func (h indexedHistory) affectedByFault(process string, c Call) bool {
	for _, f := range h.Faults {
		if f.Who == process && f.From.Before(c.Done) && (f.To.IsZero() || f.To.After(c.Sent.Add(-h.Bounds.Contact))) {
			return true
		}
	}
	return false
}

// verifyStreamOrder checks that the events of a stream arrive in order and once
// each, and that a stream which appears complete includes its last event.
func (h indexedHistory) verifyStreamOrder(c Call, report reportFunc) {
	if !isStream(c.Kind) || !isSuccess(c.Status) {
		return
	}
	last := c.After
	for _, event := range strings.Split(c.Body, "\n\n") {
		var n int
		if _, err := fmt.Sscanf(event, "id: %d\n", &n); err != nil {
			// The end of the body or a truncated event.
			continue
		}
		if n != last+1 {
			report(checkStreamOrder, "%s: event %d follows %d", c, n, last)
			return
		}
		last = n
	}
	if c.Whole && last < streamEventCount {
		report(checkStreamOrder, "%s: the stream appears complete after event %d", c, last)
	}
}

// verifyRevokedKeys checks that a removed key stops working within Bounds.Revoke.
func (h indexedHistory) verifyRevokedKeys(report reportFunc) {
	deadlines := map[string]time.Time{}
	for _, s := range h.States {
		for _, key := range s.Removed {
			deadlines[key] = s.At.Add(h.Bounds.Revoke)
		}
	}
	for _, c := range h.Calls {
		if deadline, removed := deadlines[c.Key]; removed && c.Sent.After(deadline) && h.runCount(c.ID) > 0 {
			report(checkRevokedKey, "%s: ran; it was sent %s after the key had to stop working", c, c.Sent.Sub(deadline))
		}
	}
}

// verifyStops checks that a gateway exits by itself within its grace period after
// a planned stop. Time for which it was paused doesn't count.
func (h indexedHistory) verifyStops(report reportFunc) {
	for _, s := range h.Stops {
		took := s.End.Sub(s.At) - h.pausedTime(s.Gateway, s.At, s.End)
		if took > s.Grace || s.Failed {
			report(checkGrace, "%s: stop at %s took %s, grace period %s, failed: %v; the kernel said so at %s; longest stall of the soak meanwhile: %s",
				s.Gateway, s.At.Format("15:04:05.000"), took, s.Grace, s.Failed, s.Gone.Format("15:04:05.000"), h.longestStall(s.At, s.End))
		}
	}
}

// pausedTime returns for how long between two times a gateway was paused, for one
// reason or several.
func (h indexedHistory) pausedTime(gateway string, from, to time.Time) time.Duration {
	var pauses []Fault
	for _, f := range h.Faults {
		if f.Who == gateway && f.Kind == kindPause {
			pauses = append(pauses, f)
		}
	}
	slices.SortFunc(pauses, func(a, b Fault) int { return a.From.Compare(b.From) })
	var paused time.Duration
	for _, f := range pauses {
		if f.From.After(from) {
			from = f.From
		}
		if until := minTime(f.To, to); until.After(from) {
			paused += until.Sub(from)
			from = until
		}
	}
	return paused
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// verifyReadings checks that the version of the desired state never decreases
// within one process, and that memory and file descriptors stay within their bounds.
func (h indexedHistory) verifyReadings(report reportFunc) {
	highest := map[int]uint64{}
	for _, r := range h.Readings {
		where := fmt.Sprintf("%s, process %d, at %s", r.Gateway, r.Process, r.At.Format("15:04:05.000"))
		if r.Version < highest[r.Process] {
			report(checkStateRegression, "%s: version %d of the desired state after version %d", where, r.Version, highest[r.Process])
		}
		highest[r.Process] = max(highest[r.Process], r.Version)
		if r.MemoryMB > h.Bounds.MemoryMB {
			report(checkResourceUse, "%s: %.0f MB of memory, limit %.0f MB", where, r.MemoryMB, h.Bounds.MemoryMB)
		}
		if r.Descriptors > h.Bounds.Descriptors {
			report(checkResourceUse, "%s: %d file descriptors, limit %d", where, r.Descriptors, h.Bounds.Descriptors)
		}
	}
}
