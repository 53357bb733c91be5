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
	// defaultKeepAlive is how long an idle connection is kept if the backend server doesn't say how
	// long it keeps it.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the backend server's own limit a connection is no longer
	// used, so that a request doesn't cross the server's close. It covers a round trip with a lost
	// packet, and the second by which the Keep-Alive header is rounded.
	keepAliveMargin = 1200 * time.Millisecond
	// dialTimeout bounds opening a connection, which normally takes a round trip of a few
	// milliseconds. A lost SYN is retransmitted only after a second; trying another backend server
	// is faster.
	dialTimeout = 250 * time.Millisecond
	// maxUnacknowledged is how long sent data may stay unacknowledged before the connection counts
	// as broken. A lost packet is retransmitted after 0.2, 0.6 and 1.4 seconds, so that the first
	// two retransmissions fit.
	maxUnacknowledged = time.Second
	// refusalCheckTimeout bounds RefusesConnections. It allows for a round trip to any availability
	// zone, while a caller waits for its response.
	refusalCheckTimeout = 100 * time.Millisecond
	// processExitTime is the delay before the second connection of RefusesConnections. A process
	// that is exiting has closed all its sockets by then.
	processExitTime = 20 * time.Millisecond
	// probeDialTimeout bounds one connection attempt of RefusesConnections; it allows for a few
	// round trips between availability zones. A SYN that arrives just as the listener is closed is
	// lost.
	probeDialTimeout = 30 * time.Millisecond
	// redialDelay is the pause before another connection attempt to a peer that reset one.
	redialDelay = 5 * time.Millisecond
	// maxIdlePerInstance bounds the idle connections to one backend server.
	maxIdlePerInstance = 32
)

// Peer identifies an instance of a backend server: one run of the process at its address.
// Connections to an earlier instance are never used for a later one.
type Peer struct {
	Addr     string
	ServerID string
	// StartTime distinguishes instances with the same ServerID; larger is later, and 0
	// means that the backend server reports none.
	StartTime int64
}

// Pool holds idle connections to backend servers. Its methods may be called concurrently.
type Pool struct {
	dialer net.Dialer
	// mu guards idle. No other lock is taken while it is held.
	mu   sync.Mutex
	idle map[Peer][]*conn
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{
		idle:   map[Peer][]*conn{},
		dialer: dial.NewDialer(dialTimeout, maxUnacknowledged),
	}
}

// acquire returns a pooled connection that has been idle for less than maxIdle, or opens one. The
// error wraps ErrNotSent.
func (p *Pool) acquire(ctx context.Context, instance Peer, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(instance)
		if c == nil {
			break
		}
		now := time.Now()
		if !c.expired(now) && now.Sub(c.idleSince) < maxIdle && c.reusable() {
			return c, nil
		}
		c.close()
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", instance.Addr)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	return newConn(netConn, instance), nil
}

// RefusesConnections reports whether a peer's host refuses connections to its address, as it does
// when nothing listens there any more. One successful connection proves nothing, since a host also
// accepts connections for a process that is about to exit. A peer therefore counts as running only
// if a second connection opens processExitTime later; both connections then go to the pool. It
// returns false if the result isn't known within refusalCheckTimeout.
func (p *Pool) RefusesConnections(ctx context.Context, instance Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	var first *conn
	defer func() {
		if first != nil {
			first.close()
		}
	}()
	for {
		probe, err := p.dialProbe(ctx, instance)
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
		if !pause.Sleep(ctx, delay) {
			return false
		}
	}
}

// dialProbe opens a connection, or gives up before a lost SYN would be retransmitted.
func (p *Pool) dialProbe(ctx context.Context, instance Peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	defer cancel()
	netConn, err := p.dialer.DialContext(ctx, "tcp", instance.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, instance), nil
}

// popIdle removes and returns the most recently used connection, so that surplus ones expire. It
// returns nil if there is none.
func (p *Pool) popIdle(instance Peer) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[instance]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[instance] = conns[:len(conns)-1]
	return c
}

// release returns a connection to the pool after a complete exchange.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.instance]) >= maxIdlePerInstance {
		c.close()
		return
	}
	p.idle[c.instance] = append(p.idle[c.instance], c)
}

// Sweep closes expired idle connections, and all connections to peers that aren't wanted any more.
// Call it about once a second.
func (p *Pool) Sweep(now time.Time, wanted func(Peer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if wanted(instance) && !c.expired(now) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, instance)
		} else {
			p.idle[instance] = kept
		}
	}
}
