package policy

import "time"

// Suspicion is what is known about a suspect that was running when server instances ended.
type Suspicion struct {
	ID SuspectID
	// Cleared is when a server last answered a request with it; zero for never.
	Cleared time.Time
	// Seen is when a request with it last arrived at any gateway.
	Seen time.Time
	// Crashes are the crashes that count since it was cleared.
	Crashes []Crash
}

// LastCrash returns when the last server instance ended; zero for none.
func (s Suspicion) LastCrash() time.Time {
	var last time.Time
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}
