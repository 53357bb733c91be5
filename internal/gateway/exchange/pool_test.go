package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// newExitingServer starts a listener at host that closes after delay, like that of a process that is
// killed. If accepts is set, it accepts one connection, from which the delay is counted, and resets it
// after the listener has closed. The returned channel receives the time when the listener was closed.
func newExitingServer(t *testing.T, host string, accepts bool, delay time.Duration) (ServerInstance, <-chan time.Time) {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan time.Time, 1)
	stop := func() {
		time.Sleep(delay)
		_ = listener.Close()
		closed <- time.Now()
	}
	go func() {
		if !accepts {
			stop()
			return
		}
		c, err := listener.Accept()
		if err != nil {
			closed <- time.Now()
			return
		}
		stop()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	return ServerInstance{Addr: listener.Addr().String(), ServerID: "i"}, closed
}

// Guards against mistaking an exiting server for a running one if it exits while RefusesConnections
// opens its first connection, which succeeds and is then reset.
func TestServerExitingDuringDialRefuses(t *testing.T) {
	const servers = 20
	lastHost := 1
	for _, accepts := range []bool{true, false} {
		for _, delay := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 3 * time.Millisecond} {
			// With a host of its own, a subtest can't get the port that another one has just
			// closed.
			lastHost++
			host := fmt.Sprintf("127.0.0.%d", lastHost)
			t.Run(fmt.Sprintf("accepts %v/%v", accepts, delay), func(t *testing.T) {
				t.Parallel()
				undecided := 0
				for range servers {
					instance, closed := newExitingServer(t, host, accepts, delay)
					start := time.Now()
					refuses := NewPool().RefusesConnections(t.Context(), instance)
					took := time.Since(start)
					switch {
					case refuses:
					case (<-closed).Sub(start) >= processExitTime:
						// On a busy machine the listener may have stayed open long enough to count
						// as running.
					case took >= refusalCheckTimeout:
						undecided++
					default:
						t.Fatalf("an exiting server counts as running after %v", took)
					}
				}
				if undecided > servers/2 {
					t.Errorf("of %d exiting servers %d couldn't be told from running ones within %v", servers, undecided, refusalCheckTimeout)
				}
			})
		}
	}
}

// A running server must not be mistaken for an exited one, even if it closes each new connection.
func TestRunningServerDoesNotRefuse(t *testing.T) {
	for name, closes := range map[string]bool{"keeps connections": false, "closes connections": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					if closes {
						_ = c.Close()
					}
				}
			}()
			start := time.Now()
			if NewPool().RefusesConnections(t.Context(), ServerInstance{Addr: listener.Addr().String(), ServerID: "i"}) {
				t.Error("a running server counts as exited")
			}
			if took := time.Since(start); took > 5*refusalCheckTimeout {
				t.Errorf("took %v, while callers wait", took)
			}
		})
	}
}

// Guards against sending a request on a connection to a server that may have exited: the first
// connection opened, but no later one did.
func TestConnectionToPossiblyExitedServerIsNotPooled(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	// A backlog of 0 holds one connection; further SYNs are dropped.
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockaddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := sockaddr.(*syscall.SockaddrInet4).Port
	instance, pool := ServerInstance{Addr: fmt.Sprintf("127.0.0.1:%d", port), ServerID: "i"}, NewPool()
	if pool.RefusesConnections(t.Context(), instance) {
		t.Error("counts as exited, though no connection was refused")
	}
	if pooled := len(pool.idle[instance]); pooled != 0 {
		t.Errorf("%d connections in the pool, want 0", pooled)
	}
}

// Guards against bytes that a server sends between two requests, and that stay in the host's memory for as long
// as the connection is kept.
func TestSweepClosesConnectionsWithUnreadBytes(t *testing.T) {
	for name, extra := range map[string]string{"no bytes": "", "bytes": "late"} {
		t.Run(name, func(t *testing.T) {
			sent, closed := make(chan struct{}), make(chan struct{})
			addr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
				if _, ok := readRequest(reader); !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok")
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, extra)
				close(sent)
				_, _ = io.Copy(io.Discard, reader)
				close(closed)
			})
			p := NewPool()
			if body, err := send(t, p, addr, "1", nil); err != nil || body != "ok" {
				t.Fatalf("body %q, %v", body, err)
			}
			<-sent
			isClosed := false
			for end := time.Now().Add(time.Second); !isClosed && time.Now().Before(end); {
				p.Sweep(time.Now(), func(ServerInstance) bool { return true })
				select {
				case <-closed:
					isClosed = true
				case <-time.After(10 * time.Millisecond):
				}
			}
			if isClosed != (extra != "") {
				t.Errorf("closed %v", isClosed)
			}
		})
	}
}
