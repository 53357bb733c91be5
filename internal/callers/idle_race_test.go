package callers

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a request that is handled although its connection is closed for
// idleness: the idle timeout expires when the request's bytes have arrived but haven't
// been read yet. The request must be served, or the connection closed without calling
// the handler. A request that is handled and then aborted may have run, and its caller
// can't tell.
func TestRequestAtIdleTimeoutIsServedOrNotHandled(t *testing.T) {
	const timeout = 4 * time.Second
	cases := map[string]struct {
		// before and after are the parts of the request sent before and after the
		// timeout expires.
		before, after string
	}{
		"a whole request":              {getRequest, ""},
		"a first byte":                 {getRequest[:1], getRequest[1:]},
		"part of the header":           {getRequest[:20], getRequest[20:]},
		"a header, then a body":        {"POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n", "body"},
		"a header and part of a chunk": {"POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "dy\r\n0\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newBlockingServer(t, timeout)
				defer server.shutdown()
				caller := server.connect()
				defer func() { _ = caller.Close() }()
				synctest.Wait()
				handled := server.handled.Load()
				time.Sleep(timeout / 2)
				release := caller.server.blockReads()
				if _, err := io.WriteString(caller, c.before); err != nil {
					t.Fatalf("write with half the idle timeout left: %v", err)
				}
				time.Sleep(2*timeout + idleMargin)
				release()
				synctest.Wait()
				// The server may accept or reject the remaining bytes.
				_, _ = io.WriteString(caller, c.after)
				err := caller.readResponse()
				if got := server.handled.Load() - handled; got > 0 && err != nil {
					t.Errorf("request was handled, but its connection closed without the response: %v", err)
				}
			})
		})
	}
}

// Guards against handling a request on a connection whose idle close was decided before
// the request was read but is carried out afterwards. The request must be served, or
// not reach the handler.
func TestRequestDuringIdleCloseIsServedOrNotHandled(t *testing.T) {
	const timeout = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		server := newBlockingServer(t, timeout)
		defer server.shutdown()
		caller := server.connect()
		defer func() { _ = caller.Close() }()
		synctest.Wait()
		handled := server.handled.Load()
		release := caller.server.blockCloses()
		defer release()
		time.Sleep(2*timeout + idleMargin)
		// One second is enough for a pending close.
		onHandled := func() { release(); time.Sleep(time.Second) }
		server.onHandled.Store(&onHandled)
		result := make(chan error, 1)
		go func() { result <- caller.roundTrip() }()
		synctest.Wait()
		release()
		err := <-result
		// Wait for a running handler to finish.
		time.Sleep(timeout)
		if got := server.handled.Load() - handled; got > 0 && err != nil {
			t.Errorf("request was handled, but its connection closed without the response: %v", err)
		}
	})
}
