package targets

import (
	"testing"
	"testing/synctest"
	"time"
)

// Many peers announce a new version at almost the same moment. It must be fetched
// from one of them, and from another only if the first doesn't send it.
func TestShouldFetchFromOnePeerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := NewCache()
		if !cache.ShouldFetch(3) {
			t.Fatal("no fetch from the first peer that announces a newer version")
		}
		if cache.ShouldFetch(3) || cache.ShouldFetch(2) {
			t.Fatal("fetch from a second peer right after the first was asked")
		}
		if !cache.ShouldFetch(4) {
			t.Fatal("no fetch from a peer with an even newer version")
		}
		time.Sleep(fetchRetryInterval)
		if !cache.ShouldFetch(3) {
			t.Fatal("no fetch from another peer when the first doesn't respond")
		}
	})
}

func TestBehindUntilNewestVersionReceived(t *testing.T) {
	cache := NewCache()
	if cache.Behind() {
		t.Fatal("behind although no newer version was announced")
	}
	cache.ShouldFetch(3)
	cache.UpdateIfNewer(&Set{Version: 2})
	if !cache.Behind() {
		t.Fatal("not behind with version 2 after version 3 was announced")
	}
	cache.UpdateIfNewer(&Set{Version: 3})
	if cache.Behind() || cache.ShouldFetch(3) {
		t.Fatal("behind, or fetching, with the newest version")
	}
}
