package policy

import "time"

const (
	// minRetryAfter is the shortest Retry-After; HTTP states it in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds Retry-After. Serving one minute's burst at eight times the capacity
	// takes eight minutes.
	maxRetryAfter = 15 * time.Minute
	// retryRateShare is the share of the service rate that is assigned to refused callers. The
	// rest is for new callers: an engine can't tell the two apart, so a rate assigned in full
	// would be used by some of both.
	retryRateShare = 0.5
	// burstDelay is added to Retry-After when all requests are being refused, and in
	// proportion when some are. A caller that retries during the burst is admitted no more
	// often than any other, and how long the burst will last isn't known.
	burstDelay = 10 * time.Second
)

// retryBacklog tracks, by tier, the refused work that callers are expected to retry.
//
// It guards against synchronized retries: with the same Retry-After, all callers that a burst
// turned away would return in the same second and be refused again. Each refusal names the
// time when the engine will have finished the work refused before it.
type retryBacklog struct {
	work     [tierCount]float64
	updated  [tierCount]time.Time
	refusals [tierCount]refusalRatio
}

// retryAfter returns the Retry-After for refused work of a tier and adds the work to the
// backlog. late is by how much the work would have missed its deadline, and rate is the tier's
// current service rate in work per second. Each engine that refuses a request counts its own
// part, so work is only this engine's part.
func (b *retryBacklog) retryAfter(now time.Time, t Tier, work float64, baseDelay time.Duration, rate float64) time.Duration {
	baseDelay += secondsToDuration(b.refusals[t].at(now) * burstDelay.Seconds())
	if rate <= 0 {
		return clampRetryAfter(baseDelay)
	}
	rate *= retryRateShare
	if !b.updated[t].IsZero() {
		done := now.Sub(b.updated[t]).Seconds() * rate
		b.work[t] = max(0, b.work[t]-done)
	}
	b.updated[t] = now
	delay := baseDelay + secondsToDuration(b.work[t]/rate)
	if delay < maxRetryAfter {
		b.work[t] += work
	}
	return clampRetryAfter(delay)
}

// clampRetryAfter limits d to the range from minRetryAfter to maxRetryAfter.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
