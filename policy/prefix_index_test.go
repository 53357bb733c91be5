package policy

import (
	"testing"
	"time"
)

var essaySegments = []PrefixSegment{{ID: 1, End: 500}, {ID: 2, End: 6000}}

func TestSegmentsAreCachedAfterSending(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.RecordSent(now, 7, essaySegments)
	if got := x.cachedAt(now, 7, essaySegments); got != (cachedPrefix{expected: 6000}) {
		t.Errorf("sent, not prefilled: %+v", got)
	}
	x.RecordPrefilled(now.Add(time.Second), 7, essaySegments)
	if got := x.cachedAt(now.Add(time.Second), 7, essaySegments); got != (cachedPrefix{expected: 6000, prefilled: 6000}) {
		t.Errorf("prefilled: %+v", got)
	}
	// Another prompt shares the first segment only.
	other := []PrefixSegment{{ID: 1, End: 500}, {ID: 3, End: 4000}}
	if got := x.cachedAt(now.Add(time.Second), 7, other); got != (cachedPrefix{expected: 500, prefilled: 500}) {
		t.Errorf("a prompt with one segment in common: %+v", got)
	}
}

// Segments that were sent and never prefilled, or were last used long ago, expire.
func TestCacheEntriesExpire(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.RecordSent(now, 7, essaySegments)
	x.RecordPrefilled(now, 8, essaySegments)
	late := now.Add(pendingTTL)
	if got := [2]cachedPrefix{x.cachedAt(late, 7, essaySegments), x.cachedAt(late, 8, essaySegments)}; got[0].expected != 0 || got[1].prefilled != 6000 {
		t.Errorf("after %v: %+v", pendingTTL, got)
	}
	if got := [2]cachedPrefix{x.cachedAt(now.Add(cacheTTL), 7, essaySegments), x.cachedAt(now.Add(cacheTTL), 8, essaySegments)}; got != [2]cachedPrefix{} {
		t.Errorf("after %v: %+v", cacheTTL, got)
	}
	// A segment that is used again stays; the others are removed.
	x.RecordPrefilled(now.Add(cacheTTL), 8, essaySegments[:1])
	if len(x.segments) != 1 || len(x.segments[1]) != 1 {
		t.Errorf("remaining entries: %+v", x.segments)
	}
}

func TestRestartedServerHasEmptyCache(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.RecordPrefilled(now, 7, essaySegments)
	x.RecordPrefilled(now, 8, essaySegments)
	x.RemoveServer(7)
	if got := [2]cachedPrefix{x.cachedAt(now, 7, essaySegments), x.cachedAt(now, 8, essaySegments)}; got[0].expected != 0 || got[1].prefilled != 6000 {
		t.Errorf("after 7 has restarted: %+v", got)
	}
}

func TestUpdatesAreSentOnce(t *testing.T) {
	a, b, now := NewPrefixIndex(), NewPrefixIndex(), testStart
	a.RecordSent(now, 7, essaySegments)
	b.Merge(now, a.Updates(now))
	if got := b.cachedAt(now, 7, essaySegments); got != (cachedPrefix{expected: 6000}) {
		t.Errorf("after the update: %+v", got)
	}
	a.RecordPrefilled(now, 7, essaySegments)
	b.Merge(now, a.Updates(now))
	if got := b.cachedAt(now, 7, essaySegments); got.prefilled != 6000 {
		t.Errorf("after the update about the prefill: %+v", got)
	}
	// Uses that other gateways know aren't sent again at once.
	soon := now.Add(updateRepeatTime + time.Millisecond)
	a.RecordPrefilled(soon, 7, essaySegments)
	b.RecordPrefilled(soon, 7, essaySegments)
	if x, y := a.Updates(soon), b.Updates(soon); len(x)+len(y) != 0 {
		t.Errorf("sent again: %v %v", x, y)
	}
	later := soon.Add(minUpdateInterval + time.Millisecond)
	if b.RecordPrefilled(later, 7, essaySegments); len(b.Updates(later)) != 2 {
		t.Errorf("a use after %v isn't sent", minUpdateInterval)
	}
}
