package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/stream"
	"github.com/Shopify/toxiproxy/toxics"
)

// tapType is the name under which the tap is registered with toxiproxy.
const tapType = "applepier_tap"

// tap is a custom toxic on every connection in one direction. It blackholes the
// connections that exist at some moment while later ones work, which toxiproxy's
// built-in toxics can't do, and holds data that a test waits for. toxiproxy
// creates it by reflection; addTap initializes it.
type tap struct {
	direction Direction

	mu              sync.Mutex
	blackholeCount  int
	connectionCount int64
	closed          chan struct{} // closed to close all existing connections
	holds           []*Hold
	minDelay        time.Duration
	maxDelay        time.Duration
}

// connState is a tap's state for one connection.
type connState struct {
	// blackholesBefore is the tap's blackholeCount when the connection
	// opened. The connection is blackholed once the count is higher.
	blackholesBefore int
	closed           <-chan struct{}
	parser           eventParser
	// delayFraction is the position of the connection's delay between minDelay (0) and maxDelay (1).
	delayFraction float64
}

// bufferedChunks is the number of chunks buffered before a tap, as on a slow link.
const bufferedChunks = 1024

// GetBufferSize returns the input buffer's size in chunks; toxiproxy calls it.
func (t *tap) GetBufferSize() int { return bufferedChunks }

// NewState returns the state of a new connection; toxiproxy calls it.
func (t *tap) NewState() interface{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connectionCount++
	return &connState{blackholesBefore: t.blackholeCount, closed: t.closed, delayFraction: rand.Float64(), parser: eventParser{direction: t.direction, connection: t.connectionCount}}
}

// Pipe forwards the data of one connection; toxiproxy calls it.
func (t *tap) Pipe(stub *toxics.ToxicStub) {
	state, ok := stub.State.(*connState)
	if !ok {
		state = &connState{}
	}
	for {
		select {
		case <-stub.Interrupt:
			return
		case <-state.closed:
			stub.Close()
			return
		case chunk := <-stub.Input:
			if !t.forward(stub, state, chunk) {
				return
			}
		}
	}
}

// forward handles one chunk, nil at the end of the input, and reports whether the
// connection stays open.
func (t *tap) forward(stub *toxics.ToxicStub, state *connState, chunk *stream.StreamChunk) bool {
	if chunk != nil {
		for _, event := range state.parser.parse(chunk.Data) {
			t.dispatch(event)
		}
	}
	if t.blackholed(state) {
		if chunk == nil {
			<-state.closed
			stub.Close()
			return false
		}
		return true
	}
	if chunk == nil {
		stub.Close()
		return false
	}
	if !t.delayChunk(state, chunk) {
		stub.Close()
		return false
	}
	select {
	case stub.Output <- chunk:
		return true
	case <-state.closed:
		stub.Close()
		return false
	}
}

// delayChunk waits until the chunk's delay, counted from its arrival, has passed. It
// reports whether the connection stays open.
func (t *tap) delayChunk(state *connState, chunk *stream.StreamChunk) bool {
	t.mu.Lock()
	jitter := time.Duration(state.delayFraction * float64(t.maxDelay-t.minDelay))
	remaining := t.minDelay + jitter - time.Since(chunk.Timestamp)
	t.mu.Unlock()
	if remaining <= 0 {
		return true
	}
	select {
	case <-time.After(remaining):
		return true
	case <-state.closed:
		return false
	}
}

func (t *tap) delay(minDelay, maxDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.minDelay, t.maxDelay = minDelay, maxDelay
}

// blackhole makes all existing connections discard their data.
func (t *tap) blackhole() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blackholeCount++
}

func (t *tap) blackholed(state *connState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return state.blackholesBefore < t.blackholeCount
}

// closeAll closes all existing connections. Blackholed ones need this, since they
// don't react when their sockets are closed.
func (t *tap) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.closed)
	t.closed = make(chan struct{})
}

// close releases all holds and closes all connections.
func (t *tap) close() {
	t.mu.Lock()
	holds := t.holds
	t.holds = nil
	t.mu.Unlock()
	for _, h := range holds {
		h.Release()
	}
	t.closeAll()
}

func (t *tap) hold(match Matcher) *Hold {
	h := newHold(match)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds = append(t.holds, h)
	return h
}

// dispatch blocks on the first hold that matches the event, until its release.
func (t *tap) dispatch(event Event) {
	t.mu.Lock()
	var matched *Hold
	for i, h := range t.holds {
		if h.match(event) {
			matched = h
			t.holds = append(t.holds[:i], t.holds[i+1:]...)
			break
		}
	}
	t.mu.Unlock()
	if matched != nil {
		matched.block(event)
	}
}
