package policy

import (
	"testing"
	"time"
)

var essayParts = []Part{{ID: 1, Upto: 500}, {ID: 2, Upto: 6000}}

func TestPartsAreHeldAfterTheyWereSent(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.Sent(now, 7, essayParts)
	if got := x.at(now, 7, essayParts); got != (held{tokens: 6000}) {
		t.Errorf("sent, not read: %+v", got)
	}
	x.Read(now.Add(time.Second), 7, essayParts)
	if got := x.at(now.Add(time.Second), 7, essayParts); got != (held{tokens: 6000, read: 6000}) {
		t.Errorf("read: %+v", got)
	}
	// Another prompt shares the first part only.
	other := []Part{{ID: 1, Upto: 500}, {ID: 3, Upto: 4000}}
	if got := x.at(now.Add(time.Second), 7, other); got != (held{tokens: 500, read: 500}) {
		t.Errorf("a prompt with one part in common: %+v", got)
	}
}

// A part that was sent and never read, or was read long ago, isn't there.
func TestHoldingsEnd(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.Sent(now, 7, essayParts)
	x.Read(now, 8, essayParts)
	late := now.Add(begunWithin)
	if got := [2]held{x.at(late, 7, essayParts), x.at(late, 8, essayParts)}; got[0].tokens != 0 || got[1].read != 6000 {
		t.Errorf("after %v: %+v", begunWithin, got)
	}
	if got := [2]held{x.at(now.Add(heldFor), 7, essayParts), x.at(now.Add(heldFor), 8, essayParts)}; got != [2]held{} {
		t.Errorf("after %v: %+v", heldFor, got)
	}
	// What is used again stays; nothing of the rest is kept.
	x.Read(now.Add(heldFor), 8, essayParts[:1])
	if len(x.parts) != 1 || len(x.parts[1]) != 1 {
		t.Errorf("kept %+v", x.parts)
	}
}

func TestServerThatStartsAnewHoldsNothing(t *testing.T) {
	x, now := NewPrefixIndex(), testStart
	x.Read(now, 7, essayParts)
	x.Read(now, 8, essayParts)
	x.Forget(7)
	if got := [2]held{x.at(now, 7, essayParts), x.at(now, 8, essayParts)}; got[0].tokens != 0 || got[1].read != 6000 {
		t.Errorf("after 7 started anew: %+v", got)
	}
}

func TestNewsReachOthersOnce(t *testing.T) {
	a, b, now := NewPrefixIndex(), NewPrefixIndex(), testStart
	a.Sent(now, 7, essayParts)
	b.Merge(now, a.News(now))
	if got := b.at(now, 7, essayParts); got != (held{tokens: 6000}) {
		t.Errorf("heard of: %+v", got)
	}
	a.Read(now, 7, essayParts)
	b.Merge(now, a.News(now))
	if got := b.at(now, 7, essayParts); got.read != 6000 {
		t.Errorf("heard of after it was read: %+v", got)
	}
	// Uses that others know of aren't told again at once.
	soon := now.Add(newsFor + time.Millisecond)
	a.Read(soon, 7, essayParts)
	b.Read(soon, 7, essayParts)
	if x, y := a.News(soon), b.News(soon); len(x)+len(y) != 0 {
		t.Errorf("told again: %v %v", x, y)
	}
	later := soon.Add(newsAgain + time.Millisecond)
	if b.Read(later, 7, essayParts); len(b.News(later)) != 2 {
		t.Errorf("a use after %v isn't told", newsAgain)
	}
}
