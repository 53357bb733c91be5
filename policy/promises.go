package policy

import "time"

const (
	// minRetryAfter is the shortest hint; HTTP states it in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the hint. A minute's burst at eight times capacity
	// takes eight minutes to serve.
	maxRetryAfter = 15 * time.Minute
	// promisedPart is the part of the rate that is promised to those who were
	// refused. The rest is for those who come for the first time meanwhile: an
	// engine can't tell the two apart, so that what is promised in full is
	// kept for some of both.
	promisedPart = 0.5
	// burstRest is what a hint adds when all are refused now. Who comes back
	// while the burst goes on gets in no more often than all others, and how
	// long it will last nobody knows.
	burstRest = 10 * time.Second
)

// promises is the work that refused callers were told to come back with, by
// tier.
//
// It answers the crowd that a burst turns away: with one and the same hint
// all of them would be back in the same second and be refused again. Each
// refusal is given the time when the engine will be through with those that
// were refused before it.
type promises struct {
	work    [tierCount]float64
	last    [tierCount]time.Time
	refused [tierCount]refusedShare
}

// next is the time to come back for work of a tier that can't be let in for
// being late by some time, at the rate that the tier is served now; it counts
// the work as promised. The work is this engine's part of it: each engine that
// refuses a request counts its own.
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
	hint := late + seconds(p.work[t]/rate)
	if hint < maxRetryAfter {
		p.work[t] += work
	}
	return clampHint(hint)
}

func clampHint(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
