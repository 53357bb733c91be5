package targets

import "time"

// Measurement holds the latencies and the token count of one complete response.
type Measurement struct {
	// FirstToken is the time from arrival to the first token or byte.
	FirstToken time.Duration
	// Duration is the time from arrival to the end of the response.
	Duration time.Duration
	// Tokens is the number of tokens received; zero for a plain service.
	Tokens int
}

// MeetsTargets reports whether a complete response met every target of its class.
// BetweenTokens is compared with the mean time between tokens.
func (c Class) MeetsTargets(m Measurement) bool {
	if c.FirstToken > 0 && m.FirstToken > c.FirstToken {
		return false
	}
	if c.Completion > 0 && m.Duration > c.Completion {
		return false
	}
	if c.BetweenTokens > 0 && m.Tokens > 1 {
		return (m.Duration-m.FirstToken)/time.Duration(m.Tokens-1) <= c.BetweenTokens
	}
	return true
}
