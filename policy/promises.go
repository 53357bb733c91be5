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
	promisedPart = 0.5
	// burstDelay is added to Retry-After when all requests are being refused, and in
	// proportion when some are. A caller that retries during the burst is admitted no more
	// often than any other, and how long the burst will last isn't known.
	burstRest = 10 * time.Second
)

// retryBacklog tracks, by tier, the work that refused callers were told to retry with.
//
// It guards against synchronized retries: with the same Retry-After, all callers that a burst
// turned away would return in the same second and be refused again. Each refusal names the
// time when the engine will have finished the work refused before it.
type promises struct {
	work    [tierCount]float64
	last    [tierCount]time.Time
	refused [tierCount]refusedShare
}

// retryAfter returns the Retry-After for refused work of a tier and adds the work to the
// backlog. late is by how much the work would have missed its deadline, and rate is the tier's
// current service rate in work per second. Each engine that refuses a request counts its own
// part, so work is only this engine's part.
func (p *promises) next(now time.Time, t Tier, work float64, late time.Duration, rate float64) time.Duration {
	late += seconds(p.refused[t].of(now) * burstRest.Seconds())
	if rate <= 0 {
		return clampHint(late)
	}
	rate *= promisedPart
	if !p.last[t].IsZero() {
		done := now.Sub(p.last[t]).Seconds() * rate
		p.work[t] = max(0, p.work[t]-done)
	}
	p.last[t] = now
	delay := late + seconds(p.work[t]/rate)
	if delay < maxRetryAfter {
		p.work[t] += work
	}
	return clampHint(delay)
}

func clampHint(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
