package policy

import (
	"math/bits"
	"time"
)

const (
	// baselineWindow is how long a minimum is valid: it is replaced after one to
	// two windows. The window is longer than the time for which other load makes
	// runs wait inside the engine, because their wait would otherwise become the
	// baseline. An engine that becomes permanently slower is judged by its new
	// speed once the old minimum has been replaced.
	baselineWindow = 5 * time.Minute
	// sizeBuckets is the number of ticket size buckets, one per power of two.
	sizeBuckets = 24
)

// baseline tracks the recent minimum of the time to the first token, by ticket
// size. Long prompts take long on an idle engine too; only the time above the
// baseline shows that runs wait inside the engine.
type baseline struct {
	// current and previous are the minimums of the current and the previous
	// window; zero means no sample.
	current     [sizeBuckets]time.Duration
	previous    [sizeBuckets]time.Duration
	windowStart time.Time
}

// observe adds a time to the first token and returns the baseline of its size,
// including this sample.
func (b *baseline) observe(now time.Time, size int, d time.Duration) time.Duration {
	b.rotate(now)
	i := sizeBucket(size)
	if b.current[i] == 0 || d < b.current[i] {
		b.current[i] = d
	}
	return b.forSize(size)
}

// forSize returns the baseline of a ticket size; zero if there is no sample.
func (b *baseline) forSize(size int) time.Duration {
	i := sizeBucket(size)
	if b.current[i] == 0 {
		return b.previous[i]
	}
	if b.previous[i] == 0 {
		return b.current[i]
	}
	return min(b.current[i], b.previous[i])
}

// rotate starts a new window when the current one has ended. A bucket without a
// new sample keeps its previous minimum.
func (b *baseline) rotate(now time.Time) {
	if now.Sub(b.windowStart) < baselineWindow {
		return
	}
	b.windowStart = now
	for i, d := range b.current {
		if d != 0 {
			b.previous[i] = d
			b.current[i] = 0
		}
	}
}

// sizeBucket returns the bucket of a ticket size.
func sizeBucket(size int) int {
	return min(bits.Len(uint(max(size, 1)))-1, sizeBuckets-1)
}
