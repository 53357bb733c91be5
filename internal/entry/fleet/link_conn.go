package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/wire"
)

const (
	// redialFrom and redialTo bound the pause between two dials.
	redialFrom = 100 * time.Millisecond
	redialTo   = 2 * time.Second
)

// run keeps the connection up until ctx ends.
func (l *link) run(ctx context.Context) {
	wait := redialFrom
	for ctx.Err() == nil {
		conn, err := wire.Dial(ctx, l.addr(), l.fleet.config.SystemKey, l.fleet.config.Local)
		if err != nil {
			wait = min(2*wait, redialTo)
		} else {
			wait = redialFrom
			l.serve(ctx, conn)
		}
		pause.For(ctx, wait/2+rand.N(wait/2))
	}
}

func (l *link) serve(ctx context.Context, conn *wire.Conn) {
	var pinger conc.WaitGroup
	defer pinger.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.attach(conn)
	log := l.fleet.config.Log.With(logging.Peer(l.name))
	log.Info(logging.EventConnected)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	pinger.Go(func() { l.ping(ctx, conn) })
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			log.Info(logging.EventDisconnected, logging.Reason(err.Error()))
			break
		}
		l.handle(m)
	}
	conn.Close()
	l.detach(conn)
}

func (l *link) attach(conn *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.liveness = liveness{quiet: time.Now()}
	_ = conn.Send(wire.Message{Hello: &wire.Hello{Process: l.fleet.config.Process, Zone: l.fleet.config.Zone}})
}

// detach tells every attempt that waits here that its ticket is gone.
func (l *link) detach(conn *wire.Conn) {
	l.mu.Lock()
	if l.conn != conn {
		l.mu.Unlock()
		return
	}
	l.conn = nil
	lost := l.tickets.byAttempt
	l.tickets = newWaitingTickets()
	for _, answer := range l.voids {
		close(answer)
	}
	l.voids = make(map[string]chan wire.VoidResult)
	l.mu.Unlock()
	for _, t := range lost {
		t.listener.Lost(l.name)
	}
}

// ping watches a connection for signs of life, as liveness says.
func (l *link) ping(ctx context.Context, conn *wire.Conn) {
	timer := time.NewTimer(pingEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		seq, ask, dead, next := l.pingState()
		if dead {
			conn.Close()
			return
		}
		if ask {
			_ = conn.Send(wire.Message{Ping: &wire.Ping{Seq: seq}})
		}
		timer.Reset(next)
	}
}

func (l *link) pingState() (seq uint64, ask, dead bool, next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	w := l.watch()
	ask, dead = l.liveness.check(now, w)
	l.pingSeq++
	return l.pingSeq, ask, dead, l.liveness.next(now, w)
}
