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
	// negligiblePrefillShare is the share of a protected level's pause target up to which the
	// mean prompt of another level counts as negligible. With maxPrefillShare, the long prompts of
	// docs/LOAD-DECISIONS.md (shares of 0.16 and 0.19) were bound and released in turn, since
	// estimates of the prefill rate vary by a fifth and are up to a third too high.
	negligiblePrefillShare = maxPrefillShare / 2
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
	return c.PauseTarget > 0 && c.PrefillTokens > 0 && c.prefillShare(c.PauseTarget, prefillRate) <= maxPrefillShare
}

// prefillShare returns the share of a pause target that the prefill of the mean prompt takes.
func (c *Class) prefillShare(pauseTarget time.Duration, prefillRate float64) float64 {
	return sanitize(c.PrefillTokens) / prefillRate / toMillis(pauseTarget)
}

// longPromptLevels marks the levels that a reservation for the given level binds: less urgent
// ones with much longer prompts. Those with a pause target of their own that they are short
// enough for are bound too, unless a prompt is negligible for the target of the given level:
// 2,890 tokens at 51 tokens/ms are within an eighth of 500 ms and still stall streams with
// a target of 300 ms.
func (l *Load) longPromptLevels(level int, prefillRate float64) (bound [policy.UrgencyLevels]bool, found bool) {
	protected := &l.Classes[level]
	shortest := longPromptRatio * sanitize(protected.PrefillTokens)
	for i := level + 1; i < policy.UrgencyLevels; i++ {
		c := &l.Classes[i]
		negligible := c.protectable(prefillRate) && c.prefillShare(protected.PauseTarget, prefillRate) <= negligiblePrefillShare
		bound[i] = !negligible && sanitize(c.PrefillTokens) > shortest
		found = found || bound[i]
	}
	return bound, found
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
