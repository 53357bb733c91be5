package backend

import "time"

const (
	// leavingTTL is how long after the last news of a leaving instance it is remembered. Servers end
	// within seconds or minutes of announcing it.
	leavingTTL = time.Hour
	// maxLeaving bounds the instances that are remembered. It leaves room for all servers of a large
	// deployment to be replaced a few times within leavingTTL.
	maxLeaving = 8192
)

// leavingInstances holds the instances that are known to leave, by ID. Only the latest instance under
// an ID is kept.
type leavingInstances map[string]leavingInstance

// leavingInstance is an instance that is known to leave.
type leavingInstance struct {
	info     Info
	lastNews time.Time
}

// add records that an instance leaves. A late entry of an earlier instance doesn't displace that of a
// later one.
func (l leavingInstances) add(now time.Time, info *Info) {
	known, ok := l[info.ID]
	if ok && info.StartUnixMilli < known.info.StartUnixMilli {
		return
	}
	if !ok && len(l) >= maxLeaving {
		l.evict(now)
	}
	l[info.ID] = leavingInstance{info: *info, lastNews: now}
}

// contains reports whether the instance of an entry is known to leave, and counts the entry as news of
// it. An instance that started before one that leaves has ended.
func (l leavingInstances) contains(now time.Time, info *Info) bool {
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
func (l leavingInstances) evict(now time.Time) {
	var oldest string
	for id, instance := range l {
		if now.Sub(instance.lastNews) > leavingTTL {
			delete(l, id)
			continue
		}
		if oldest == "" || instance.lastNews.Before(l[oldest].lastNews) {
			oldest = id
		}
	}
	if len(l) >= maxLeaving {
		delete(l, oldest)
	}
}
