package exchange

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// endingPeer listens, and ends a while after it has accepted its first connection, as a
// process does that is killed; accepts tells whether it accepts at all. When its listener is
// closed, the time is sent.
func endingPeer(t *testing.T, accepts bool, after time.Duration) (Peer, <-chan time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan time.Time, 1)
	end := func() {
		time.Sleep(after)
		_ = l.Close()
		closed <- time.Now()
	}
	go func() {
		if !accepts {
			end()
			return
		}
		c, err := l.Accept()
		if err != nil {
			closed <- time.Now()
			return
		}
		end()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	return Peer{Addr: l.Addr().String(), Instance: "i"}, closed
}

// Guards against a server that is ending being taken for one that goes on, where the dial
// that asks crosses its end: the connection opens, and is reset.
func TestPeerThatEndsDuringTheDialRefuses(t *testing.T) {
	for _, accepts := range []bool{true, false} {
		for _, after := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 3 * time.Millisecond} {
			t.Run(fmt.Sprintf("accepts %v/%v", accepts, after), func(t *testing.T) {
				t.Parallel()
				for range 20 {
					peer, closed := endingPeer(t, accepts, after)
					began := time.Now()
					// On a busy machine it may have gone on for long enough to be found so.
					if !NewPool().Refuses(t.Context(), peer) && (<-closed).Sub(began) < endingTime {
						t.Fatal("taken for a server that goes on")
					}
				}
			})
		}
	}
}

// A server that goes on is not taken for one that ended, also if it closes each new connection.
func TestPeerThatGoesOnDoesNotRefuse(t *testing.T) {
	for name, closes := range map[string]bool{"keeps connections": false, "closes connections": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if closes {
						_ = c.Close()
					}
				}
			}()
			began := time.Now()
			if NewPool().Refuses(t.Context(), Peer{Addr: l.Addr().String(), Instance: "i"}) {
				t.Error("taken for a server that ended")
			}
			if took := time.Since(began); took > 5*refusalTimeout {
				t.Errorf("asked for %v, callers wait meanwhile", took)
			}
		})
	}
}

// Guards against a request being sent on a connection whose server may have ended: it opened, and
// none did after it.
func TestConnectionOfAPeerThatMayHaveEndedIsNotKept(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	// The queue takes one connection; what would open more is lost.
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	peer, p := Peer{Addr: fmt.Sprintf("127.0.0.1:%d", port), Instance: "i"}, NewPool()
	if p.Refuses(t.Context(), peer) {
		t.Error("taken for a server that ended, though nothing was refused")
	}
	if kept := len(p.idle[peer]); kept != 0 {
		t.Errorf("%d connections are kept for use", kept)
	}
}
