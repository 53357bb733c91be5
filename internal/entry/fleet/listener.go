package fleet

import (
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// Listener hears what becomes of an attempt's tickets. Calls come from the
// links' goroutines and must not block.
type Listener interface {
	// Granted reports whether the attempt accepts the grant; one that it
	// doesn't accept is declined.
	Granted(agent, grant string) bool
	// Refused: the agent turned the ticket away; it was not run.
	Refused(agent string, reason wire.Reason, retryAfter time.Duration)
	// Lost: the connection is gone, and the ticket with it.
	Lost(agent string)
}
