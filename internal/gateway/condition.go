package gateway

import (
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

// condition is something that holds or doesn't, with since when. Its methods may be called
// concurrently.
type condition struct {
	// at is on boottime's clock; 0 while it doesn't hold.
	at atomic.Int64
}

// note notes whether it holds now.
func (c *condition) note(holds bool) {
	if !holds {
		c.at.Store(0)
		return
	}
	c.at.CompareAndSwap(0, int64(boottime.Now()))
}

// long notes that it has held for longer than anybody asks for.
func (c *condition) long() { c.at.Store(1) }

// longer reports whether it has held for a time.
func (c *condition) longer(than time.Duration) bool {
	at := c.at.Load()
	return at != 0 && boottime.Now()-time.Duration(at) > than
}
