package exchange

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// defaultKeepAlive is how long an idle connection is kept when the backend server
	// doesn't say how long it keeps it.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the backend server's own limit a
	// connection isn't used any more, so that a request doesn't cross its
	// close: a round trip with a lost packet, and the second that the
	// Keep-Alive header rounds by.
	keepAliveMargin = 1200 * time.Millisecond
	// dialTimeout is how long a new connection may take. It takes a round
	// trip of a few milliseconds; a lost opening packet is sent again after a
	// second, and another backend server is reached sooner.
	dialTimeout = 250 * time.Millisecond
	// maxUnacknowledged is how long sent bytes may stay maxUnacknowledged before
	// the connection counts as broken: several resends of a lost packet, which
	// come after 0.2, 0.6 and 1.4 seconds.
	maxUnacknowledged = time.Second
	// refusalCheckTimeout is how long a server's host may take to refuse a connection:
	// a round trip to any zone, while a caller waits for its answer.
	refusalCheckTimeout = 100 * time.Millisecond
	// processExitTime is how much later another connection is opened: a process that ends has
	// closed all its sockets by then.
	processExitTime = 20 * time.Millisecond
	// probeDialTimeout bounds one of the connections: some round trips between zones. The opening
	// packet that crosses the end of its listener is lost.
	probeDialTimeout = 30 * time.Millisecond
	// redialDelay is the pause before another connection is opened to a peer that reset
	// one.
	redialDelay = 5 * time.Millisecond
	// maxIdlePerPeer bounds the idle connections to one backend server.
	maxIdlePerPeer = 32
)

// Peer is one start of a backend server at its address. Connections of an
// earlier start are never used for a later one.
type Peer struct {
	Addr     string
	Instance string
	// Born is when it started, where one instance may start again.
	Born int64
}

// Pool keeps open connections to backend servers. All methods may be called
// concurrently.
type Pool struct {
	dialer net.Dialer
	// mu guards idle; nothing else is locked while it is held.
	mu   sync.Mutex
	idle map[Peer][]*conn
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{
		idle:   map[Peer][]*conn{},
		dialer: dial.Dialer(dialTimeout, maxUnacknowledged),
	}
}

// acquire returns an idle connection that has been idle for less than young, or
// opens one. The error wraps ErrNotSent.
func (p *Pool) acquire(ctx context.Context, peer Peer, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(peer)
		if c == nil {
			break
		}
		now := time.Now()
		if !c.expired(now) && now.Sub(c.idleSince) < maxIdle && c.reusable() {
			return c, nil
		}
		c.close()
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", peer.Addr)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	return newConn(netConn, peer), nil
}

// Refuses reports whether a peer's host refuses connections at its address, as it does
// when nothing listens there any more. One connection that opens proves nothing: hosts open
// it for a process that is about to end as well. So a peer goes on that opens another one a
// while later; both are kept for use. False where that isn't known within refusalTimeout.
func (p *Pool) Refuses(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	var first *conn
	defer func() {
		if first != nil {
			first.close()
		}
	}()
	for {
		probe, err := p.dialProbe(ctx, peer)
		delay := redialDelay
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil:
		case first != nil:
			p.release(first)
			p.release(probe)
			first = nil
			return false
		default:
			first, delay = probe, processExitTime
		}
		if !pause.For(ctx, delay) {
			return false
		}
	}
}

// dialProbe opens a connection, or gives up before a lost packet would be sent again.
func (p *Pool) dialProbe(ctx context.Context, peer Peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	defer cancel()
	netConn, err := p.dialer.DialContext(ctx, "tcp", peer.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, peer), nil
}

// popIdle takes the connection that was used last, so that those that aren't
// needed grow old.
func (p *Pool) popIdle(peer Peer) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[peer]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[peer] = conns[:len(conns)-1]
	return c
}

// release takes back a connection whose exchange ended whole.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.peer]) >= maxIdlePerPeer {
		c.close()
		return
	}
	p.idle[c.peer] = append(p.idle[c.peer], c)
}

// Sweep closes idle connections that are too old to be used, and all to peers
// that aren't wanted any more. It is to be called every second or so.
func (p *Pool) Sweep(now time.Time, wanted func(Peer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if wanted(peer) && !c.expired(now) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, peer)
		} else {
			p.idle[peer] = kept
		}
	}
}
