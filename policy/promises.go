package policy

import "time"

const (
	// minRetryAfter is the shortest hint; HTTP states it in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the hint. A minute's burst at eight times capacity
	// takes eight minutes to serve; with a bound of two minutes only a
	// quarter of those that it turned away succeeded on coming back.
	maxRetryAfter = 15 * time.Minute
)

// promises is the work that refused callers were told to come back with, by
// tier.
//
// It answers the crowd that a burst turns away: with one and the same hint
// all of them would be back in the same second and be refused again. Each
// refusal is given the time when the engine will be through with those that
// were refused before it.
type promises struct {
	work [tierCount]float64
	last [tierCount]time.Time
}

// next is the time to come back for work of a tier that can't be let in for
// being late by some time, at the rate that the tier is served now; it counts
// the work as promised.
func (p *promises) next(now time.Time, t Tier, work float64, late time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return clampHint(late)
	}
	if !p.last[t].IsZero() {
		done := now.Sub(p.last[t]).Seconds() * rate
		p.work[t] = max(0, p.work[t]-done)
	}
	p.last[t] = now
	hint := late + seconds(p.work[t]/rate)
	if hint < maxRetryAfter {
		p.work[t] += work
	}
	return clampHint(hint)
}

func clampHint(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
