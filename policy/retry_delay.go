package policy

import "time"

// retryDelayShare is the share of the target after which a request refused for lack of
// capacity is told to retry. Most of the target is left for the response.
const retryDelayShare = 0.2

// RetryDelay returns the time after which a refused request with a latency target should be
// retried.
//
// It handles bursts that fill the servers briefly: a caller that retries within the target may
// still be answered in time, by a server that has prefilled its earlier work. After a longer
// delay the response is late in any case, and the request competes with new requests that can
// still be in time. Callers retry once, so spreading retries over longer times gains nothing.
func RetryDelay(target time.Duration) time.Duration {
	return time.Duration(retryDelayShare * float64(target))
}
