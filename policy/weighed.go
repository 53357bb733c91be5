package policy

// weighed is what sending to one server would come to.
type weighed struct {
	choice Choice
	// cost is in tokens, without reading: what the server lacks of the shared
	// parts, which counts only where the first token is in time.
	cost    float64
	reading float64
	// left is how many slots the request may still take there.
	left float64
}

// outcome is the choice, and its cost, once it is known whether a slot is left.
func (w *weighed) outcome() (Choice, float64) {
	choice, cost := w.choice, w.cost
	choice.InTime = choice.Room && choice.soon
	if choice.InTime {
		cost += w.reading
	}
	return choice, cost
}
