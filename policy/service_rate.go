package policy

import (
	"math/bits"
	"time"
)

const (
	// rateMemory is what remains of the older runs with each new one: the
	// rate reflects about the last 16 runs. Fewer follow the luck of single
	// answers; more are slow to see an engine that became a straggler.
	rateMemory = 15.0 / 16
	// rateBuckets are the powers of two of concurrency that are told apart.
	rateBuckets = 10
	// stallFactor is how many mean gaps without a completion count as a sign
	// that the engine got slower. With irregular answers a gap of four means
	// happens by luck two times in a hundred.
	stallFactor = 4
)

// serviceRate is the true rate of an engine: work done per second of a busy
// slot, not per second of the clock, told apart by how many runs shared the
// engine.
//
// It answers load that comes and goes. The rate seen over time is low on a
// quiet engine merely since little was asked of it; an estimate from it
// refuses the start of a burst. And a batching engine does more in total but
// less for each run as runs are added, so that a rate measured at one run
// says little of eight; the table by concurrency corrects this. The idea is
// the true processing rate of Zhang et al., AuTraScale+ (IEEE TPDS 2024).
// Work is in the tickets' own estimate of size, so that an estimate that is
// off by a factor cancels out.
type serviceRate struct {
	work     [rateBuckets]float64
	seconds  [rateBuckets]float64
	lastDone time.Time
	// meanSize is the mean size of a whole run.
	meanSize float64
}

// observe takes a whole run of a size that held a slot for d, with
// concurrency runs on the engine on average.
func (r *serviceRate) observe(now time.Time, size int, d time.Duration, concurrency float64) {
	r.lastDone = now
	if d <= 0 {
		return
	}
	b := rateBucket(concurrency)
	r.work[b] = r.work[b]*rateMemory + float64(size)
	r.seconds[b] = r.seconds[b]*rateMemory + d.Seconds()
	if r.meanSize == 0 {
		r.meanSize = float64(size)
	}
	r.meanSize += (1 - rateMemory) * (float64(size) - r.meanSize)
}

// known reports whether the engine was ever seen busy.
func (r *serviceRate) known() bool {
	return r.meanSize > 0
}

// runTime is how long a run of a size takes beside slots runs.
func (r *serviceRate) runTime(size, slots int) time.Duration {
	rate := r.at(slots)
	if rate <= 0 {
		return 0
	}
	return seconds(float64(size) * float64(slots) / rate)
}

// at is the work per second that the engine does with slots runs at once. When
// that many were never seen, the nearest smaller number stands in: it is too
// hopeful until the first runs of the burst end, and expiry makes good what
// was let in too many.
func (r *serviceRate) at(slots int) float64 {
	b := rateBucket(float64(slots))
	for i := b; i >= 0; i-- {
		if r.seconds[i] > 0 {
			return float64(slots) * r.work[i] / r.seconds[i]
		}
	}
	for i := b + 1; i < rateBuckets; i++ {
		if r.seconds[i] > 0 {
			return float64(slots) * r.work[i] / r.seconds[i]
		}
	}
	return 0
}

// stalled lowers a rate when a full engine has completed nothing for long.
func (r *serviceRate) stalled(now time.Time, rate float64) float64 {
	if rate <= 0 || r.lastDone.IsZero() {
		return rate
	}
	gap := r.meanSize / rate * stallFactor
	since := now.Sub(r.lastDone).Seconds()
	if since <= gap {
		return rate
	}
	return rate * gap / since
}

func rateBucket(concurrency float64) int {
	b := bits.Len(uint(max(concurrency+0.5, 1))) - 1
	return min(b, rateBuckets-1)
}
