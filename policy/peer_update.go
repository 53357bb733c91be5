package policy

import "time"

// Key is a 32-bit hash of the name of a server or service, or of a server instance's name and
// start time, as gateways exchange it.
type Key uint32

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(hashName(name)) }

// PeerUpdate holds the observations that a gateway sends to other gateways, so that all
// of them decide from the same observations.
type PeerUpdate struct {
	// PrefixUses are new uses of prefix segments, FirstTokens times to first token,
	// Pauses the longest pauses of streams, and EventIntervals the times between events.
	PrefixUses     []PrefixUse
	FirstTokens    []TTFTSample
	Pauses         []Pause
	EventIntervals []EventInterval
	// Unanswered has the key of the server of each request that got no response.
	Unanswered []Key
	// PauseCounts count the streams whose service and route have a target for pauses.
	PauseCounts []PauseCounts
	Suspicions  []Suspicion
	Limits      []LimitReport
}

// TTFTSample is an observed time to first token.
type TTFTSample struct {
	Service Key
	Server  Key
	Urgency int
	// TokensAhead is the number of tokens that had to be prefilled before the first
	// token, the request's own included, times the server's slowdown. Latency is the
	// time to first token.
	TokensAhead float64
	Latency     time.Duration
}
