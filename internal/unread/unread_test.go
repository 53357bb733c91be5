package unread

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// dialServer starts a server with the handler and returns a connection to it.
func dialServer(t *testing.T, handler http.HandlerFunc) (net.Conn, *bufio.Reader) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	const testTimeout = 20 * time.Second
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// writeRequest sends a request with a Content-Length of contentLength but only sent
// bytes of body.
func writeRequest(t *testing.T, conn net.Conn, contentLength, sent int) {
	t.Helper()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n", contentLength)
	if _, err := conn.Write(append([]byte(head), make([]byte, sent)...)); err != nil {
		t.Fatal(err)
	}
}

func readResponse(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

func writeUnavailable(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A read deadline left on a reused connection would cancel the context of the next
// request.
func TestReusedConnectionHasNoReadDeadline(t *testing.T) {
	ended := make(chan error, 2)
	conn, reader := dialServer(t, func(w http.ResponseWriter, r *http.Request) {
		// net/http clears the deadline only when it first reaches the end of the body.
		_, _ = io.Copy(io.Discard, r.Body)
		Respond(w, r, false, func() {
			// Exceed the read deadline that Respond sets.
			time.Sleep(drainTimeout + 100*time.Millisecond)
			writeUnavailable(w)
		})
		ended <- r.Context().Err()
	})
	for range 2 {
		writeRequest(t, conn, 1000, 1000)
		if readResponse(t, reader).Close {
			t.Fatal("connection closed after a complete body")
		}
		if err := <-ended; err != nil {
			t.Fatalf("request context is done: %v", err)
		}
	}
}

// A connection must be closed if the end of the body was not read: the rest of the body
// would be parsed as the next request.
func TestIncompleteBodyClosesConnection(t *testing.T) {
	for _, bodyTimedOut := range []bool{false, true} {
		conn, reader := dialServer(t, func(w http.ResponseWriter, r *http.Request) {
			Respond(w, r, bodyTimedOut, func() { writeUnavailable(w) })
		})
		writeRequest(t, conn, 1000, 10)
		if !readResponse(t, reader).Close {
			t.Errorf("bodyTimedOut %v: connection kept with an incomplete body", bodyTimedOut)
		}
	}
}

func TestClearDeadlineReportsExpiry(t *testing.T) {
	expired := make(chan bool, 2)
	conn, reader := dialServer(t, func(w http.ResponseWriter, r *http.Request) {
		for _, wait := range []time.Duration{time.Hour, time.Nanosecond} {
			expired <- setReadDeadline(w, wait)()
		}
		w.Header().Set("Connection", "close")
		writeUnavailable(w)
	})
	writeRequest(t, conn, 0, 0)
	readResponse(t, reader)
	if within, passed := <-expired, <-expired; within || !passed {
		t.Fatalf("expired before the deadline: %v, after it: %v", within, passed)
	}
}
