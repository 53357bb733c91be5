package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Violation is a promise that wasn't kept.
type Violation struct {
	Check, Detail string
}

func (v Violation) String() string { return v.Check + ": " + v.Detail }

// Names of the checks.
const (
	checkOwn     = "own and whole"
	checkOnce    = "once at most"
	checkNotRun  = "not run"
	checkLost    = "lost"
	checkOrder   = "order"
	checkGrace   = "grace"
	checkKey     = "key taken away"
	checkState   = "state goes back"
	checkBounded = "bounded"
	checkServed  = "served again"
	checkDuties  = "one at a time"
)

// index is a history with what the checks look up.
type index struct {
	History
	arrivals map[string][]Arrival
}

// Check judges a history; nil if every promise was kept.
func Check(h History) []Violation {
	x := index{History: h, arrivals: map[string][]Arrival{}}
	for _, a := range h.Arrivals {
		x.arrivals[a.ID] = append(x.arrivals[a.ID], a)
	}
	var all []Violation
	report := func(check, format string, args ...any) {
		all = append(all, Violation{check, fmt.Sprintf(format, args...)})
	}
	for _, c := range h.Calls {
		x.own(c, report)
		x.once(c, report)
		x.notRun(c, report)
		if x.owed(c) && !c.Whole {
			report(checkLost, "%s; reached %v", c, x.arrivals[c.ID])
		}
		x.order(c, report)
	}
	x.keys(report)
	x.stops(report)
	x.readings(report)
	for _, p := range h.Probes {
		if p.After < 0 || p.After > h.Bounds.Recover {
			report(checkServed, "%s at %s after %s", p.Kind, p.Gateway, p.After)
		}
	}
	for _, broken := range h.Duties.Broken {
		report(checkDuties, "%s", broken)
	}
	return all
}

type reporter func(check, format string, args ...any)

func success(status int) bool { return status >= 200 && status < 300 }

// own: an answer is the caller's own and whole, or doesn't look so.
func (x index) own(c Call, report reporter) {
	whole := Whole(c.Kind, c.ID, 0)
	switch {
	case c.Stray:
		report(checkOwn, "%s: bytes that nothing had asked for", c)
	case c.Echoed != "" && c.Echoed != c.ID:
		report(checkOwn, "%s: an answer to %s", c, c.Echoed)
	case !success(c.Status):
	case c.Whole && !c.Signed:
		report(checkOwn, "%s: a success that no server signed", c)
	case c.Whole && c.Body != whole:
		report(checkOwn, "%s: looks whole: %q", c, c.Body)
	case !strings.HasPrefix(whole, c.Body):
		report(checkOwn, "%s: another's bytes: %q", c, c.Body)
	}
}

// once: what may run once at most did.
func (x index) once(c Call, report reporter) {
	if runs := x.runs(c.ID); c.once() && runs > 1 {
		report(checkOnce, "%s: ran %d times: %v", c, runs, x.arrivals[c.ID])
	}
}

// notRun: what is refused as not run never ran.
func (x index) notRun(c Call, report reporter) {
	refusals := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if slices.Contains(refusals, c.Status) && x.runs(c.ID) > 0 {
		report(checkNotRun, "%s: ran: %v", c, x.arrivals[c.ID])
	}
}

func (x index) runs(id string) (runs int) {
	for _, a := range x.arrivals[id] {
		if a.Ran {
			runs++
		}
	}
	return runs
}

// owed: a request that was written whole to a kept connection and reached a
// backend server has an answer, unless something unplanned hit what it met. A
// slow path, a planned stop, new settings and desired states excuse nothing.
func (x index) owed(c Call) bool {
	arrivals := x.arrivals[c.ID]
	if c.Before == 0 || !c.Written || len(arrivals) == 0 || x.hit(c.Gateway, c) {
		return false
	}
	for _, a := range arrivals {
		// An answer of which a part has been passed on ends where the
		// server's does; before that there is still another one to give.
		if x.hit(a.Server, c) || a.Cut && c.Status != 0 {
			return false
		}
	}
	// The route's time was up in the midst of an answer.
	return c.Status == 0 || c.Done.Sub(c.Sent) < c.Timeout
}

// Owed counts the requests that check "lost" judged.
func Owed(h History) (owed int) {
	x := index{History: h, arrivals: map[string][]Arrival{}}
	for _, a := range h.Arrivals {
		x.arrivals[a.ID] = append(x.arrivals[a.ID], a)
	}
	for _, c := range h.Calls {
		if x.owed(c) {
			owed++
		}
	}
	return owed
}

// hit reports whether a process or its path was in trouble during a call.
func (x index) hit(who string, c Call) bool {
	for _, f := range x.Faults {
		if f.Who == who && f.From.Before(c.Done) && (f.To.IsZero() || f.To.After(c.Sent.Add(-x.Bounds.Contact))) {
			return true
		}
	}
	return false
}

// order: the events of a stream come in order, each once, and a stream that
// looks whole has its last one.
func (x index) order(c Call, report reporter) {
	if !streams(c.Kind) || !success(c.Status) {
		return
	}
	seen := 0
	for _, event := range strings.Split(c.Body, "\n\n") {
		var n int
		if _, err := fmt.Sscanf(event, "id: %d\n", &n); err != nil {
			// The end, or an event that was broken off.
			continue
		}
		if n != seen+1 {
			report(checkOrder, "%s: event %d follows %d", c, n, seen)
			return
		}
		seen = n
	}
	if c.Whole && seen < streamEvents {
		report(checkOrder, "%s: looks whole after event %d", c, seen)
	}
}

// keys: a key that was taken away stops working within its bound.
func (x index) keys(report reporter) {
	ends := map[string]time.Time{}
	for _, s := range x.States {
		for _, key := range s.Removed {
			ends[key] = s.At.Add(x.Bounds.Revoke)
		}
	}
	for _, c := range x.Calls {
		if end, removed := ends[c.Key]; removed && c.Sent.After(end) && x.runs(c.ID) > 0 {
			report(checkKey, "%s: ran %s after the bound", c, c.Sent.Sub(end))
		}
	}
}

// stops: a gateway that is told to stop ends by itself within its grace period.
// One that was frozen meanwhile may take that much longer.
func (x index) stops(report reporter) {
	for _, s := range x.Stops {
		took := s.End.Sub(s.At)
		for _, f := range x.Faults {
			if f.Who == s.Gateway && f.Kind == kindFreeze && f.From.Before(s.End) && f.To.After(s.At) {
				took -= f.To.Sub(f.From)
			}
		}
		if took > s.Grace || s.Failed {
			report(checkGrace, "%s: stop at %s took %s of %s, failed %v", s.Gateway, s.At.Format("15:04:05.000"), took, s.Grace, s.Failed)
		}
	}
}

// readings: in one process the desired state in force never goes back, and
// memory and descriptors are bounded.
func (x index) readings(report reporter) {
	most := map[int]uint64{}
	for _, r := range x.Readings {
		at := fmt.Sprintf("%s, process %d, at %s", r.Gateway, r.Process, r.At.Format("15:04:05.000"))
		if r.Version < most[r.Process] {
			report(checkState, "%s: %d after %d", at, r.Version, most[r.Process])
		}
		most[r.Process] = max(most[r.Process], r.Version)
		if r.MemoryMB > x.Bounds.MemoryMB {
			report(checkBounded, "%s: %.0f MB of %.0f", at, r.MemoryMB, x.Bounds.MemoryMB)
		}
		if r.Descriptors > x.Bounds.Descriptors {
			report(checkBounded, "%s: %d descriptors of %d", at, r.Descriptors, x.Bounds.Descriptors)
		}
	}
}
