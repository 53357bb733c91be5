package policy

import "time"

// earliest keeps the earliest of the times that are added; zero when none was.
type earliest struct {
	at time.Time
}

func (e *earliest) add(t time.Time) {
	if e.at.IsZero() || t.Before(e.at) {
		e.at = t
	}
}
