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

// dial is a connection to a server that answers by the handler.
func dial(t *testing.T, handler http.HandlerFunc) (net.Conn, *bufio.Reader) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	const certainly = 20 * time.Second
	if err := conn.SetDeadline(time.Now().Add(certainly)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// post sends a request of which so many bytes of the body come.
func post(t *testing.T, conn net.Conn, length, come int) {
	t.Helper()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n", length)
	if _, err := conn.Write(append([]byte(head), make([]byte, come)...)); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, from *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

func refuse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A deadline that was left on a kept connection would end the next request.
func TestKeptConnectionHasNoDeadline(t *testing.T) {
	ended := make(chan error, 2)
	conn, from := dial(t, func(w http.ResponseWriter, r *http.Request) {
		// What net/http takes away with a body's end it doesn't a second time.
		_, _ = io.Copy(io.Discard, r.Body)
		Answer(w, r, false, func() {
			// That this is longer than the deadline is what is tested.
			time.Sleep(drainWait + 100*time.Millisecond)
			refuse(w)
		})
		ended <- r.Context().Err()
	})
	for range 2 {
		post(t, conn, 1000, 1000)
		if read(t, from).Close {
			t.Fatal("closed, though the body has come whole")
		}
		if err := <-ended; err != nil {
			t.Fatalf("the request's context has ended: %v", err)
		}
	}
}

func TestBodyThatDoesNotComeClosesTheConnection(t *testing.T) {
	for _, late := range []bool{false, true} {
		conn, from := dial(t, func(w http.ResponseWriter, r *http.Request) {
			Answer(w, r, late, func() { refuse(w) })
		})
		post(t, conn, 1000, 10)
		if !read(t, from).Close {
			t.Errorf("late %v: kept with a body that hasn't come", late)
		}
	}
}

func TestDeadlineThatHasPassedIsTold(t *testing.T) {
	told := make(chan bool, 2)
	conn, from := dial(t, func(w http.ResponseWriter, r *http.Request) {
		for _, wait := range []time.Duration{time.Hour, time.Nanosecond} {
			told <- setReadDeadline(w, wait)()
		}
		w.Header().Set("Connection", "close")
		refuse(w)
	})
	post(t, conn, 0, 0)
	read(t, from)
	if within, passed := <-told, <-told; within || !passed {
		t.Fatalf("late within the deadline: %v, after it: %v", within, passed)
	}
}
