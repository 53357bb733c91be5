package callers

import (
	"testing"
	"testing/synctest"
	"time"
)

// An idle connection follows the current idle timeout, not the one in force when it
// became idle.
func TestIdleConnectionsFollowCurrentTimeout(t *testing.T) {
	t.Run("raised", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := newBlockingServer(t, 4*time.Second)
			defer server.shutdown()
			caller := server.connect()
			defer func() { _ = caller.Close() }()
			time.Sleep(2 * time.Second)
			server.timeout.Store(int64(20 * time.Second))
			// 16 s idle in total: four fifths of the current timeout.
			time.Sleep(14 * time.Second)
			if err := caller.roundTrip(); err != nil {
				t.Errorf("closed after 16 s; the idle timeout is 20 s: %v", err)
			}
		})
	})
	t.Run("lowered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			// noticeTime bounds the delay until a lowered timeout takes effect.
			const timeout, noticeTime = 4 * time.Second, 2 * time.Second
			server := newBlockingServer(t, 20*time.Second)
			defer server.shutdown()
			caller := server.connect()
			defer func() { _ = caller.Close() }()
			began := time.Now()
			time.Sleep(time.Second)
			server.lowerTimeout(timeout)
			_, err := caller.reader.Peek(1)
			if took := time.Since(began); err == nil || took < timeout || took > timeout+idleMargin+noticeTime {
				t.Errorf("closed after %v; the idle timeout is %v: %v", took, timeout, err)
			}
		})
	})
}
