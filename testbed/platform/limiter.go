package platform

import "time"

// limiter is a rate limiter with fixed windows of one second.
type limiter struct {
	window time.Time
	count  int
}

// allow counts one request and reports whether it fits within the current window's limit.
func (l *limiter) allow(now time.Time, limit int) bool {
	window := now.Truncate(time.Second)
	if !window.Equal(l.window) {
		l.window = window
		l.count = 0
	}
	if l.count >= limit {
		return false
	}
	l.count++
	return true
}
