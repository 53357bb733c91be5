package callers

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// A head may come in any pieces: also such that net/http reads the next byte by
// itself, as it does when it watches a caller.
func TestHeadInAnyPiecesIsServed(t *testing.T) {
	long := "GET /" + strings.Repeat("a", 4200) + " HTTP/1.1\r\nHost: h.example\r\n\r\n"
	for _, first := range []int{1, 3, 4, 4094, 4095, 4096, 4097} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, lasting, zap.NewNop())
			c, in := s.dial()
			for n := range 3 {
				began := time.Now()
				go func() {
					_, _ = io.WriteString(c, long[:first])
					time.Sleep(10 * time.Millisecond)
					_, _ = io.WriteString(c, long[first:])
				}()
				if err := answered(in); err != nil || time.Since(began) > time.Second {
					t.Errorf("request %d in pieces of %d and more: %v after %v", n, first, err, time.Since(began))
				}
			}
			s.end()
		})
	}
}

// A line end too many after a body isn't a request: the connection rests, and a
// stop isn't held up.
func TestLineEndTooManyIsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		if err := ask(c, in); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		began := time.Now()
		if err := s.Drain(t.Context()); err != nil || time.Since(began) > time.Second {
			t.Errorf("drained after %v: %v", time.Since(began), err)
		}
		<-s.over
	})
}

// A request whose head began to come on a new connection at a stop has the time
// that any head has.
func TestHeadThatBeganOnANewConnectionAtAStopIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(t.Context()) }()
		synctest.Wait()
		time.Sleep(firstRequest / 2)
		if _, err := io.WriteString(c, get[:20]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * firstRequest)
		if err := send(c, get[20:]); err != nil {
			t.Fatal(err)
		}
		if err := answered(in); err != nil {
			t.Errorf("answered with %v", err)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
		<-s.over
	})
}

// A request's first byte ends a rest, however late the others come.
func TestFirstByteEndsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		for first := 1; first < 6; first++ {
			c, in := s.dial()
			if err := ask(c, in); err != nil {
				t.Fatal(err)
			}
			time.Sleep(s.inForce() + idleMargin - 10*time.Millisecond)
			if err := send(c, get[:first]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * lastLook)
			if err := send(c, get[first:]); err != nil {
				t.Fatal(err)
			}
			if err := answered(in); err != nil {
				t.Errorf("%d bytes came before the end of the rest: %v", first, err)
			}
			_ = c.Close()
		}
		s.end()
	})
}

// A head that doesn't come whole is waited for as long as any head.
func TestHeadThatNeverComesWholeHasAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		if err := ask(c, in); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := send(c, get[:1]); err != nil {
			t.Fatal(err)
		}
		if err := answered(in); err == nil || time.Since(began) > 2*headTime {
			t.Errorf("ended after %v: %v", time.Since(began), err)
		}
		s.end()
	})
}

// Each rest has its last look.
func TestEachRestIsLookedAtOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		for range 3 {
			if err := ask(c, in); err != nil {
				t.Error(err)
			}
			time.Sleep(s.inForce() + idleMargin + lastLook/2)
		}
		s.end()
	})
}

// A limit that is lowered has nothing to do with a request in progress.
func TestLoweredLimitLeavesRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		if err := ask(c, in); err != nil {
			t.Fatal(err)
		}
		if err := send(c, "GET /1m HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.limit.Store(int64(time.Second))
		s.Lower()
		if err := answered(in); err != nil {
			t.Error(err)
		}
		s.end()
	})
}

// A watch that a deadline ends is told as that.
func TestDeadlineOfAWatchIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := make(chan End, 1)
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Second))
			<-r.Context().Done()
			ends <- EndOf(r.Context())
		}, zap.NewNop())
		c, _ := s.dial()
		if err := send(c, get); err != nil {
			t.Fatal(err)
		}
		if e := <-ends; e.Cause != CauseDeadline {
			t.Errorf("told as %+v", e)
		}
		s.end()
	})
}

// send writes bytes of a request.
func send(c io.Writer, text string) error {
	_, err := io.WriteString(c, text)
	return err
}
