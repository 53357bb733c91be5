// Package gateway plays the surroundings of a gateway for its tests: backend
// servers that speak the platform's dialect and do as they are told, and the
// platform's store. Start reading at Fleet.
package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request as it reached a backend server.
type Arrival struct {
	Server string
	ID     string
	Header http.Header
	Target string
	Method string
	Body   string
	At     time.Time
	// Left is closed when the gateway closes the connection.
	Left <-chan struct{}
}

// Script answers a request on its connection; false closes the connection.
type Script func(c net.Conn, a *Arrival) bool

// Server is a scripted backend server.
type Server struct {
	// Instance is the id of its start.
	Instance string
	Addr     string
	// arrived is told of each request.
	arrived  func(*Arrival)
	listener net.Listener
	// mu guards what follows, and Instance once it serves; nothing is locked
	// while it is held.
	mu     sync.Mutex
	script Script
	conns  map[net.Conn]bool
}

// Listen starts a server on a host:port that does as script says and tells of
// each request that reaches it.
func Listen(addr, instance string, script Script, arrived func(*Arrival)) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Instance: instance, Addr: l.Addr().String(), arrived: arrived, listener: l, script: script, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Answer scripts a whole answer, signed.
func Answer(body string) Script {
	return func(c net.Conn, a *Arrival) bool {
		_, err := io.WriteString(c, Head(a, 200, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}
}

// Failure scripts the server's own failure.
func Failure(status int) Script {
	return func(c net.Conn, a *Arrival) bool {
		_, err := io.WriteString(c, Head(a, status, "Content-Length: 4")+"fail")
		return err == nil
	}
}

// Refuse scripts that the request isn't run.
func Refuse(status int) Script {
	return func(c net.Conn, a *Arrival) bool {
		_, err := io.WriteString(c, Head(a, status, "Content-Length: 0", "X-Not-Executed: 1"))
		return err == nil
	}
}

// Hang scripts silence until the gateway closes the connection.
func Hang(_ net.Conn, a *Arrival) bool {
	<-a.Left
	return false
}

// Drop scripts a connection that is closed without an answer.
func Drop(net.Conn, *Arrival) bool { return false }

// Events scripts a stream of events from the one that is asked for up to last,
// with a pause before each; it breaks off in the middle of event cutAt, 0 for
// never.
func Events(last, cutAt int, pause time.Duration) Script {
	return func(c net.Conn, a *Arrival) bool {
		var after int
		// No number stands for none.
		_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &after)
		if _, err := io.WriteString(c, Head(a, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
			return false
		}
		for id := after + 1; id <= last; id++ {
			time.Sleep(pause)
			event := Event(id)
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

// Unnumbered scripts a stream whose events bear no id, and which breaks off
// after so many of them; 0 for never.
func Unnumbered(last, cutAfter int) Script {
	return func(c net.Conn, a *Arrival) bool {
		if _, err := io.WriteString(c, Head(a, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
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

// Event is the event with an id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// Head is the head of a signed answer.
func Head(a *Arrival, status int, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Signature: by-%s\r\n", status, http.StatusText(status), a.ID, a.Server)
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// Do changes what the server does.
func (s *Server) Do(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// Become has another start answer at the server's address.
func (s *Server) Become(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Instance = instance
}

// Stop ends the server and its connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

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

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for {
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
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
		left := make(chan struct{})
		a := &Arrival{
			Server: instance, ID: req.Header.Get("X-Request-Id"), Header: req.Header,
			Target: req.RequestURI, Method: req.Method, Body: string(body), At: time.Now(), Left: left,
		}
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != instance {
			script = Refuse(http.StatusMisdirectedRequest)
		}
		s.arrived(a)
		// Whatever comes before the answer is given is the connection's end.
		next := make(chan byte, 1)
		go func() {
			one := make([]byte, 1)
			if n, err := in.Read(one); n == 1 && err == nil {
				next <- one[0]
			} else {
				close(left)
			}
			close(next)
		}()
		if !script(c, a) {
			return
		}
		first, ok := <-next
		if !ok {
			return
		}
		rest, _ := in.Peek(in.Buffered())
		c = &replayed{Conn: c, first: bytes.NewReader(append([]byte{first}, rest...))}
	}
}

// replayed is a connection of which some bytes have been read already.
type replayed struct {
	net.Conn
	first *bytes.Reader
}

// Read implements net.Conn.
func (r *replayed) Read(p []byte) (int, error) {
	if r.first.Len() > 0 {
		return r.first.Read(p)
	}
	return r.Conn.Read(p)
}
