package isolation

import "github.com/applepier/applepier/policy"

// Plan is a decision. Plans share their slices, so callers must not modify them.
type Plan struct {
	// Protected marks the levels whose requests go to reserved servers first, and Bound those
	// whose requests must respect Budget. Bound levels have long prompts and are less urgent
	// than a protected level.
	Protected [policy.UrgencyLevels]bool
	Bound     [policy.UrgencyLevels]bool
	// MaxWaitingTokens bounds the tokens that may wait for prefill at any server when a request of a
	// bound level is sent there, in tokens of the average server; 0 means no bound. A longer
	// stretch of prefill would exceed the pause target of the level itself.
	MaxWaitingTokens [policy.UrgencyLevels]float64
	// Reserved marks the reserved servers, and Budget is the number of tokens that may wait for
	// prefill at a server, both by index of Load.Servers. Budget is +Inf where there is no
	// bound. Servers that were reserved recently still have a budget.
	Reserved []bool
	Budget   []float64

	// Count is the number of reserved servers, and Held that of servers that were reserved
	// recently and still have a budget.
	Count int
	Held  int
	// NeededForSlots and NeededForPrefill are the numbers of servers that the running streams
	// and the prompts of protected levels need. Count is less than the larger one if that
	// would be over maxReservedShare of the service.
	NeededForSlots   int
	NeededForPrefill int
	// RunningStreams is the expected number of running streams of protected levels, and
	// PrefillTokensPerSecond the rate of their tokens, as the numbers above are computed from
	// them.
	RunningStreams         float64
	PrefillTokensPerSecond float64
	// LateShare is the share of recent streams that had a pause over their target, and
	// RecentStreams the number of recent streams, with exponential decay, of all levels with a
	// pause target and short prompts.
	LateShare     float64
	RecentStreams float64
}
