package gateway

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

// timedCondition is something that holds or doesn't, with since when. Its methods may be called
// concurrently.
type timedCondition struct {
	// since is on boottime's clock; 0 while it doesn't hold.
	since atomic.Int64
}

// set notes whether it holds now.
func (t *timedCondition) set(holds bool) {
	if !holds {
		t.since.Store(0)
		return
	}
	t.since.CompareAndSwap(0, int64(boottime.Now()))
}

// setExpired notes that it has held for longer than anybody asks for.
func (t *timedCondition) setExpired() { t.since.Store(1) }

// heldLongerThan reports whether it has held for a time.
func (t *timedCondition) heldLongerThan(limit time.Duration) bool {
	since := t.since.Load()
	return since != 0 && boottime.Now()-time.Duration(since) > limit
}
