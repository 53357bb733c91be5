package policy

import (
	"cmp"
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

// maxCrashes bounds the crashes remembered for a suspect. It is far above the thresholds, so that the
// few suspects that explain most crashes stand out also when servers end faster than they are known.
const maxCrashes = 32

// suspect is the state of a request or segment that was running when server instances ended.
type suspect struct {
	segment bool
	// cleared is when a server last answered a request with it; zero for never.
	cleared time.Time
	crashes []Crash
	// seen is when a request with it last arrived at any gateway.
	seen time.Time
	// sendsLeft is how many more times the suspect is to be sent to other gateways.
	sendsLeft int
	// repeated says that more than one server instance has ended while running it.
	repeated bool
	// observedHere says that this gateway has observed one of the crashes.
	observedHere bool
}

func newSuspect(id SuspectID) *suspect { return &suspect{segment: id.Segment} }

// threshold returns the number of crashes after which the suspect is quarantined.
func (s *suspect) threshold() int {
	if s.segment {
		return segmentQuarantineAfter
	}
	return quarantineAfter
}

// gracePeriod returns the time after an answer during which crashes don't count.
func (s *suspect) gracePeriod() time.Duration {
	if s.segment {
		return segmentGracePeriod
	}
	return crashGracePeriod
}

// addCrash records a crash. It reports whether the crash counts and wasn't known, or was known with a
// request that had been at the instance for longer.
func (s *suspect) addCrash(c Crash) bool {
	if s.withinGracePeriod(c) {
		return false
	}
	if i := slices.IndexFunc(s.crashes, func(other Crash) bool { return other.Instance == c.Instance }); i >= 0 {
		if known := &s.crashes[i]; known.Ran > c.Ran {
			known.Ran = c.Ran
			return true
		}
		return false
	}
	crashes := append(slices.Clone(s.crashes), c)
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance, b.Instance)) })
	if len(crashes) > maxCrashes {
		excess := indexOfLargestSample(crashes)
		if crashes[excess].Instance == c.Instance {
			return false
		}
		crashes = slices.Delete(crashes, excess, excess+1)
	}
	s.crashes = crashes
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

// withinGracePeriod reports whether a crash doesn't count because of the last answer.
func (s *suspect) withinGracePeriod(c Crash) bool {
	return withinGracePeriod(s.cleared, s.gracePeriod(), c)
}

// withinGracePeriod reports whether a crash doesn't count because it happened before the grace
// period after the last answer had ended. cleared is zero if there was no answer.
func withinGracePeriod(cleared time.Time, grace time.Duration, c Crash) bool {
	return !cleared.IsZero() && !c.At.After(cleared.Add(grace))
}

// unexplained returns the crashes that aren't explained.
func (s *suspect) unexplained(explained *explanation) []Crash {
	return slices.DeleteFunc(slices.Clone(s.crashes), explained.explains)
}

// count returns how many of the suspect's crashes count as separate evidence: all of them, or only the
// independent ones if it is a segment that has been answered.
func (s *suspect) count(crashes []Crash) int {
	if s.segment && !s.cleared.IsZero() {
		return len(independent(crashes))
	}
	return len(crashes)
}

// compareEviction orders suspects by which of them is evicted first.
func (s *suspect) compareEviction(other *suspect) int {
	return cmp.Or(cmp.Compare(len(s.crashes), len(other.crashes)), s.seen.Compare(other.seen))
}

// suspicion returns the state to send to other gateways.
func (s *suspect) suspicion(id SuspectID) Suspicion {
	return Suspicion{ID: id, Cleared: s.cleared, Seen: s.seen, Crashes: slices.Clone(s.crashes)}
}
