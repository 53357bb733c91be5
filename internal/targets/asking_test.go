package targets

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestOnePeerIsAskedAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder()
		if !h.Ask(3) {
			t.Fatal("the first peer that tells of a newer version is not asked")
		}
		if h.Ask(3) || h.Ask(2) {
			t.Fatal("a second peer is asked for what was asked for just now")
		}
		if !h.Ask(4) {
			t.Fatal("a peer with a still newer version is not asked")
		}
		time.Sleep(askAgain)
		if !h.Ask(3) {
			t.Fatal("no other peer is asked when the first doesn't answer")
		}
	})
}

func TestBehindUntilTheNewestIsAdopted(t *testing.T) {
	h := NewHolder()
	if h.Behind() {
		t.Fatal("behind though nobody told of a newer version")
	}
	h.Ask(3)
	h.Offer(&Set{Version: 2})
	if !h.Behind() {
		t.Fatal("not behind with version 2 when 3 was told of")
	}
	h.Offer(&Set{Version: 3})
	if h.Behind() || h.Ask(3) {
		t.Fatal("behind, or asking, with the newest version")
	}
}
