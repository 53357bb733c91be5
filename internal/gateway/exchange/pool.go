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
	// idleKept is how long an idle connection is kept when the backend server
	// doesn't say how long it keeps it.
	idleKept = 4 * time.Second
	// closeMargin is how long before the backend server's own limit a
	// connection isn't used any more, so that a request doesn't cross its
	// close: a round trip with a lost packet, and the second that the
	// Keep-Alive header rounds by.
	closeMargin = 1200 * time.Millisecond
	// dialTimeout is how long a new connection may take. It takes a round
	// trip of a few milliseconds; a lost opening packet is sent again after a
	// second, and another backend server is reached sooner.
	dialTimeout = 250 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before
	// the connection counts as broken: several resends of a lost packet, which
	// come after 0.2, 0.6 and 1.4 seconds.
	unacknowledged = time.Second
	// refusalTimeout is how long a server's host may take to refuse a connection:
	// a round trip to any zone, while a caller waits for its answer.
	refusalTimeout = 100 * time.Millisecond
	// endingTime is how much later another connection is opened: a process that ends has
	// closed all its sockets by then.
	endingTime = 20 * time.Millisecond
	// shortDial bounds one of the connections: some round trips between zones. The opening
	// packet that crosses the end of its listener is lost.
	shortDial = 30 * time.Millisecond
	// redialPause is the pause before another connection is opened to a peer that reset
	// one.
	redialPause = 5 * time.Millisecond
	// idlePerPeer bounds the idle connections to one backend server.
	idlePerPeer = 32
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
		dialer: dial.Dialer(dialTimeout, unacknowledged),
	}
}

// take returns an idle connection that has been idle for less than young, or
// opens one. The error wraps ErrNotSent.
func (p *Pool) take(ctx context.Context, peer Peer, young time.Duration) (*conn, error) {
	for {
		c := p.pop(peer)
		if c == nil {
			break
		}
		now := time.Now()
		if !c.stale(now) && now.Sub(c.idleSince) < young && c.quiet() {
			return c, nil
		}
		c.close()
	}
	opened, err := p.dialer.DialContext(ctx, "tcp", peer.Addr)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	return newConn(opened, peer), nil
}

// Refuses reports whether a peer's host refuses connections at its address, as it does
// when nothing listens there any more. One connection that opens proves nothing: hosts open
// it for a process that is about to end as well. So a peer goes on that opens another one a
// while later; both are kept for use. False where that isn't known within refusalTimeout.
func (p *Pool) Refuses(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	var first *conn
	defer func() {
		if first != nil {
			first.close()
		}
	}()
	for {
		opened, err := p.dialShortly(ctx, peer)
		wait := redialPause
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil:
		case first != nil:
			p.give(first)
			p.give(opened)
			first = nil
			return false
		default:
			first, wait = opened, endingTime
		}
		if !pause.For(ctx, wait) {
			return false
		}
	}
}

// dialShortly opens a connection, or gives up before a lost packet would be sent again.
func (p *Pool) dialShortly(ctx context.Context, peer Peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, shortDial)
	defer cancel()
	opened, err := p.dialer.DialContext(ctx, "tcp", peer.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(opened, peer), nil
}

// pop takes the connection that was used last, so that those that aren't
// needed grow old.
func (p *Pool) pop(peer Peer) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[peer] = list[:len(list)-1]
	return c
}

// give takes back a connection whose exchange ended whole.
func (p *Pool) give(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.peer]) >= idlePerPeer {
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
	for peer, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(peer) && !c.stale(now) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, peer)
		} else {
			p.idle[peer] = kept
		}
	}
}
