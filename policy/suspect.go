package policy

import (
	"slices"
	"time"
)

// mostCrashes bounds the crashes that are remembered of one request: more than its
// quarantine takes, so that the few that explain most stand out.
const mostCrashes = 8

// suspect is a request under which servers ended.
type suspect struct {
	cleared time.Time
	crashes []Crash
	// seen is when it came last, or was told of.
	seen time.Time
	// tellings is how many times it is still to be told.
	tellings int
	// repeated says that more than one server has ended under it.
	repeated bool
}

// crashed notes a crash; it reports whether that is news.
func (s *suspect) crashed(c Crash) bool {
	known := slices.ContainsFunc(s.crashes, func(other Crash) bool { return other.Start == c.Start })
	if known || len(s.crashes) >= mostCrashes || !c.At.After(s.cleared) {
		return false
	}
	s.crashes = append(s.crashes, c)
	s.repeated = s.repeated || len(s.crashes) > 1
	return true
}

// clear notes a whole answer; it reports whether crashes are forgotten for it.
func (s *suspect) clear(at time.Time) bool {
	s.cleared = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return !c.At.After(at) })
	return len(s.crashes) != before
}

// unexplained counts the crashes that aren't explained.
func (s *suspect) unexplained(explained map[Key]bool) int {
	n := 0
	for _, c := range s.crashes {
		if !explained[c.Start] {
			n++
		}
	}
	return n
}

// before reports whether a suspect is forgotten before another.
func (s *suspect) before(other *suspect) bool {
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) < len(other.crashes)
	}
	return s.seen.Before(other.seen)
}

// suspicion is what others are told.
func (s *suspect) suspicion(f Fingerprint) Suspicion {
	return Suspicion{Fingerprint: f, Cleared: s.cleared, Crashes: slices.Clone(s.crashes)}
}
