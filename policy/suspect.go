package policy

import (
	"slices"
	"time"
)

// clearedFor is for how long after a whole answer crashes don't count: longer than what is
// asked for often takes to be answered again, and short enough that a request which
// crashes the next release of a server is soon found out.
const clearedFor = 10 * time.Second

// clearedAgain is by how much later a whole answer has to be than the one that is known:
// what passes through several senders seems younger each time.
const clearedAgain = time.Second

// mostCrashes bounds the crashes that are remembered of one request: more than its
// quarantine takes, so that the few that explain most stand out.
const mostCrashes = 8

// suspect is a request under which servers ended.
type suspect struct {
	cleared time.Time
	crashes []Crash
	// seen is when it came last, at any sender.
	seen time.Time
	// tellings is how many times it is still to be told.
	tellings int
	// repeated says that more than one server has ended under it.
	repeated bool
}

// crashed notes a crash; it reports whether that is news.
func (s *suspect) crashed(c Crash) bool {
	known := slices.ContainsFunc(s.crashes, func(other Crash) bool { return other.Start == c.Start })
	if known || len(s.crashes) >= mostCrashes || s.excuses(c) {
		return false
	}
	s.crashes = append(s.crashes, c)
	s.repeated = s.repeated || len(s.crashes) > 1
	return true
}

// clear notes a whole answer; it reports whether crashes are forgotten for it.
func (s *suspect) clear(at time.Time) bool {
	if at.Sub(s.cleared) < clearedAgain {
		return false
	}
	s.cleared = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, s.excuses)
	return len(s.crashes) != before
}

// excuses reports whether a crash doesn't count, since the request was answered whole.
func (s *suspect) excuses(c Crash) bool {
	return !s.cleared.IsZero() && !c.At.After(s.cleared.Add(clearedFor))
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
	return Suspicion{Fingerprint: f, Cleared: s.cleared, Seen: s.seen, Crashes: slices.Clone(s.crashes)}
}
