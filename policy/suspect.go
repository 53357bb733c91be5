package policy

import (
	"slices"
	"time"
)

// crashGracePeriod is the time after a complete response during which crashes don't count. It
// is longer than the usual time between two complete responses to a frequent request, and short
// enough that a request which crashes a server's next release is detected soon.
const crashGracePeriod = 10 * time.Second

// minClearAdvance is the least time between the known complete response and a later one that
// replaces it. Gateways exchange ages without the time in transit, so a response seems newer
// each time that it is relayed.
const minClearAdvance = time.Second

// maxCrashes bounds the crashes remembered for a request. It is above quarantineAfter, so that
// the few requests that explain most crashes stand out.
const maxCrashes = 8

// suspect is the state of a request that was running when server instances ended.
type suspect struct {
	// cleared is when a server last answered the request completely; zero for never.
	cleared time.Time
	crashes []Crash
	// seen is when the request last arrived at any gateway.
	seen time.Time
	// sendsLeft is how many more times the suspect is to be sent to other gateways.
	sendsLeft int
	// repeated says that more than one server instance has ended while running the request.
	repeated bool
}

// addCrash records a crash. It reports whether the crash counts and wasn't known.
func (s *suspect) addCrash(c Crash) bool {
	known := slices.ContainsFunc(s.crashes, func(other Crash) bool { return other.Instance == c.Instance })
	if known || len(s.crashes) >= maxCrashes || s.withinGracePeriod(c) {
		return false
	}
	s.crashes = append(s.crashes, c)
	s.repeated = s.repeated || len(s.crashes) > 1
	return true
}

// clear records a complete response. It reports whether crashes were dropped as a result.
func (s *suspect) clear(at time.Time) bool {
	if at.Sub(s.cleared) < minClearAdvance {
		return false
	}
	s.cleared = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, s.withinGracePeriod)
	return len(s.crashes) != before
}

// withinGracePeriod reports whether a crash doesn't count because it happened before the
// crashGracePeriod after the last complete response had ended.
func (s *suspect) withinGracePeriod(c Crash) bool {
	return !s.cleared.IsZero() && !c.At.After(s.cleared.Add(crashGracePeriod))
}

// unexplained returns the number of crashes whose instances aren't in explained.
func (s *suspect) unexplained(explained map[Key]bool) int {
	n := 0
	for _, c := range s.crashes {
		if !explained[c.Instance] {
			n++
		}
	}
	return n
}

// evictBefore reports whether the suspect is evicted before another one.
func (s *suspect) evictBefore(other *suspect) bool {
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) < len(other.crashes)
	}
	return s.seen.Before(other.seen)
}

// suspicion returns the state to send to other gateways.
func (s *suspect) suspicion(f Fingerprint) Suspicion {
	return Suspicion{Fingerprint: f, Cleared: s.cleared, Seen: s.seen, Crashes: slices.Clone(s.crashes)}
}
