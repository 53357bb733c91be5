package timeline

import (
	"sync"
	"time"
)

// Clock is a hybrid logical clock. Its zero value is ready for use and reads
// the VM's clock.
type Clock struct {
	// wall reads the physical clock; nil means time.Now.
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a Clock whose physical part comes from wall.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp after all stamps this clock has given or seen.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.physical())
	return c.last
}

// before returns the stamp that lies so long before the clock's reading. It
// takes the later of the physical clock and the stamps seen, as Now does, so
// that a process compares its own events with its own stamps.
func (c *Clock) before(span time.Duration) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stamp{Wall: max(c.physical(), c.last.Wall) - int64(span)}
}

func (c *Clock) physical() int64 {
	if c.wall == nil {
		return time.Now().UnixNano()
	}
	return c.wall().UnixNano()
}

// Observe takes note of a stamp that came with a message, so that whatever
// happens here next is ordered after it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return
	}
	c.last.Logical++
}
