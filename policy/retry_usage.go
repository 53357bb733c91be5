package policy

// RetryUsage is how a retry budget stands.
type RetryUsage struct {
	// Requests is the number of requests that count, and Retries the number of retries spent.
	Requests, Retries int
	// Allowed is the number of retries that these requests allow, those spent included.
	Allowed float64
}
