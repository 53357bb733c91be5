package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/stream"
	"github.com/Shopify/toxiproxy/toxics"
)

// tapType is the tap's name among toxiproxy's toxics.
const tapType = "applepier_tap"

// tap is a toxic of our own, on every connection in one direction. It makes
// the connections that exist at some moment go silent while later ones work,
// which toxiproxy's own toxics can't, and holds data that a test waits for.
// toxiproxy makes it by reflection; addTap fills it in.
type tap struct {
	direction Direction

	mu         sync.Mutex
	generation int
	links      int64
	released   chan struct{} // closed to end all connections of now
	holds      []*Hold
	least      time.Duration
	most       time.Duration
}

// link is a tap's state on one connection.
type link struct {
	born     int
	released <-chan struct{}
	reader   reader
	// share is where the link's delay lies between the least and the most.
	share float64
}

// bufferedChunks is how many chunks wait before a tap, as on a slow line.
const bufferedChunks = 1024

// GetBufferSize is called by toxiproxy.
func (t *tap) GetBufferSize() int { return bufferedChunks }

// NewState is called by toxiproxy for each connection.
func (t *tap) NewState() interface{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links++
	return &link{born: t.generation, released: t.released, share: rand.Float64(), reader: reader{direction: t.direction, link: t.links}}
}

// Pipe is called by toxiproxy and passes on one connection's data.
func (t *tap) Pipe(stub *toxics.ToxicStub) {
	state, ok := stub.State.(*link)
	if !ok {
		state = &link{}
	}
	for {
		select {
		case <-stub.Interrupt:
			return
		case <-state.released:
			stub.Close()
			return
		case chunk := <-stub.Input:
			if !t.pass(stub, state, chunk) {
				return
			}
		}
	}
}

// pass handles one chunk and reports whether the connection goes on.
func (t *tap) pass(stub *toxics.ToxicStub, state *link, chunk *stream.StreamChunk) bool {
	if chunk != nil {
		for _, sight := range state.reader.read(chunk.Data) {
			t.meet(sight)
		}
	}
	if t.silent(state) {
		if chunk == nil {
			<-state.released
			stub.Close()
			return false
		}
		return true
	}
	if chunk == nil {
		stub.Close()
		return false
	}
	if !t.linger(state, chunk) {
		stub.Close()
		return false
	}
	select {
	case stub.Output <- chunk:
		return true
	case <-state.released:
		stub.Close()
		return false
	}
}

// linger delays a chunk, counted from when it came, and reports whether the
// connection goes on.
func (t *tap) linger(state *link, chunk *stream.StreamChunk) bool {
	t.mu.Lock()
	span := time.Duration(state.share * float64(t.most-t.least))
	rest := t.least + span - time.Since(chunk.Timestamp)
	t.mu.Unlock()
	if rest <= 0 {
		return true
	}
	select {
	case <-time.After(rest):
		return true
	case <-state.released:
		return false
	}
}

func (t *tap) delay(least, most time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.least, t.most = least, most
}

// silence makes all connections that exist now silent.
func (t *tap) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.generation++
}

func (t *tap) silent(state *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return state.born < t.generation
}

// endAll ends all connections of now, the silent ones included, which don't
// notice that their sockets are closed.
func (t *tap) endAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.released)
	t.released = make(chan struct{})
}

// close lets go of everything.
func (t *tap) close() {
	t.mu.Lock()
	holds := t.holds
	t.holds = nil
	t.mu.Unlock()
	for _, h := range holds {
		h.Release()
	}
	t.endAll()
}

func (t *tap) hold(match Match) *Hold {
	h := newHold(match)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds = append(t.holds, h)
	return h
}

// meet stops at the first hold that waits for the sight.
func (t *tap) meet(sight Sight) {
	t.mu.Lock()
	var met *Hold
	for i, h := range t.holds {
		if h.match(sight) {
			met = h
			t.holds = append(t.holds[:i], t.holds[i+1:]...)
			break
		}
	}
	t.mu.Unlock()
	if met != nil {
		met.arrive(sight)
	}
}
