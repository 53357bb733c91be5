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
// It guards against synchronized retries: with the same Retry-After, all callers refused in a
// burst would return in the same second and be refused again. Each refusal states the time
// when the engine will have finished the work refused before it.
type retryBacklog struct {
	// work is in tokens, as of updated.
	work     [tierCount]float64
	updated  [tierCount]time.Time
	refusals [tierCount]refusalRatio
}

// retryAfter returns the Retry-After for refused work of a tier and adds the work to the
// backlog. baseDelay is the time after which a retry could succeed if no other work were
// retried, and rate is the tier's current service rate in tokens per second. A request may be
// refused by several engines; work, in tokens, is this engine's share of it.
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
