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
	// defaultKeepAlive is how long an idle connection is kept if the backend server announces no
	// timeout of its own.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the backend server's own timeout a connection is no longer
	// used, so that no request is in transit when the server closes the connection. It covers a
	// round trip with a lost packet, and the rounding of the Keep-Alive header to whole seconds.
	keepAliveMargin = 1200 * time.Millisecond
	// dialTimeout bounds opening a connection, which normally takes a round trip of a few
	// milliseconds. A lost SYN is retransmitted only after a second, so trying another backend
	// server is faster.
	dialTimeout = 250 * time.Millisecond
	// maxUnacknowledged is how long sent data may stay unacknowledged before the connection counts
	// as broken. A lost packet is retransmitted after 0.2, 0.6 and 1.4 seconds, so that the first
	// two retransmissions fit. It also bounds for how long a backend server may take no more of a
	// request before it begins to respond.
	maxUnacknowledged = time.Second
	// refusalCheckTimeout bounds RefusesConnections. It allows for a round trip to any availability
	// zone, while a caller waits for its response.
	refusalCheckTimeout = 100 * time.Millisecond
	// processExitTime is the delay between the two connections of RefusesConnections. A process that
	// is exiting when it accepts the first one has closed all its sockets by the second.
	processExitTime = 20 * time.Millisecond
	// probeDialTimeout bounds one connection attempt of RefusesConnections; it allows for a few
	// round trips between availability zones. It is short because a SYN that arrives just as the
	// listener is closed is lost, and the next attempt is refused.
	probeDialTimeout = 30 * time.Millisecond
	// redialDelay is the pause of RefusesConnections after an attempt that failed, but not because
	// the connection was refused: it was reset or timed out.
	redialDelay = 5 * time.Millisecond
	// maxIdlePerInstance bounds the idle connections to one instance of a backend server.
	maxIdlePerInstance = 32
	// maxSweepChecks bounds the idle connections of which Sweep checks whether they have unread data, since
	// each takes a system call.
	maxSweepChecks = 64
)

// ServerInstance identifies an instance of a backend server: one run of the process at its address.
// Connections to an earlier instance are never used for a later one.
type ServerInstance struct {
	// Addr is the host:port at which the instance accepts connections.
	Addr string
	// ServerID is the ID of the backend server, shared by its instances.
	ServerID string
	// StartTime distinguishes instances with the same ServerID; larger is later, and 0
	// means that the backend server reports none.
	StartTime int64
}

// Pool holds idle connections to backend servers. Its methods are safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// mu guards idle. No other lock is acquired while it is held.
	mu   sync.Mutex
	idle map[ServerInstance][]*conn
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{
		idle:   map[ServerInstance][]*conn{},
		dialer: dial.NewDialer(dialTimeout, maxUnacknowledged),
	}
}

// acquire returns a pooled connection that has been idle for less than maxIdle, or opens one. The
// error wraps ErrNotSent.
func (p *Pool) acquire(ctx context.Context, instance ServerInstance, maxIdle time.Duration) (*conn, error) {
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

// RefusesConnections reports whether connections to an instance's address are refused, which means
// that no process listens there any more. One successful connection doesn't show that the instance is
// running, since the host also accepts connections for a process that is about to exit. It therefore
// counts as running only if a second connection opens processExitTime later; both connections then go
// to the pool. RefusesConnections returns false if the result isn't known within refusalCheckTimeout.
func (p *Pool) RefusesConnections(ctx context.Context, instance ServerInstance) bool {
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

// dialProbe opens a connection within probeDialTimeout, so that it fails before a lost SYN would be
// retransmitted.
func (p *Pool) dialProbe(ctx context.Context, instance ServerInstance) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	defer cancel()
	netConn, err := p.dialer.DialContext(ctx, "tcp", instance.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, instance), nil
}

// popIdle removes the most recently used idle connection and returns it, so that surplus ones expire.
// It returns nil if there is none.
func (p *Pool) popIdle(instance ServerInstance) *conn {
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

// release returns an unused connection, or one whose exchange is complete, to the pool. It closes the
// connection if the pool already holds maxIdlePerInstance to the same instance.
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

// Sweep closes expired idle connections, and all idle connections to instances that aren't wanted any
// more. Of the others it closes those with unread data, which takes up the host's memory for as long as they
// are kept; it looks at maxSweepChecks, another choice each time. Call it about once a second.
func (p *Pool) Sweep(now time.Time, wanted func(ServerInstance) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	checks := 0
	for instance, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			keep := wanted(instance) && !c.expired(now)
			if keep && checks < maxSweepChecks {
				checks++
				keep = c.reusable()
			}
			if keep {
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
