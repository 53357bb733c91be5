package targets

import "time"

// Measured is what a caller got of one whole answer.
type Measured struct {
	// FirstToken is the time from arrival to the first token or byte.
	FirstToken time.Duration
	// Took is the time from arrival to the end.
	Took time.Duration
	// Tokens is how many came; zero for a plain service.
	Tokens int
}

// Met reports whether a whole answer met every target of its class. The target
// between tokens is held against the answer's mean.
func (c Class) Met(m Measured) bool {
	if c.FirstToken > 0 && m.FirstToken > c.FirstToken {
		return false
	}
	if c.Completion > 0 && m.Took > c.Completion {
		return false
	}
	if c.BetweenTokens > 0 && m.Tokens > 1 {
		return (m.Took-m.FirstToken)/time.Duration(m.Tokens-1) <= c.BetweenTokens
	}
	return true
}
