package callers

import (
	"net"
	"runtime"
	"sync"
	"time"
)

// relistenInterval is the time between two attempts to listen again after a pause.
const relistenInterval = 10 * time.Millisecond

// listener wraps each accepted connection in a Conn. While the server pauses it doesn't listen: the
// host then resets connections that wait to be accepted and refuses new ones, which costs this process
// nothing, and callers go elsewhere at once.
type listener struct {
	server *Server
	// done is closed by Close.
	done chan struct{}
	// mu guards the fields below; no other lock is acquired while it is held.
	mu     sync.Mutex
	inner  net.Listener
	closed bool
}

func newListener(inner net.Listener, server *Server) *listener {
	return &listener{inner: inner, server: server, done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	if l.server.pause != nil {
		if d := l.server.pause(); d > 0 {
			if err := l.stopFor(d); err != nil {
				return nil, err
			}
		}
	}
	// Connections that were accepted are served first. What this process can't serve then waits in the
	// host's queue, where a pause drops it, and not as goroutines.
	runtime.Gosched()
	c, err := l.current().Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, server: l.server}, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	close(l.done)
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.current().Addr() }

func (l *listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// stopFor stops listening for a time, and then listens again at the same address. It returns
// net.ErrClosed if the listener is closed meanwhile.
func (l *listener) stopFor(d time.Duration) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return net.ErrClosed
	}
	addr := l.inner.Addr()
	// An error means that it is closed already.
	_ = l.inner.Close()
	l.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-l.done:
			return net.ErrClosed
		case <-timer.C:
		}
		inner, err := net.Listen(addr.Network(), addr.String())
		if err == nil {
			return l.resume(inner)
		}
		// Another program may have taken the address for a moment.
		timer.Reset(relistenInterval)
	}
}

// resume replaces the inner listener, unless the listener is closed.
func (l *listener) resume(inner net.Listener) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// Nothing was accepted, so that an error doesn't matter.
		_ = inner.Close()
		return net.ErrClosed
	}
	l.inner = inner
	return nil
}
