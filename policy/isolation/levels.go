package isolation

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

const (
	// maxPrefillShare is the largest share of its pause target that the mean prompt of a
	// protected level takes at the average server.
	maxPrefillShare = 1.0 / 8
	// longPromptRatio is the least ratio of a long-prompt level's mean prompt to that of the
	// protected level.
	longPromptRatio = 2.0
	// defaultPrefillRate is assumed while the rate is unknown, in tokens per millisecond.
	defaultPrefillRate = 40.0
)

// prefillRate returns the prefill rate of the average server in tokens per millisecond.
func (l *Load) prefillRate() float64 {
	if rate := sanitize(l.PrefillRate); rate > 0 {
		return rate
	}
	return defaultPrefillRate
}

// maxValue bounds rates and numbers of tokens, so that their products are finite.
const maxValue = 1e12

// sanitize returns 0 for values that are unknown: NaN, infinities and negative numbers. It bounds
// others by maxValue.
func sanitize(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0
	}
	return min(value, maxValue)
}

// protectable reports whether a class has a pause target and prompts that are short compared
// with it. Classes without a known prompt length aren't protectable.
func (c *Class) protectable(prefillRate float64) bool {
	tokens := sanitize(c.PrefillTokens)
	return c.PauseTarget > 0 && tokens > 0 && tokens/prefillRate <= maxPrefillShare*toMillis(c.PauseTarget)
}

// longPromptLevels marks the levels that a reservation for the given level binds: less urgent
// ones with much longer prompts that aren't protectable themselves.
func (l *Load) longPromptLevels(level int, prefillRate float64) (bound [policy.UrgencyLevels]bool, found bool) {
	shortest := longPromptRatio * sanitize(l.Classes[level].PrefillTokens)
	for i := level + 1; i < policy.UrgencyLevels; i++ {
		c := &l.Classes[i]
		bound[i] = !c.protectable(prefillRate) && sanitize(c.PrefillTokens) > shortest
		found = found || bound[i]
	}
	return bound, found
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
