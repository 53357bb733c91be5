package policy

import "time"

// earliest holds the earliest of the times added to it; zero if none was added.
type earliest struct {
	at time.Time
}

func (e *earliest) add(t time.Time) {
	if e.at.IsZero() || t.Before(e.at) {
		e.at = t
	}
}
