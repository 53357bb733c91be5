package backend

import "time"

const (
	// tombstoneLife is for how long the last entry of a server that is gone is kept: a copy from
	// which the store comes back is seconds old.
	tombstoneLife = time.Minute
	// maxTombstones bounds the entries: each server replaced a few times within that minute.
	maxTombstones = 4096
)

// tombstones hold the last entries of servers that are gone, by id, so that an older copy of
// the list doesn't bring them back.
type tombstones map[string]tombstone

type tombstone struct {
	info Info
	at   time.Time
}

// add keeps an entry.
func (p tombstones) add(now time.Time, info *Info) {
	if len(p) >= maxTombstones {
		p.expire(now)
	}
	if len(p) < maxTombstones {
		p[info.ID] = tombstone{info: *info, at: now}
	}
}

// expire drops what was kept for long enough.
func (p tombstones) expire(now time.Time) {
	for id, e := range p {
		if now.Sub(e.at) > tombstoneLife {
			delete(p, id)
		}
	}
}

// has reports whether a server was gone after it wrote an entry.
func (p tombstones) has(now time.Time, info *Info) bool {
	e, ok := p[info.ID]
	return ok && now.Sub(e.at) <= tombstoneLife && !e.info.olderThan(info)
}
