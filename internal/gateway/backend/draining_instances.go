package backend

import "time"

const (
	// drainingTTL is how long after the last news of a draining instance it is remembered. Servers end
	// within seconds or minutes of announcing it.
	drainingTTL = time.Hour
	// maxDraining bounds the instances that are remembered. It leaves room for all servers of a large
	// deployment to be replaced a few times within drainingTTL.
	maxDraining = 8192
)

// drainingInstances holds the instances that are known to drain, by ID. Only the latest instance under
// an ID is kept.
type drainingInstances map[string]drainingInstance

// drainingInstance is an instance that is known to drain.
type drainingInstance struct {
	info     Info
	lastNews time.Time
}

// add records that an instance drains. A late entry of an earlier instance doesn't displace that of a
// later one.
func (l drainingInstances) add(now time.Time, info *Info) {
	known, ok := l[info.ID]
	if ok && info.StartUnixMilli < known.info.StartUnixMilli {
		return
	}
	if !ok && len(l) >= maxDraining {
		l.evict(now)
	}
	l[info.ID] = drainingInstance{info: *info, lastNews: now}
}

// contains reports whether the instance of an entry is known to drain, and counts the entry as news of
// it. An instance that started before one that drains has ended.
func (l drainingInstances) contains(now time.Time, info *Info) bool {
	known, ok := l[info.ID]
	endedBefore := info.StartUnixMilli != 0 && info.StartUnixMilli < known.info.StartUnixMilli
	if !ok || !endedBefore && !known.info.sameRun(info) {
		return false
	}
	known.lastNews = now
	l[info.ID] = known
	return true
}

// evict deletes the expired instances, or the one with the oldest news if none has expired.
func (l drainingInstances) evict(now time.Time) {
	var oldest string
	for id, instance := range l {
		if now.Sub(instance.lastNews) > drainingTTL {
			delete(l, id)
			continue
		}
		if oldest == "" || instance.lastNews.Before(l[oldest].lastNews) {
			oldest = id
		}
	}
	if len(l) >= maxDraining {
		delete(l, oldest)
	}
}
