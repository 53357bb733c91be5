package policy

// weighed is what sending to one server would come to.
type weighed struct {
	choice Choice
	// cost is in tokens, without reading: what the server lacks of the shared
	// parts, which counts only where the first token is in time.
	cost    float64
	prefillPenalty float64
	// left is how many slots the request may still take there.
	left float64
	// pauseRisk is by how much its stream is more likely late by a pause than elsewhere.
	pauseRisk float64
}

// finalScore is the choice, and its cost, once it is known whether a slot is left;
// late is what a request counts for that is late, in tokens.
func (w *weighed) finalScore(late float64) (Choice, float64) {
	choice, cost := w.choice, w.cost
	choice.InTime = choice.Room && choice.soon
	if choice.InTime {
		cost += w.prefillPenalty + late*w.pauseRisk
	}
	return choice, cost
}
