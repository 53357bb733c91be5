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
	// minRedialDelay and maxRedialDelay bound the delay between two dials,
	// which doubles with each failure. Jitter shortens it by up to half.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// run keeps a connection to the agent open until ctx ends.
func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := wire.Dial(ctx, l.addr(), l.fleet.config.SystemKey, l.fleet.config.Local)
		if err != nil {
			delay = min(2*delay, maxRedialDelay)
		} else {
			delay = minRedialDelay
			l.serveConn(ctx, conn)
		}
		pause.Sleep(ctx, delay/2+rand.N(delay/2))
	}
}

// serveConn processes messages until the connection fails or ctx ends.
func (l *link) serveConn(ctx context.Context, conn *wire.Conn) {
	var monitor conc.WaitGroup
	defer monitor.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.attach(conn)
	log := l.fleet.config.Log.With(logging.Peer(l.name))
	log.Info(logging.EventConnected)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	monitor.Go(func() { l.monitorLiveness(ctx, conn) })
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

// attach makes conn the current connection and sends Hello.
func (l *link) attach(conn *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.liveness = liveness{silentSince: time.Now()}
	_ = conn.Send(wire.Message{Hello: &wire.Hello{Process: l.fleet.config.Process, Zone: l.fleet.config.Zone}})
}

// detach clears the connection and reports Lost to the handlers of all pending
// tickets.
func (l *link) detach(conn *wire.Conn) {
	l.mu.Lock()
	if l.conn != conn {
		l.mu.Unlock()
		return
	}
	l.conn = nil
	lost := l.pending.byAttempt
	l.pending = newPendingTickets()
	for _, waiting := range l.pendingVoids {
		for _, response := range waiting {
			close(response)
		}
	}
	l.pendingVoids = make(map[string][]chan wire.VoidResult)
	l.mu.Unlock()
	for _, t := range lost {
		t.handler.Lost(l.name)
	}
}

// monitorLiveness sends pings and closes the connection when it counts as dead.
// See liveness.
func (l *link) monitorLiveness(ctx context.Context, conn *wire.Conn) {
	timer := time.NewTimer(minPingInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		seq, sendPing, dead, untilNextCheck := l.nextPing()
		if dead {
			conn.Close()
			return
		}
		if sendPing {
			_ = conn.Send(wire.Message{Ping: &wire.Ping{Seq: seq}})
		}
		timer.Reset(untilNextCheck)
	}
}

// nextPing returns whether to send a ping with seq now, whether the connection
// counts as dead, and the time until the next check.
func (l *link) nextPing() (seq uint64, sendPing, dead bool, untilNextCheck time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	level := l.currentWatchLevel()
	sendPing, dead = l.liveness.check(now, level)
	l.pingSeq++
	return l.pingSeq, sendPing, dead, l.liveness.nextCheck(now, level)
}
