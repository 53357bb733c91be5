package timeline

import (
	"sync"
	"time"
)

// Clock is a hybrid logical clock. Its zero value is ready for use and takes the
// physical time from the VM's clock. It is safe for concurrent use.
type Clock struct {
	// wall reads the physical clock; nil means time.Now.
	wall func() time.Time

	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a Clock that takes the physical time from wall.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a timestamp greater than all timestamps that this clock has returned
// or observed.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.physical())
	return c.last
}

// ago returns the timestamp that lies span before the clock's reading. Like Now, it
// reads the later of the physical clock and the last timestamp, so that the result
// is comparable with the timestamps of this process's own events.
func (c *Clock) ago(span time.Duration) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Timestamp{Wall: max(c.physical(), c.last.Wall) - int64(span)}
}

func (c *Clock) physical() int64 {
	if c.wall == nil {
		return time.Now().UnixNano()
	}
	return c.wall().UnixNano()
}

// Observe advances the clock to the timestamp of a received message, so that all
// later timestamps of this clock are greater.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return
	}
	c.last.Logical++
}
