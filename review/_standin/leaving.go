package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// drainFor is how long a leaving engine goes on serving: drain-ms (3,000) and a little longer. After
	// that it takes no new connections, ends the streams that it has, and exits.
	drainFor = 3300 * time.Millisecond
	// leaveAt is when the engine begins to leave, from the first stream on.
	leaveAt = 300 * time.Millisecond
)

// leavingEngine: an engine leaves as planned, while it sends streams that end with their connection.
func leavingEngine(r *run) (bool, error) {
	if err := r.putState(frozenState); err != nil {
		return false, err
	}
	var engines []*engine
	for i := range 7 {
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		e, err := r.startEngine(fmt.Sprintf("i-%d", i+1), addr, "assistant-llm", "ikeja", modeLong)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	var g *gateway
	for i := range 3 {
		var err error
		if g, err = r.startGateway(fmt.Sprintf("edge-ikeja-%d", i+1), "ikeja", 144); err != nil {
			return false, err
		}
	}
	// Machines are in touch after contact-ms (4,000) without a disturbance.
	time.Sleep(4500 * time.Millisecond)
	conns := make([]*consumerConn, 8)
	for i := range conns {
		var err error
		if conns[i], err = dialConsumer(g.front); err != nil {
			return false, err
		}
		// An earlier request, so that the connection is a kept one.
		if status, err := conns[i].getUnknownRoute(fmt.Sprintf("%016x", 0x1000+i)); err != nil || status != http.StatusNotFound {
			return false, fmt.Errorf("first request: status %d, %v", status, err)
		}
	}
	results := make([]streamResult, len(conns))
	var wg sync.WaitGroup
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = r.stream(conns[i], fmt.Sprintf("%016x", uint64(0x9c41d07be2a35f00)+uint64(i)))
		}()
	}
	if r.trouble {
		time.Sleep(leaveAt)
		leaving := busiest(engines)
		leaving.leave()
		time.Sleep(drainFor)
		r.note("engine %s takes no new connections and exits after its streams", leaving.id)
		if err := leaving.proc.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	wg.Wait()
	return judgeLost(r, results), nil
}

// judgeLost reports whether more than three requests have no complete answer, though their consumers
// waited for it.
func judgeLost(r *run, results []streamResult) bool {
	lost := 0
	for _, s := range results {
		r.note("consumer: %s status %d, signed %v, %d of %d events, complete in the protocol %v, abandoned %v, error %v", s.id, s.status, s.signed, s.events, streamEvents, s.complete, s.abandoned, s.err)
		if !s.complete && !s.abandoned {
			lost++
		}
	}
	r.note("LOST: %d requests of kept connections were passed on to a sound engine and have no complete answer; more than three break the rule", lost)
	return lost > 3
}
