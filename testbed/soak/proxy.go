package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Directions of a connection: upstream is from the connecting process to the target.
const (
	upstream = iota
	downstream
	directionCount
)

const (
	// chunkBytes bounds a read, and queuedChunks the chunks queued in one
	// direction of a connection. With the chunk being sent, that is a window of
	// 128 KB, which a closed connection may leave on the link. With a window of
	// a megabyte, closed connections kept a narrow link busy permanently.
	chunkBytes   = 16 << 10
	queuedChunks = 7
	// blockedPollInterval is how often a blocked direction is polled.
	blockedPollInterval = 5 * time.Millisecond
)

// proxy is a TCP proxy on the network path to one process. It can delay data, block
// either direction and reset connections. testbed/faultproxy isn't used because it
// parses the messages between entry and agent, has no link that connections share
// and can't unblock a direction.
type proxy struct {
	listener net.Listener
	// links are the shared links by direction; nil means unlimited bandwidth.
	links [directionCount]*link
	// mu guards the fields below; no other lock is acquired while it is held.
	mu     sync.Mutex
	target string
	// minDelay and maxDelay bound the delay, which is drawn for each chunk.
	minDelay, maxDelay time.Duration
	// delayCount is the number of delays in effect.
	delayCount int
	blocked    [directionCount]int
	conns      map[net.Conn]net.Conn
}

// newProxy starts a proxy on a free loopback port to target, a host:port.
func newProxy(target string, links [directionCount]*link) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, links: links, target: target, conns: map[net.Conn]net.Conn{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setTarget changes the target of new connections.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// addDelay delays data received from now on, each chunk by a random time; chunks of
// a connection keep their order. Delays end when every returned function has been
// called.
func (p *proxy) addDelay(shortest, longest time.Duration) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minDelay, p.maxDelay = shortest, longest
	p.delayCount++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.delayCount--; p.delayCount == 0 {
			p.minDelay, p.maxDelay = 0, 0
		}
	}
}

// setBlocked blocks a direction, or removes one such block. Data received meanwhile
// is forwarded once no block is left.
func (p *proxy) setBlocked(direction int, block bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if block {
		p.blocked[direction]++
	} else {
		p.blocked[direction]--
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, b := range p.conns {
		abort(a)
		abort(b)
	}
}

// close stops listening and resets all open connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

// relay forwards one connection until both directions have ended.
func (p *proxy) relay(conn net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		abort(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn] = server
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(conn, server, upstream) })
	both.Go(func() { p.forward(server, conn, downstream) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_, _ = conn.Close(), server.Close()
}

// chunk is data in flight; due is when it is forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction of a connection and propagates its end.
func (p *proxy) forward(from, to net.Conn, direction int) {
	chunks := make(chan chunk, queuedChunks)
	var readErr error
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			now := time.Now()
			due := now
			if l := p.links[direction]; l != nil {
				due = l.reserve(n, now)
			}
			p.mu.Lock()
			due = due.Add(p.minDelay + rand.N(p.maxDelay-p.minDelay+1))
			p.mu.Unlock()
			chunks <- chunk{data[:n], due}
			if err != nil {
				readErr = err
				return
			}
		}
	}()
	sendFailed := false
	for c := range chunks {
		if sendFailed {
			continue
		}
		time.Sleep(time.Until(c.due))
		for p.isBlocked(direction) {
			time.Sleep(blockedPollInterval)
		}
		if _, err := to.Write(c.data); err != nil {
			// The sender sees a reset, and the reader goroutine ends.
			sendFailed = true
			abort(from)
		}
	}
	// The reader goroutine sets readErr before it closes the channel.
	if errors.Is(readErr, io.EOF) {
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
	abort(to)
}

func (p *proxy) isBlocked(direction int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked[direction] > 0
}
