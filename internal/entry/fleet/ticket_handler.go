package fleet

import (
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// TicketHandler receives the replies to an attempt's tickets. Its methods are
// called from the links' goroutines and must not block.
type TicketHandler interface {
	// Granted reports whether the attempt accepts the grant; otherwise it is
	// declined.
	Granted(agent, grant string) bool
	// Refused reports that the agent refused the ticket; the request was not
	// run. retryAfter is the agent's estimate of when a retry can succeed.
	Refused(agent string, reason wire.Reason, retryAfter time.Duration)
	// Lost reports that the connection to the agent was lost, and the ticket
	// with it.
	Lost(agent string)
}
