package agent

import (
	"sync"
	"time"
)

// grantState is the state of a grant.
type grantState int

const (
	// grantIssued means that the grant was sent to the entry and not yet used.
	grantIssued grantState = iota
	// grantUsed means that the run has started and may have ended.
	grantUsed
	// grantExpired means that the grant was not used in time, was declined or
	// was voided. It can never be used.
	grantExpired
)

// grant is a single-use permission to run a request. The dispatcher's lock
// guards it.
type grant struct {
	id string
	// session is the newest one over which the grant was sent.
	session   *session
	ticketID  string
	requestID string
	attempt   int
	class     string
	tier      int
	issuedAt  time.Time
	endedAt   time.Time
	state     grantState
	// streaming is set when the first token has been received.
	streaming bool

	// preempted is closed, by preemptOnce, to preempt the run.
	preempted   chan struct{}
	preemptOnce sync.Once
}
