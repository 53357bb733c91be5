package policy

import (
	"testing"
	"time"
)

var essayParts = []Part{{ID: 1, Upto: 500}, {ID: 2, Upto: 6000}}

func TestPartsAreHeldAfterTheyWereSent(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.Sent(now, 7, essayParts)
	if got := x.cachedAt(now, 7, essayParts); got != (cachedPrefix{expected: 6000}) {
		t.Errorf("sent, not read: %+v", got)
	}
	x.Read(now.Add(time.Second), 7, essayParts)
	if got := x.cachedAt(now.Add(time.Second), 7, essayParts); got != (cachedPrefix{expected: 6000, prefilled: 6000}) {
		t.Errorf("read: %+v", got)
	}
	// Another prompt shares the first part only.
	other := []Part{{ID: 1, Upto: 500}, {ID: 3, Upto: 4000}}
	if got := x.cachedAt(now.Add(time.Second), 7, other); got != (cachedPrefix{expected: 500, prefilled: 500}) {
		t.Errorf("a prompt with one part in common: %+v", got)
	}
}

// A part that was sent and never read, or was read long ago, isn't there.
func TestHoldingsEnd(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.Sent(now, 7, essayParts)
	x.Read(now, 8, essayParts)
	late := now.Add(pendingTTL)
	if got := [2]cachedPrefix{x.cachedAt(late, 7, essayParts), x.cachedAt(late, 8, essayParts)}; got[0].expected != 0 || got[1].prefilled != 6000 {
		t.Errorf("after %v: %+v", pendingTTL, got)
	}
	if got := [2]cachedPrefix{x.cachedAt(now.Add(cacheTTL), 7, essayParts), x.cachedAt(now.Add(cacheTTL), 8, essayParts)}; got != [2]cachedPrefix{} {
		t.Errorf("after %v: %+v", cacheTTL, got)
	}
	// What is used again stays; nothing of the rest is kept.
	x.Read(now.Add(cacheTTL), 8, essayParts[:1])
	if len(x.segments) != 1 || len(x.segments[1]) != 1 {
		t.Errorf("kept %+v", x.segments)
	}
}

func TestServerThatStartsAnewHoldsNothing(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.Read(now, 7, essayParts)
	x.Read(now, 8, essayParts)
	x.Forget(7)
	if got := [2]cachedPrefix{x.cachedAt(now, 7, essayParts), x.cachedAt(now, 8, essayParts)}; got[0].expected != 0 || got[1].prefilled != 6000 {
		t.Errorf("after 7 started anew: %+v", got)
	}
}

func TestNewsReachOthersOnce(t *testing.T) {
	a, b, now := NewPrefixIndex(), NewPrefixIndex(), testStart
	a.Sent(now, 7, essayParts)
	b.Merge(now, a.News(now))
	if got := b.cachedAt(now, 7, essayParts); got != (cachedPrefix{expected: 6000}) {
		t.Errorf("heard of: %+v", got)
	}
	a.Read(now, 7, essayParts)
	b.Merge(now, a.News(now))
	if got := b.cachedAt(now, 7, essayParts); got.prefilled != 6000 {
		t.Errorf("heard of after it was read: %+v", got)
	}
	// Uses that others know of aren't told again at once.
	soon := now.Add(updateRepeatTime + time.Millisecond)
	a.Read(soon, 7, essayParts)
	b.Read(soon, 7, essayParts)
	if x, y := a.News(soon), b.News(soon); len(x)+len(y) != 0 {
		t.Errorf("told again: %v %v", x, y)
	}
	later := soon.Add(minUpdateInterval + time.Millisecond)
	if b.Read(later, 7, essayParts); len(b.News(later)) != 2 {
		t.Errorf("a use after %v isn't told", minUpdateInterval)
	}
}
