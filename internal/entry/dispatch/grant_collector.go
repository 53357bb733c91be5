package dispatch

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// acceptedGrant is the grant that an attempt accepted.
type acceptedGrant struct {
	agent string
	id    string
}

// refusal is an agent's refusal of a ticket, or the loss of the connection to
// the agent.
type refusal struct {
	agent          string
	reason         wire.Reason
	retryAfter     time.Duration
	connectionLost bool
}

// grantCollector implements TicketHandler for one attempt. It accepts the first
// grant and declines all later ones. Its lock is a leaf: no other lock is
// acquired under it.
type grantCollector struct {
	mu       sync.Mutex
	accepted bool
	closed   bool
	granted  chan acceptedGrant
	refusals chan refusal
}

// refusalQueueSize is the capacity of the refusal channel. Each ticket is
// refused at most once, and an attempt has at most refusalQueueSize/2 tickets
// pending, so queueing a refusal never blocks.
const refusalQueueSize = 64

func newGrantCollector() *grantCollector {
	return &grantCollector{granted: make(chan acceptedGrant, 1), refusals: make(chan refusal, refusalQueueSize)}
}

// Granted accepts the first grant while the collector is open and reports
// whether it was accepted.
func (c *grantCollector) Granted(agent, grant string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted || c.closed {
		return false
	}
	c.accepted = true
	c.granted <- acceptedGrant{agent: agent, id: grant}
	return true
}

// Refused queues an agent's refusal.
func (c *grantCollector) Refused(agent string, reason wire.Reason, retryAfter time.Duration) {
	c.refusals <- refusal{agent: agent, reason: reason, retryAfter: retryAfter}
}

// Lost queues the loss of the connection to an agent.
func (c *grantCollector) Lost(agent string) {
	c.refusals <- refusal{agent: agent, connectionLost: true}
}

// close stops the collector from accepting grants. It returns false if a grant
// was already accepted.
func (c *grantCollector) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return !c.accepted
}
