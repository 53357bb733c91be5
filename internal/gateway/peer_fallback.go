package gateway

import "time"

// storeWait is how long to wait for the store before querying another gateway. Normally the store's
// feed delivers a change within milliseconds.
const storeWait = 300 * time.Millisecond

// peerFallback decides when to query another gateway for data that the store hasn't delivered.
type peerFallback struct {
	// waitingSince is the start of the current wait for the store; zero while no data is missing.
	waitingSince time.Time
}

// due reports whether to query another gateway now, given whether data is missing. Each true result
// starts a new wait for the store, since the other gateway's data may not be usable here.
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
