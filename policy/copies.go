package policy

// Copies at several agents, by tier.
const (
	topTierCopies   = 3
	defaultCopies = 2
)

// Copies is at how many agents a request of a tier gets a ticket.
//
// It answers engines whose room is only known late: of two engines one has
// room when the other doesn't. With one copy a straggler or an engine full of
// others' load holds its tickets. Each copy costs a ticket and a withdrawal.
func Copies(t Tier) int {
	if t == TopTier {
		return topTierCopies
	}
	return defaultCopies
}
