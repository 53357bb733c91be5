package policy

// Spot is a backend server as a sender sees it that sends straight to it. The
// counts are of all senders as far as this one knows: its own are exact, those
// of others a moment old.
type Spot struct {
	// Name identifies the server's start; Zone is its availability zone.
	Name string
	Zone string
	// Slots is how many requests it runs at once; 0 when that isn't known.
	Slots int
	// Running counts requests that have begun to answer, Pending those that
	// haven't, and PendingTokens is the length of their prompts.
	Running       int
	Pending       int
	PendingTokens int
	// Leaving servers take no new work.
	Leaving bool
	// Warming servers have just started and are slow for a while.
	Warming bool
}

// Errand is what is to be sent to a spot.
type Errand struct {
	// Zone is the sender's availability zone.
	Zone string
	// Tokens is the length of the prompt; 0 for a plain service.
	Tokens int
	// Prefix identifies the longest part of the prompt that other requests
	// share; 0 for none. PrefixTokens is the length up to its end.
	Prefix       uint64
	PrefixTokens int
	// Tried names the spots that aren't to be used again.
	Tried []string
}

func (e *Errand) tried(name string) bool {
	for _, t := range e.Tried {
		if t == name {
			return true
		}
	}
	return false
}
