package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// The limit runs out while a request's bytes are at the process already, which
// hasn't come to read them: the request is served, or the connection is closed
// and the request isn't handed on. A request that is handed on and then cut may
// have run, and its caller can't know.
func TestRequestBesideTheEndOfTheIdleLimitIsServedOrNotHandedOn(t *testing.T) {
	const limit = 4 * time.Second
	cases := map[string]struct {
		// before and after are the request's bytes that come before and after
		// the limit is up.
		before, after string
	}{
		"a whole request":          {askOnce, ""},
		"a first byte":             {askOnce[:1], askOnce[1:]},
		"a part of the head":       {askOnce[:20], askOnce[20:]},
		"a head, and then a body":  {"POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n", "body"},
		"a head and part of chunk": {"POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "dy\r\n0\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFront(t, limit)
				defer f.end()
				caller := f.connect()
				defer func() { _ = caller.Close() }()
				synctest.Wait()
				handed := f.handed.Load()
				time.Sleep(limit / 2)
				release := caller.server.holdReads()
				if _, err := io.WriteString(caller, c.before); err != nil {
					t.Fatalf("half the limit is left: %v", err)
				}
				time.Sleep(2*limit + idleMargin)
				release()
				synctest.Wait()
				// Whether the rest is taken is up to the gateway.
				_, _ = io.WriteString(caller, c.after)
				err := caller.answer()
				if got := f.handed.Load() - handed; got > 0 && err != nil {
					t.Errorf("handed on, and its connection ended without the answer: %v", err)
				}
			})
		})
	}
}

// The close for idleness is decided, and done only once the next request has
// been read: that request isn't handed on any more, or it is served first.
func TestRequestBesideACloseForIdlenessIsServedOrNotHandedOn(t *testing.T) {
	const limit = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFront(t, limit)
		defer f.end()
		caller := f.connect()
		defer func() { _ = caller.Close() }()
		synctest.Wait()
		handed := f.handed.Load()
		release := caller.server.holdCloses()
		defer release()
		time.Sleep(2*limit + idleMargin)
		// Long enough for any close that is on its way.
		beside := func() { release(); time.Sleep(time.Second) }
		f.beside.Store(&beside)
		answered := make(chan error, 1)
		go func() { answered <- caller.ask() }()
		synctest.Wait()
		release()
		err := <-answered
		// Who was handed it has done with it.
		time.Sleep(limit)
		if got := f.handed.Load() - handed; got > 0 && err != nil {
			t.Errorf("handed on, and its connection ended without the answer: %v", err)
		}
	})
}
