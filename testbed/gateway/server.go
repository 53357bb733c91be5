// Package gateway provides a test fixture for a gateway: scripted backend servers that speak
// the platform's protocol, and the platform's store. Fixture is the entry point.
package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ReceivedRequest is a request as a backend server received it.
type ReceivedRequest struct {
	// Server is the server's instance ID.
	Server string
	// ID is the value of X-Request-Id.
	ID     string
	Header http.Header
	// Target is the request target as it was sent, without any decoding.
	Target string
	Method string
	Body   string
	// At is when the body was complete.
	At time.Time
	// Closed is closed when the gateway closes the connection.
	Closed <-chan struct{}
}

// Script responds to a request on its connection and reports whether the connection stays
// open.
type Script func(c net.Conn, r *ReceivedRequest) bool

// Server is a scripted backend server.
type Server struct {
	// Instance is the ID of the instance; a restarted server has a new one.
	Instance string
	// Addr is the server's host:port.
	Addr string
	// onRequest is called for each request.
	onRequest func(*ReceivedRequest)
	listener  net.Listener
	// mu guards the fields below, and Instance once the server accepts connections; no other lock
	// is acquired while it is held.
	mu     sync.Mutex
	script Script
	conns  map[net.Conn]bool
}

// Listen starts a server at a host:port that responds as script does. onRequest is called for
// each request before the script runs. It fails if the address can't be listened on.
func Listen(addr, instance string, script Script, onRequest func(*ReceivedRequest)) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Instance: instance, Addr: listener.Addr().String(), onRequest: onRequest, listener: listener, script: script, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Respond returns a script that sends a complete, signed response.
func Respond(body string) Script {
	return func(c net.Conn, r *ReceivedRequest) bool {
		_, err := io.WriteString(c, ResponseHead(r, 200, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}
}

// Fail returns a script that sends a signed error response; the request may have run.
func Fail(status int) Script {
	return func(c net.Conn, r *ReceivedRequest) bool {
		_, err := io.WriteString(c, ResponseHead(r, status, "Content-Length: 4")+"fail")
		return err == nil
	}
}

// Reject returns a script that rejects the request and marks it as not executed.
func Reject(status int) Script {
	return func(c net.Conn, r *ReceivedRequest) bool {
		_, err := io.WriteString(c, ResponseHead(r, status, "Content-Length: 0", "X-Not-Executed: 1"))
		return err == nil
	}
}

// AskForBackoff returns a script that rejects requests and asks for a time without any. notExecuted is
// whether it marks them as not executed.
func AskForBackoff(d time.Duration, notExecuted bool) Script {
	lines := []string{"Content-Length: 0", "Retry-After: " + strconv.FormatFloat(d.Seconds(), 'f', -1, 64)}
	if notExecuted {
		lines = append(lines, "X-Not-Executed: 1")
	}
	return func(c net.Conn, r *ReceivedRequest) bool {
		_, err := io.WriteString(c, ResponseHead(r, http.StatusServiceUnavailable, lines...))
		return err == nil
	}
}

// Hang is a script that sends nothing until the gateway closes the connection.
func Hang(_ net.Conn, r *ReceivedRequest) bool {
	<-r.Closed
	return false
}

// CloseConnection is a script that closes the connection without a response.
func CloseConnection(net.Conn, *ReceivedRequest) bool { return false }

// Events returns a script that streams events up to the ID last, starting after the request's
// Last-Event-Id, with a pause before each. It closes the connection in the middle of event
// cutAt; 0 means never.
func Events(last, cutAt int, pause time.Duration) Script {
	return events(last, cutAt, pause, Event)
}

// events is Events with the text of each event.
func events(last, cutAt int, pause time.Duration, text func(id int) string) Script {
	return func(c net.Conn, r *ReceivedRequest) bool {
		var lastID int
		// A missing or invalid header means a start from the first event.
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &lastID)
		if _, err := io.WriteString(c, ResponseHead(r, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
			return false
		}
		for id := lastID + 1; id <= last; id++ {
			time.Sleep(pause)
			event := text(id)
			if id == cutAt {
				event = event[:len(event)/2]
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || id == cutAt {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// VersionEvents is Events with the software version of the server in each event.
func VersionEvents(version string, last, cutAt int, pause time.Duration) Script {
	return events(last, cutAt, pause, func(id int) string { return VersionEvent(version, id) })
}

// VersionEvent returns the event with an ID of a server with a software version.
func VersionEvent(version string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", id, version, id)
}

// EventsOfTokens returns a script that streams tokens up to the given last one in events of several tokens,
// each with the number of its last token as its ID. It starts after the request's Last-Event-Id, or with the
// first token if anew is set, and closes the connection after the event with the ID cutAfter; 0 means never.
func EventsOfTokens(perEvent, last, cutAfter int, anew bool) Script {
	return func(c net.Conn, r *ReceivedRequest) bool {
		var end int
		if !anew {
			// A missing or invalid header means a start from the first token.
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &end)
		}
		if _, err := io.WriteString(c, ResponseHead(r, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
			return false
		}
		for end < last {
			start := end + 1
			end = min(end+perEvent, last)
			event := TokensEvent(start, end)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || end == cutAfter {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// TokensEvent returns the event of the tokens from start to end.
func TokensEvent(start, end int) string {
	return fmt.Sprintf("id: %d\ndata: tokens %d to %d\n\n", end, start, end)
}

// EventsWithoutIDs returns a script that streams events without IDs. It closes the connection
// after cutAfter events; 0 means never.
func EventsWithoutIDs(last, cutAfter int) Script {
	return func(c net.Conn, r *ReceivedRequest) bool {
		if _, err := io.WriteString(c, ResponseHead(r, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
			return false
		}
		for n := 1; n <= last; n++ {
			event := fmt.Sprintf("data: token %d\n\n", n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || n == cutAfter {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// Event returns the event with an ID.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// ResponseHead returns the status line and headers of a signed response.
func ResponseHead(r *ReceivedRequest, status int, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Signature: by-%s\r\n", status, http.StatusText(status), r.ID, r.Server)
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// SetScript replaces the server's script.
func (s *Server) SetScript(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// SetInstance changes the instance ID, as if another process had taken over the server's
// address.
func (s *Server) SetInstance(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Instance = instance
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// accept serves new connections until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve runs the script for each request on a connection, until either side closes it.
func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for {
		reader := bufio.NewReader(c)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		script, instance := s.script, s.Instance
		s.mu.Unlock()
		closed := make(chan struct{})
		r := &ReceivedRequest{
			Server: instance, ID: req.Header.Get("X-Request-Id"), Header: req.Header,
			Target: req.RequestURI, Method: req.Method, Body: string(body), At: time.Now(), Closed: closed,
		}
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != instance {
			script = Reject(http.StatusMisdirectedRequest)
		}
		s.onRequest(r)
		// A read that fails while the script runs means that the gateway closed the
		// connection. A byte that it reads instead belongs to the next request.
		next := make(chan byte, 1)
		go func() {
			buf := make([]byte, 1)
			if n, err := reader.Read(buf); n == 1 && err == nil {
				next <- buf[0]
			} else {
				close(closed)
			}
			close(next)
		}()
		if !script(c, r) {
			return
		}
		firstByte, ok := <-next
		if !ok {
			return
		}
		buffered, _ := reader.Peek(reader.Buffered())
		c = &prefixedConn{Conn: c, prefix: bytes.NewReader(append([]byte{firstByte}, buffered...))}
	}
}

// prefixedConn is a connection whose Read first returns bytes that were already read from it.
type prefixedConn struct {
	net.Conn
	prefix *bytes.Reader
}

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if c.prefix.Len() > 0 {
		return c.prefix.Read(p)
	}
	return c.Conn.Read(p)
}
