package targets

import "time"

// fetchRetryInterval is the time after which a Set is requested from another
// peer if the first one hasn't sent it. Transferring a Set at the system's target
// size takes a few milliseconds. A shorter interval would fetch the same Set several
// times, because many peers announce a change at almost the same moment.
const fetchRetryInterval = 200 * time.Millisecond

// fetchState records the newest announced version and the last request for it.
type fetchState struct {
	// newestAnnounced is the highest version that a peer has announced.
	newestAnnounced uint64
	// requestedAt is the time of the last request.
	requestedAt time.Time
}

// ShouldFetch records that a peer announced version and reports whether to
// request the Set from that peer. It returns true if version is newer than the
// current Set, and either newer than all versions announced before or no Set was
// requested within fetchRetryInterval.
func (c *Cache) ShouldFetch(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.current.Version {
		return false
	}
	now := time.Now()
	alreadyAnnounced := version <= c.fetch.newestAnnounced
	c.fetch.newestAnnounced = max(c.fetch.newestAnnounced, version)
	if alreadyAnnounced && now.Sub(c.fetch.requestedAt) < fetchRetryInterval {
		return false
	}
	c.fetch.requestedAt = now
	return true
}

// Behind reports whether a peer has announced a version newer than the current
// one. A process that stays behind sends its own version to its peers, so that
// one of them announces the newer version again.
func (c *Cache) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetch.newestAnnounced > c.current.Version
}
