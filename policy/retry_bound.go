package policy

import "time"

// RetryBound bounds the retries of one service over all gateways: those in any window are at most Ratio
// times its requests, in that window or in the one before it, whichever has more, plus Extra.
type RetryBound struct {
	// Ratio is the number of retries for each request, Extra the number regardless of requests.
	Ratio, Extra float64
	Window       time.Duration
}
