package gateway

import "time"

// storeFirst is how long the store is waited for before another gateway is
// asked: when all is well its feed tells of a change in milliseconds.
const storeFirst = 300 * time.Millisecond

// lag says when another gateway is to be asked for what the store hasn't told.
type lag struct {
	// since is from when on the store is waited for; zero while nothing lacks.
	since time.Time
}

// due reports whether another gateway is to be asked now. After that the store
// is waited for again: what the other one has may be of no use here.
func (l *lag) due(now time.Time, lacking bool) bool {
	switch {
	case !lacking:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	case now.Sub(l.since) >= storeFirst:
		l.since = now
		return true
	}
	return false
}
