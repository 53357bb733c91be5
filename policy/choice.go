package policy

import "time"

// Choice is the outcome of choosing a server.
type Choice struct {
	// At is the server's place; it means something only if Found.
	At    int
	Found bool
	// Prefill is how many tokens of the prompt the server is expected to compute, and
	// Ahead what it computes before the first token, this request's included. What it
	// fetches counts for what it could compute meanwhile.
	Prefill int
	Ahead   float64
	// From is the place of the server from which it is to fetch what that has
	// read of the shared parts; it means something only if Fetches.
	From    int
	Fetches bool
	// Expected is when the first token is expected.
	Expected time.Duration
	// Room says that the server takes one more request at all.
	Room bool
	// InTime says that the first token is likely within the target, and that
	// the server has a slot.
	InTime bool
	// Limited says that there is no server but such whose limits leave nothing, and FreeIn
	// after what time the first one may.
	Limited bool
	FreeIn  time.Duration
	// OnlySlots says that no server is in time, though some would be if it had
	// a slot.
	OnlySlots bool
	// soon says that the first token is likely within the target, slot or not.
	soon bool
}
