package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

func TestIdleConnectionsAreClosedAfterTheLimitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 10 * time.Second
		i := newIdle(func() time.Duration { return limit }, zap.NewNop())
		ours, theirs := net.Pipe()
		closed := make(chan time.Time, 1)
		go func() {
			_, _ = io.ReadAll(theirs)
			closed <- time.Now()
		}()
		i.state(ours, http.StateNew)
		i.state(ours, http.StateActive)
		i.state(ours, http.StateIdle)
		time.Sleep(9 * time.Second)
		i.state(ours, http.StateActive)
		time.Sleep(time.Minute)
		limit = 4 * time.Second
		i.state(ours, http.StateIdle)
		began := time.Now()
		if took := (<-closed).Sub(began); took != limit+idleMargin {
			t.Errorf("closed after %v", took)
		}
		i.state(ours, http.StateClosed)
		if len(i.timers) != 0 {
			t.Error("a closed connection has a timer")
		}
	})
}
