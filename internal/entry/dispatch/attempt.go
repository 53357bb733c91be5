package dispatch

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// offer is a grant that an attempt has accepted.
type offer struct {
	agent string
	grant string
}

// refusal is an agent's no.
type refusal struct {
	agent      string
	reason     wire.Reason
	retryAfter time.Duration
	lost       bool
}

// attempt collects what becomes of one attempt's tickets. It accepts one
// grant; later ones are declined. Its lock is a leaf.
type attempt struct {
	mu       sync.Mutex
	taken    bool
	closed   bool
	offers   chan offer
	refusals chan refusal
}

// maxPlaced bounds the agents one attempt asks; each answers once.
const maxPlaced = 64

func newAttempt() *attempt {
	return &attempt{offers: make(chan offer, 1), refusals: make(chan refusal, maxPlaced)}
}

// Granted accepts the first grant while the attempt is open.
func (a *attempt) Granted(agent, grant string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.taken || a.closed {
		return false
	}
	a.taken = true
	a.offers <- offer{agent: agent, grant: grant}
	return true
}

// Refused notes an agent's refusal.
func (a *attempt) Refused(agent string, reason wire.Reason, retryAfter time.Duration) {
	a.refusals <- refusal{agent: agent, reason: reason, retryAfter: retryAfter}
}

// Lost notes that an agent's connection is gone.
func (a *attempt) Lost(agent string) {
	a.refusals <- refusal{agent: agent, lost: true}
}

// close ends the attempt: false when a grant was accepted before.
func (a *attempt) close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return !a.taken
}
