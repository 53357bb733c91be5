package timeline

import (
	"sync"
	"time"
)

// Clock is a hybrid logical clock. Its zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp after all stamps this clock has given or seen.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now().UnixNano())
	return c.last
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
