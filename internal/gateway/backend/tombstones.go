package backend

import "time"

const (
	// tombstoneTTL is how long the last entry of a removed server is kept. A copy from which the
	// store is restored is only seconds old.
	tombstoneTTL = time.Minute
	// maxTombstones leaves room for each server to be replaced a few times within tombstoneTTL.
	maxTombstones = 4096
)

// tombstones holds the last entries of removed servers by ID, so that a store restored from an
// older copy does not bring them back.
type tombstones map[string]tombstone

// tombstone is the last entry of a removed server.
type tombstone struct {
	info      Info
	removedAt time.Time
}

// add records the last entry of a removed server. It does nothing if there are maxTombstones that
// have not expired.
func (ts tombstones) add(now time.Time, info *Info) {
	if len(ts) >= maxTombstones {
		ts.expire(now)
	}
	if len(ts) < maxTombstones {
		ts[info.ID] = tombstone{info: *info, removedAt: now}
	}
}

// expire deletes the tombstones older than tombstoneTTL.
func (ts tombstones) expire(now time.Time) {
	for id, t := range ts {
		if now.Sub(t.removedAt) > tombstoneTTL {
			delete(ts, id)
		}
	}
}

// supersedes reports whether the server was removed within tombstoneTTL with an entry at least as new
// as info.
func (ts tombstones) supersedes(now time.Time, info *Info) bool {
	t, ok := ts[info.ID]
	return ok && now.Sub(t.removedAt) <= tombstoneTTL && !t.info.olderThan(info)
}
