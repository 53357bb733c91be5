package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// requestTimeout and streamTimeout are the timeouts of the routes.
	requestTimeout = 2 * time.Second
	streamTimeout  = 3 * time.Second
	// applyTimeout is how long a gateway may take to apply a desired state.
	applyTimeout = 3 * time.Second
	// initialIdleTimeout is the idle timeout in the first desired state.
	initialIdleTimeout = time.Second
	// permanentKey is the key that every desired state lists.
	permanentKey = "lasting"
)

// routeTimeout returns the route timeout for a kind of request.
func routeTimeout(kind string) time.Duration {
	if isStream(kind) {
		return streamTimeout
	}
	return requestTimeout
}

// stateGenerator generates the desired states that operators would write, and
// tells callers which keys and idle timeouts may be in force.
type stateGenerator struct {
	// mu guards the fields below; no other lock is acquired while it is held.
	mu          sync.Mutex
	version     uint64
	idleTimeout time.Duration
	extraRoutes int
	// keys are all keys so far, valid or removed: the first is always valid,
	// and of the others only the newest.
	keys   []string
	states []State
}

func newStateGenerator() *stateGenerator {
	return &stateGenerator{idleTimeout: initialIdleTimeout, keys: []string{permanentKey}}
}

// next creates the next desired state and returns its document, with a function
// that the caller must call when the store has acknowledged it. An idleTimeout of 0
// keeps the previous one, a negative addRoutes removes extra routes, and replaceKey
// replaces all keys but permanentKey by a new one.
func (g *stateGenerator) next(idleTimeout time.Duration, addRoutes int, replaceKey bool) (document []byte, acknowledged func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version++
	if idleTimeout > 0 {
		g.idleTimeout = idleTimeout
	}
	g.extraRoutes += addRoutes
	state := State{Version: g.version, Idle: g.idleTimeout, Routes: g.extraRoutes}
	if replaceKey {
		if len(g.keys) > 1 {
			state.Removed = []string{g.keys[len(g.keys)-1]}
		}
		g.keys = append(g.keys, fmt.Sprintf("key-%d", g.version))
	}
	g.states = append(g.states, state)
	index := len(g.states) - 1
	return g.document(), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.states[index].At = time.Now()
	}
}

// document encodes the current desired state as JSON. The caller must hold g.mu.
func (g *stateGenerator) document() []byte {
	route := func(name, routeType string, attributes map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "type": routeType,
			"timeout-ms": routeTimeout(name).Milliseconds(), "slo-ms": 500, "service": "plain", "attempts": 2,
		}
		for k, v := range attributes {
			r[k] = v
		}
		return r
	}
	routes := []map[string]any{
		route(kindSafe, "safe", nil), route(kindUnsafe, "unsafe", nil), route(kindStream, "stream", nil),
		route(kindResume, "stream", map[string]any{"resumable": true}), route(kindOpen, "safe", map[string]any{"public": true}),
	}
	for n := range g.extraRoutes {
		routes = append(routes, route(fmt.Sprintf("more-%d-%d", n, g.version), "safe", nil))
	}
	keys := []string{permanentKey}
	if len(g.keys) > 1 {
		keys = append(keys, g.keys[len(g.keys)-1])
	}
	document, err := json.Marshal(map[string]any{
		"version": g.version, "routes": routes, "services": []any{map[string]any{"name": "plain", "max-conns": 100}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "idle-timeout-ms": g.idleTimeout.Milliseconds()},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys}},
	})
	if err != nil {
		// Maps of strings and numbers can always be encoded.
		panic(err)
	}
	return document
}

// minIdleTimeout returns the shortest idle timeout that may be in force at a gateway.
func (g *stateGenerator) minIdleTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	shortest := g.idleTimeout
	for i := len(g.states) - 1; i >= 0; i-- {
		shortest = min(shortest, g.states[i].Idle)
		if at := g.states[i].At; !at.IsZero() && time.Since(at) > applyTimeout {
			break
		}
	}
	return shortest
}

// drawKey draws a valid key or one of the most recently removed keys.
func (g *stateGenerator) drawKey(random *rand.Rand) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if random.IntN(3) > 0 {
		return permanentKey
	}
	last := len(g.keys) - 1
	return g.keys[max(0, last-random.IntN(3))]
}

// snapshot returns a copy of the desired states created so far.
func (g *stateGenerator) snapshot() []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]State(nil), g.states...)
}

// extraRouteCount returns the number of routes beyond the initial ones.
func (g *stateGenerator) extraRouteCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.extraRoutes
}
