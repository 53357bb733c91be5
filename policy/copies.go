package policy

// Numbers of engines at which the tickets of a request are placed, by tier.
const (
	topTierCopies = 3
	defaultCopies = 2
)

// Copies returns the number of engines at which a request of a tier places a ticket.
//
// An engine's capacity is known only with delay, and often one engine has capacity while
// another has none. With a single copy, an engine that is slow or full of other requests
// would delay the ticket. Each additional copy costs a ticket and a withdrawal.
func Copies(t Tier) int {
	if t == TopTier {
		return topTierCopies
	}
	return defaultCopies
}
