package platform

import "time"

// limiter counts calls in windows of a second.
type limiter struct {
	window time.Time
	used   int
}

// take reports whether one more call fits into the second of now.
func (l *limiter) take(now time.Time, limit int) bool {
	window := now.Truncate(time.Second)
	if !window.Equal(l.window) {
		l.window = window
		l.used = 0
	}
	if l.used >= limit {
		return false
	}
	l.used++
	return true
}
