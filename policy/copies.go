package policy

// Copies at several agents, by tier.
const (
	topCopies   = 3
	otherCopies = 2
)

// Copies is at how many agents a request of a tier gets a ticket.
//
// It answers engines whose room is only known late: of two engines one has
// room when the other doesn't. With one copy a straggler or an engine full of
// others' load holds its tickets; in the trials (docs/decisions-policy.md) two
// brought questions on unequal engines from 0.976 on time to 0.998, and a
// third brought nothing more. For top-tier requests in a burst on full engines one,
// two and three copies gave 0.908, 0.977 and 0.997, and a fourth no more. Each
// copy costs a ticket and a withdrawal.
func Copies(t Tier) int {
	if t == TopTier {
		return topCopies
	}
	return otherCopies
}
