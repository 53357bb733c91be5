package policy

import (
	"time"
)

const (
	// minRetryAfter is the shortest hint; HTTP states it in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the hint: nobody can tell how long a burst lasts.
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
	last time.Time
}

// advance takes off what the engine could have done since the last call.
func (p *promises) advance(now time.Time, rate func(Tier) float64) {
	if !p.last.IsZero() {
		passed := now.Sub(p.last).Seconds()
		for t, work := range p.work {
			if work > 0 {
				p.work[t] = max(0, work-passed*rate(Tier(t)))
			}
		}
	}
	p.last = now
}

// next is the time to come back for work of a tier that can't be let in for
// another late; it counts the work as promised.
func (p *promises) next(t Tier, work float64, late time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return clampHint(late)
	}
	hint := late + seconds(p.work[t]/rate)
	if hint < maxRetryAfter {
		p.work[t] += work
	}
	return clampHint(hint)
}

func clampHint(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
