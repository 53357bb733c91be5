package gateway

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

// timedCondition is a boolean condition that records since when it has held. It is safe for
// concurrent use.
type timedCondition struct {
	// since is a time of the boottime clock in nanoseconds; 0 while the condition doesn't hold.
	since atomic.Int64
}

// set records whether the condition holds now. Setting it again doesn't change its start time.
func (t *timedCondition) set(holds bool) {
	if !holds {
		t.since.Store(0)
		return
	}
	t.since.CompareAndSwap(0, int64(boottime.Now()))
}

// setExpired marks the condition as having held since boot, and so for longer than any limit in
// use.
func (t *timedCondition) setExpired() { t.since.Store(1) }

// heldLongerThan reports whether the condition has held for longer than limit.
func (t *timedCondition) heldLongerThan(limit time.Duration) bool {
	since := t.since.Load()
	return since != 0 && boottime.Now()-time.Duration(since) > limit
}
