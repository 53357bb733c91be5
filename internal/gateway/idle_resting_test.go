package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// What governs a connection that rests is the limit in force, not the one under
// which it began to rest.
func TestRestingConnectionsFollowTheLimitInForce(t *testing.T) {
	t.Run("raised", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFront(t, 4*time.Second)
			defer f.end()
			caller := f.connect()
			defer func() { _ = caller.Close() }()
			time.Sleep(2 * time.Second)
			f.limit.Store(int64(20 * time.Second))
			// Four fifths of the limit in force.
			time.Sleep(14 * time.Second)
			if err := caller.ask(); err != nil {
				t.Errorf("closed after 16 s, the limit in force is 20 s: %v", err)
			}
		})
	})
	t.Run("lowered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			// seen is within what time a lower limit is noticed.
			const limit, seen = 4 * time.Second, 2 * time.Second
			f := newFront(t, 20*time.Second)
			defer f.end()
			caller := f.connect()
			defer func() { _ = caller.Close() }()
			began := time.Now()
			time.Sleep(time.Second)
			f.limit.Store(int64(limit))
			_, err := caller.in.Peek(1)
			if took := time.Since(began); err == nil || took < limit || took > limit+idleMargin+seen {
				t.Errorf("closed after %v, the limit in force is %v: %v", took, limit, err)
			}
		})
	})
}
