package matrix

import (
	"bytes"
	"context"
	"sync"

	"github.com/applepier/applepier/testbed/faultproxy"
)

// midStream is how many pieces of an answer have passed in the middle.
const midStream = 10

// reach waits until a request has reached a step, as seen on the wire, and
// holds it there until release.
type reach struct {
	class string
	holds []*faultproxy.Hold

	mu      sync.Mutex
	request string
	link    map[int]int64 // by agent, the connection of the answer
	pieces  int
}

// arrange prepares the stop before the request of a class is sent. Steps that
// no message marks have no holds and are waited for in other ways.
func (r *rig) arrange(step Step, class string) *reach {
	reach := &reach{class: class, link: map[int]int64{}}
	for agent, proxy := range r.proxies {
		proxy.Observe(faultproxy.Upstream, reach.learn)
		direction, match := reach.match(step, agent)
		if match == nil {
			continue
		}
		reach.holds = append(reach.holds, proxy.Hold(direction, match))
	}
	return reach
}

// learn takes the request's id from its first ticket.
func (h *reach) learn(s faultproxy.Sight) {
	if !faultproxy.Ticket(s) || s.Message.Ticket.Class != h.class {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.request == "" {
		h.request = s.Message.Ticket.Request
	}
}

func (h *reach) match(step Step, agent int) (faultproxy.Direction, faultproxy.Match) {
	switch step {
	case StepBeforeTicket:
		return faultproxy.Upstream, func(s faultproxy.Sight) bool {
			return faultproxy.Ticket(s) && s.Message.Ticket.Class == h.class
		}
	case StepGranted:
		return faultproxy.Downstream, func(s faultproxy.Sight) bool {
			return faultproxy.Grant(s) && s.Message.Grant.Request == h.id()
		}
	case StepBodySent:
		return faultproxy.Upstream, func(s faultproxy.Sight) bool {
			return s.Kind == faultproxy.SightBody && h.mentions(s.Data)
		}
	case StepStarted:
		return faultproxy.Downstream, func(s faultproxy.Sight) bool { return h.piece(agent, s) >= 1 }
	case StepMidStream:
		return faultproxy.Downstream, func(s faultproxy.Sight) bool { return h.piece(agent, s) >= midStream }
	case StepLastFrame:
		return faultproxy.Downstream, func(s faultproxy.Sight) bool { return h.last(agent, s) }
	}
	return 0, nil
}

func (h *reach) id() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.request
}

func (h *reach) mentions(data []byte) bool {
	id := h.id()
	return id != "" && bytes.Contains(data, []byte(id))
}

// piece counts the pieces of the request's answer; 0 for any other sight.
func (h *reach) piece(agent int, s faultproxy.Sight) int {
	if s.Kind != faultproxy.SightData || !h.mentions(s.Data) {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pieces++
	h.link[agent] = s.Link
	return h.pieces
}

// last matches the end mark on the connection that carries the answer.
func (h *reach) last(agent int, s faultproxy.Sight) bool {
	h.piece(agent, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	link, ok := h.link[agent]
	return ok && s.Kind == faultproxy.SightEnd && s.Link == link
}

// wait waits for the first agent's connection at which the step is reached
// and returns the agent's number.
func (h *reach) wait(ctx context.Context) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type arrival struct {
		agent int
		err   error
	}
	arrivals := make(chan arrival, len(h.holds))
	for agent, hold := range h.holds {
		go func() {
			_, err := hold.Wait(ctx)
			arrivals <- arrival{agent, err}
		}()
	}
	first := <-arrivals
	return first.agent, first.err
}

// release lets the held messages pass.
func (h *reach) release() {
	for _, hold := range h.holds {
		hold.Release()
	}
}
