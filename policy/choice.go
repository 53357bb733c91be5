package policy

import "time"

// Choice is the result of choosing a backend server for a request.
type Choice struct {
	// Index is the chosen server's index; valid only if Found.
	Index int
	Found bool
	// PrefillTokens is the number of the prompt's tokens that the server is expected to
	// prefill, and QueuedTokens the number of tokens of other requests that it prefills
	// first. A transfer from another server counts as the tokens that could be prefilled
	// during it.
	PrefillTokens int
	QueuedTokens  float64
	// Slowdown is the server's slowdown, and TokensAhead the sum of PrefillTokens and
	// QueuedTokens times Slowdown: the number of tokens that the average server prefills
	// in the time until the request's first token.
	Slowdown    float64
	TokensAhead float64
	// FetchFrom is the index of the server from which cached prefix segments are to be
	// fetched; valid only if Fetches.
	FetchFrom int
	Fetches   bool
	// ExpectedTTFT is the expected time to first token.
	ExpectedTTFT time.Duration
	// HasCapacity reports whether the server has a slot and a connection for another
	// request.
	HasCapacity bool
	// InTime reports whether the first token is likely within the target and the server
	// has capacity.
	InTime bool
	// RateLimited reports that only servers without remaining allowance are available,
	// and AvailableIn is the time until the first server is available again.
	RateLimited bool
	AvailableIn time.Duration
	// BackedOff reports that the first server to become available again is one that is backed off, and
	// that no other takes requests; AvailableIn is then the time until its backoff ends.
	BackedOff bool
	// SlotLimited reports that no server is in time, but some would be if they had a
	// free slot.
	SlotLimited bool
	// meetsTarget reports whether the first token is likely within the target,
	// regardless of capacity.
	meetsTarget bool
}
