package policy

// Copies is at how many agents a request of a tier gets a ticket.
func Copies(t Tier) int {
	if t == TopTier {
		return 3
	}
	return 2
}
