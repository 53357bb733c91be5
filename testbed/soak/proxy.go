package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Directions of a connection.
const (
	up = iota
	down
	directions
)

const (
	// chunkBytes is read at once, and queued is how many such are on their way
	// in a direction of a connection: a window of 128 KB. What a connection that
	// is closed has left in the line is no more than that.
	chunkBytes = 16 << 10
	queued     = 7
	// holdPoll is how often a direction that is cut looks whether it still is.
	holdPoll = 5 * time.Millisecond
)

// proxy is the path to one process: it delays, holds back, cuts either way and
// resets. testbed/faultproxy reads the messages between entry and agent, has no
// line that connections share and can't lift a silence, so that it is no part
// of this.
type proxy struct {
	listener net.Listener
	// links are the lines that a direction passes; nil for none.
	links [directions]*link
	// mu guards what follows; nothing is locked while it is held.
	mu     sync.Mutex
	target string
	// least and most bound the delay, which is drawn for each piece of data.
	least, most time.Duration
	// slows counts the reasons for delays.
	slows int
	cut   [directions]int
	conns map[net.Conn]net.Conn
}

// newProxy opens a path to a host:port.
func newProxy(target string, links [directions]*link) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, links: links, target: target, conns: map[net.Conn]net.Conn{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// lead leads new connections elsewhere.
func (p *proxy) lead(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// slow delays what comes from now on, each piece of data by a time of its own;
// those of one connection keep their order. It lasts until each such has been
// lifted.
func (p *proxy) slow(least, most time.Duration) (lift func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.least, p.most = least, most
	p.slows++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.slows--; p.slows == 0 {
			p.least, p.most = 0, 0
		}
	}
}

// silence cuts a direction, or lifts one such cut: what came meanwhile passes
// then.
func (p *proxy) silence(direction int, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.cut[direction]++
	} else {
		p.cut[direction]--
	}
}

// reset resets all connections of now.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, b := range p.conns {
		abort(a)
		abort(b)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// abort closes a connection by a reset.
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
		go p.join(c)
	}
}

// join leads one connection on until both directions have ended.
func (p *proxy) join(from net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	to, err := net.Dial("tcp", target)
	if err != nil {
		abort(from)
		return
	}
	p.mu.Lock()
	p.conns[from] = to
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(from, to, up) })
	both.Go(func() { p.pass(to, from, down) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	p.mu.Unlock()
	_, _ = from.Close(), to.Close()
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// pass leads one direction on, its end as well.
func (p *proxy) pass(from, to net.Conn, direction int) {
	way := make(chan chunk, queued)
	var end error
	go func() {
		defer close(way)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			now := time.Now()
			due := now
			if l := p.links[direction]; l != nil {
				due = l.reserve(n, now)
			}
			p.mu.Lock()
			due = due.Add(p.least + rand.N(p.most-p.least+1))
			p.mu.Unlock()
			way <- chunk{data[:n], due}
			if err != nil {
				end = err
				return
			}
		}
	}()
	broken := false
	for c := range way {
		if broken {
			continue
		}
		time.Sleep(time.Until(c.due))
		for p.silent(direction) {
			time.Sleep(holdPoll)
		}
		if _, err := to.Write(c.data); err != nil {
			// Whoever sends learns of it as of a reset, and reading ends.
			broken = true
			abort(from)
		}
	}
	// The reader's last word was written before it closed the way.
	if errors.Is(end, io.EOF) {
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
	abort(to)
}

func (p *proxy) silent(direction int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[direction] > 0
}
