package policy

// scoredServer is a candidate server with the cost of sending the request there.
type scoredServer struct {
	choice Choice
	// cost is in tokens of prefill. prefillPenalty is the additional cost of prefilling
	// or fetching shared segments that the server doesn't have; it counts only if the
	// first token is in time.
	cost           float64
	prefillPenalty float64
	// slotsLeft is the number of slots that the request may use there.
	slotsLeft float64
	// pauseRisk is the excess probability that the stream is late because of a pause.
	pauseRisk float64
}

// finalScore returns the choice and its cost in tokens once it is known whether a slot
// is left. latePenalty is the cost of a late request, in tokens.
func (s *scoredServer) finalScore(latePenalty float64) (Choice, float64) {
	choice, cost := s.choice, s.cost
	choice.InTime = choice.HasCapacity && choice.meetsTarget
	if choice.InTime {
		cost += s.prefillPenalty + latePenalty*s.pauseRisk
	}
	return choice, cost
}
