package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// wholeTimeout and streamTimeout are the routes' time limits.
	wholeTimeout  = 2 * time.Second
	streamTimeout = 3 * time.Second
	// applyWithin is how long a desired state may take to be in force.
	applyWithin = 3 * time.Second
	// firstIdle is the first idle limit.
	firstIdle  = time.Second
	lastingKey = "lasting"
)

// timeoutOf is the time limit of a kind of request.
func timeoutOf(kind string) time.Duration {
	if streams(kind) {
		return streamTimeout
	}
	return wholeTimeout
}

// desired is the operators' side: it makes desired states and knows what callers
// may know of them.
type desired struct {
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	version uint64
	idle    time.Duration
	routes  int
	// keys that work or worked: one lasts, and of the others the newest works.
	keys   []string
	states []State
}

func newDesired() *desired { return &desired{idle: firstIdle, keys: []string{lastingKey}} }

// change changes the next desired state and returns its document, and a function
// to be told when it was acknowledged.
func (d *desired) change(idle time.Duration, routes int, otherKey bool) (document []byte, acknowledged func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if idle > 0 {
		d.idle = idle
	}
	d.routes += routes
	state := State{Version: d.version, Idle: d.idle, Routes: d.routes}
	if otherKey {
		if len(d.keys) > 1 {
			state.Removed = []string{d.keys[len(d.keys)-1]}
		}
		d.keys = append(d.keys, fmt.Sprintf("key-%d", d.version))
	}
	d.states = append(d.states, state)
	at := len(d.states) - 1
	return d.document(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.states[at].At = time.Now()
	}
}

// document spells the desired state; d.mu is held.
func (d *desired) document() []byte {
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "type": kind,
			"timeout-ms": timeoutOf(name).Milliseconds(), "slo-ms": 500, "service": "plain", "attempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []map[string]any{
		route(kindSafe, "safe", nil), route(kindUnsafe, "unsafe", nil), route(kindStream, "stream", nil),
		route(kindResume, "stream", map[string]any{"resumable": true}), route(kindOpen, "safe", map[string]any{"public": true}),
	}
	for n := range d.routes {
		routes = append(routes, route(fmt.Sprintf("more-%d-%d", n, d.version), "safe", nil))
	}
	keys := []string{lastingKey}
	if len(d.keys) > 1 {
		keys = append(keys, d.keys[len(d.keys)-1])
	}
	document, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "services": []any{map[string]any{"name": "plain", "max-conns": 100}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "idle-timeout-ms": d.idle.Milliseconds()},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys}},
	})
	if err != nil {
		// Maps of texts and numbers always have a spelling.
		panic(err)
	}
	return document
}

// idleInForce is the shortest limit that may be in force at a gateway.
func (d *desired) idleInForce() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shortest := d.idle
	for i := len(d.states) - 1; i >= 0; i-- {
		shortest = min(shortest, d.states[i].Idle)
		if at := d.states[i].At; !at.IsZero() && time.Since(at) > applyWithin {
			break
		}
	}
	return shortest
}

// drawKey draws a key that works or was taken away a while ago.
func (d *desired) drawKey(random *rand.Rand) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if random.IntN(3) > 0 {
		return lastingKey
	}
	last := len(d.keys) - 1
	return d.keys[max(0, last-random.IntN(3))]
}

// all returns the desired states so far.
func (d *desired) all() []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]State(nil), d.states...)
}

// count counts the routes beyond the first ones.
func (d *desired) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routes
}
