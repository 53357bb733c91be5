package policy

import "time"

// Key is the name of a server or a service as senders tell it to each other.
type Key uint32

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(hashName(name)) }

// News is what a sender tells others so that all decide by what all have seen.
type News struct {
	Uses   []Use
	Firsts []FirstToken
	Pauses []Pause
	// Unanswered are the servers of requests that got no answer, one for each.
	Unanswered []Key
	Suspicions []Suspicion
	Limits     []ServerLimit
}

// FirstToken is how long a server of a service took to a first token with so
// many tokens to be read before it.
type FirstToken struct {
	Service Key
	Server  Key
	Urgency int
	Ahead   float64
	Took    time.Duration
}
