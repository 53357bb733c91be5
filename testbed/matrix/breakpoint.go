package matrix

import (
	"bytes"
	"context"
	"sync"

	"github.com/applepier/applepier/testbed/faultproxy"
)

// midStreamChunks is the number of response chunks at which StepMidStream is reached.
const midStreamChunks = 10

// breakpoint detects on the wire that a request has reached a step, and holds the
// request's messages there until release.
type breakpoint struct {
	class string
	holds []*faultproxy.Hold

	mu          sync.Mutex
	recordedID  string
	connections map[int]int64 // by agent, the connection that carries the response
	chunks      int           // response chunks seen
}

// setBreakpoint sets the breakpoint for a request of a class and must be called
// before the request is sent. A step without a message of its own, such as
// StepWaiting, gets no holds; the caller detects it in another way.
func (h *harness) setBreakpoint(step Step, class string) *breakpoint {
	b := &breakpoint{class: class, connections: map[int]int64{}}
	for agent, proxy := range h.proxies {
		proxy.Observe(faultproxy.Upstream, b.recordRequestID)
		direction, match := b.matcher(step, agent)
		if match == nil {
			continue
		}
		b.holds = append(b.holds, proxy.Hold(direction, match))
	}
	return b
}

// recordRequestID takes the request's ID from its first ticket.
func (b *breakpoint) recordRequestID(e faultproxy.Event) {
	if !faultproxy.IsTicket(e) || e.Message.Ticket.Class != b.class {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recordedID == "" {
		b.recordedID = e.Message.Ticket.RequestID
	}
}

// matcher returns the direction and the condition of the message that marks a
// step; the condition is nil if no message does.
func (b *breakpoint) matcher(step Step, agent int) (faultproxy.Direction, faultproxy.Matcher) {
	switch step {
	case StepBeforeTicket:
		return faultproxy.Upstream, func(e faultproxy.Event) bool {
			return faultproxy.IsTicket(e) && e.Message.Ticket.Class == b.class
		}
	case StepGranted:
		return faultproxy.Downstream, func(e faultproxy.Event) bool {
			return faultproxy.IsGrant(e) && e.Message.Grant.RequestID == b.requestID()
		}
	case StepBodySent:
		return faultproxy.Upstream, func(e faultproxy.Event) bool {
			return e.Kind == faultproxy.EventBody && b.containsRequestID(e.Data)
		}
	case StepStarted:
		return faultproxy.Downstream, func(e faultproxy.Event) bool { return b.countChunk(agent, e) >= 1 }
	case StepMidStream:
		return faultproxy.Downstream, func(e faultproxy.Event) bool { return b.countChunk(agent, e) >= midStreamChunks }
	case StepLastFrame:
		return faultproxy.Downstream, func(e faultproxy.Event) bool { return b.isLastFrame(agent, e) }
	}
	return 0, nil
}

func (b *breakpoint) requestID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recordedID
}

func (b *breakpoint) containsRequestID(data []byte) bool {
	id := b.requestID()
	return id != "" && bytes.Contains(data, []byte(id))
}

// countChunk returns the number of response chunks seen so far, including e; it
// returns 0 if e is not a chunk of the request's response.
func (b *breakpoint) countChunk(agent int, e faultproxy.Event) int {
	if e.Kind != faultproxy.EventData || !b.containsRequestID(e.Data) {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks++
	b.connections[agent] = e.Connection
	return b.chunks
}

// isLastFrame reports whether e is the end marker on the connection that carries
// the response.
func (b *breakpoint) isLastFrame(agent int, e faultproxy.Event) bool {
	b.countChunk(agent, e)
	b.mu.Lock()
	defer b.mu.Unlock()
	connection, ok := b.connections[agent]
	return ok && e.Kind == faultproxy.EventEnd && e.Connection == connection
}

// wait waits until the step is reached at some agent and returns the agent's
// index.
func (b *breakpoint) wait(ctx context.Context) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type arrival struct {
		agent int
		err   error
	}
	arrivals := make(chan arrival, len(b.holds))
	for agent, hold := range b.holds {
		go func() {
			_, err := hold.Wait(ctx)
			arrivals <- arrival{agent, err}
		}()
	}
	first := <-arrivals
	return first.agent, first.err
}

// release forwards the held messages.
func (b *breakpoint) release() {
	for _, hold := range b.holds {
		hold.Release()
	}
}
