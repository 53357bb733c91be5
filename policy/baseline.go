package policy

import (
	"math/bits"
	"time"
)

const (
	// baselineWindow is how long a minimum counts: it is replaced after one
	// to two windows. It is longer than runs wait inside an engine that
	// others fill, which would else become the engine's usual time; an
	// engine that got slower for good is judged by its new speed after it.
	baselineWindow = 5 * time.Minute
	// sizeBuckets are the powers of two of ticket size that are told apart.
	sizeBuckets = 24
)

// baseline is the least recent time to the first token by size of ticket. A
// long prompt takes long to read on an idle engine too; only what is above
// the baseline shows that runs wait inside the engine.
type baseline struct {
	current  [sizeBuckets]time.Duration
	previous [sizeBuckets]time.Duration
	since    time.Time
}

// observe takes a time to the first token and returns the baseline of its
// size, this one included.
func (b *baseline) observe(now time.Time, size int, d time.Duration) time.Duration {
	b.turn(now)
	i := sizeBucket(size)
	if b.current[i] == 0 || d < b.current[i] {
		b.current[i] = d
	}
	return b.of(size)
}

// of is the baseline of a size; zero when nothing is known.
func (b *baseline) of(size int) time.Duration {
	i := sizeBucket(size)
	if b.current[i] == 0 {
		return b.previous[i]
	}
	if b.previous[i] == 0 {
		return b.current[i]
	}
	return min(b.current[i], b.previous[i])
}

func (b *baseline) turn(now time.Time) {
	if now.Sub(b.since) < baselineWindow {
		return
	}
	b.since = now
	for i, d := range b.current {
		if d != 0 {
			b.previous[i] = d
			b.current[i] = 0
		}
	}
}

func sizeBucket(size int) int {
	return min(bits.Len(uint(max(size, 1)))-1, sizeBuckets-1)
}
