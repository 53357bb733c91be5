package backend

import "time"

const (
	// pastFor is for how long the last entry of a server that is gone is kept: a copy from
	// which the store comes back is seconds old.
	pastFor = time.Minute
	// mostPast bounds the entries: each server replaced a few times within that minute.
	mostPast = 4096
)

// past holds the last entries of servers that are gone, by id, so that an older copy of
// the list doesn't bring them back.
type past map[string]pastEntry

type pastEntry struct {
	info Info
	at   time.Time
}

// add keeps an entry.
func (p past) add(now time.Time, info *Info) {
	if len(p) >= mostPast {
		p.expire(now)
	}
	if len(p) < mostPast {
		p[info.ID] = pastEntry{info: *info, at: now}
	}
}

// expire drops what was kept for long enough.
func (p past) expire(now time.Time) {
	for id, e := range p {
		if now.Sub(e.at) > pastFor {
			delete(p, id)
		}
	}
}

// has reports whether a server was gone after it wrote an entry.
func (p past) has(info *Info) bool {
	e, ok := p[info.ID]
	return ok && !e.info.olderThan(info)
}
