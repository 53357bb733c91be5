package gateway

import "time"

// storeWait is how long the store is waited for before another gateway is
// asked: when all is well its feed tells of a change in milliseconds.
const storeWait = 300 * time.Millisecond

// peerFallback says when another gateway is to be asked for what the store hasn't told.
type peerFallback struct {
	// waitingSince is from when on the store is waited for; zero while nothing lacks.
	waitingSince time.Time
}

// due reports whether another gateway is to be asked now. After that the store
// is waited for again: what the other one has may be of no use here.
func (f *peerFallback) due(now time.Time, missing bool) bool {
	switch {
	case !missing:
		f.waitingSince = time.Time{}
	case f.waitingSince.IsZero():
		f.waitingSince = now
	case now.Sub(f.waitingSince) >= storeWait:
		f.waitingSince = now
		return true
	}
	return false
}
