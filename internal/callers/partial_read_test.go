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

// A request header may arrive in pieces of any size. After some sizes net/http reads a
// single byte of the header, which must not be taken for its background read.
func TestFragmentedHeaderIsServed(t *testing.T) {
	long := "GET /" + strings.Repeat("a", 4200) + " HTTP/1.1\r\nHost: h.example\r\n\r\n"
	for _, first := range []int{1, 3, 4, 4094, 4095, 4096, 4097} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(t, delayHandler, zap.NewNop())
			c, in := s.dial()
			for n := range 3 {
				began := time.Now()
				go func() {
					_, _ = io.WriteString(c, long[:first])
					time.Sleep(10 * time.Millisecond)
					_, _ = io.WriteString(c, long[first:])
				}()
				if err := readResponse(in); err != nil || time.Since(began) > time.Second {
					t.Errorf("request %d, split after byte %d: %v after %v", n, first, err, time.Since(began))
				}
			}
			s.shutdown()
		})
	}
}

// An extra line end after a body isn't a request: the connection is idle and doesn't
// delay a drain.
func TestExtraNewlineIsNotARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		if err := roundTrip(c, in); err != nil {
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
		<-s.serveDone
	})
}

// A request whose header began to arrive on a new connection during a drain has the
// full header timeout.
func TestPartialHeaderOnNewConnectionIsServedDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(t.Context()) }()
		synctest.Wait()
		time.Sleep(firstRequestTimeout / 2)
		if _, err := io.WriteString(c, simpleGet[:20]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * firstRequestTimeout)
		if err := writePart(c, simpleGet[20:]); err != nil {
			t.Fatal(err)
		}
		if err := readResponse(in); err != nil {
			t.Errorf("response: %v", err)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
		<-s.serveDone
	})
}

// The first byte of a request ends the idle period, however late the others arrive.
func TestFirstByteEndsIdlePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		for first := 1; first < 6; first++ {
			c, in := s.dial()
			if err := roundTrip(c, in); err != nil {
				t.Fatal(err)
			}
			time.Sleep(s.currentTimeout() + idleMargin - 10*time.Millisecond)
			if err := writePart(c, simpleGet[:first]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * idleGrace)
			if err := writePart(c, simpleGet[first:]); err != nil {
				t.Fatal(err)
			}
			if err := readResponse(in); err != nil {
				t.Errorf("%d bytes arrived before the idle deadline: %v", first, err)
			}
			_ = c.Close()
		}
		s.shutdown()
	})
}

// A header that stays incomplete is subject to the header timeout.
func TestIncompleteHeaderTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		if err := roundTrip(c, in); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := writePart(c, simpleGet[:1]); err != nil {
			t.Fatal(err)
		}
		if err := readResponse(in); err == nil || time.Since(began) > 2*testHeaderTimeout {
			t.Errorf("ended after %v: %v", time.Since(began), err)
		}
		s.shutdown()
	})
}

// Each idle period has its own grace period, also after an earlier one was used.
func TestEachIdlePeriodHasGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		for range 3 {
			if err := roundTrip(c, in); err != nil {
				t.Error(err)
			}
			time.Sleep(s.currentTimeout() + idleMargin + idleGrace/2)
		}
		s.shutdown()
	})
}

// A lowered idle timeout doesn't affect a request in progress.
func TestLoweredTimeoutKeepsActiveRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		if err := roundTrip(c, in); err != nil {
			t.Fatal(err)
		}
		if err := writePart(c, "GET /1m HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.timeout.Store(int64(time.Second))
		s.ApplyIdleTimeout()
		if err := readResponse(in); err != nil {
			t.Error(err)
		}
		s.shutdown()
	})
}

// A read deadline that ends the background read is reported as the close reason.
func TestReadDeadlineIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		statuses := make(chan ConnStatus, 1)
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Second))
			<-r.Context().Done()
			statuses <- ConnStatusOf(r.Context())
		}, zap.NewNop())
		c, _ := s.dial()
		if err := writePart(c, simpleGet); err != nil {
			t.Fatal(err)
		}
		if status := <-statuses; status.CloseReason != ReasonReadDeadline {
			t.Errorf("connection status: %+v", status)
		}
		s.shutdown()
	})
}

// writePart writes a part of a request.
func writePart(c io.Writer, text string) error {
	_, err := io.WriteString(c, text)
	return err
}
