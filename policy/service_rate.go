package policy

import "time"

const (
	// rateDecay is the factor by which each new run reduces the weight of older runs, so
	// that the rate reflects about the last 16 runs. Fewer runs make the rate depend on
	// single responses; more delay the detection of a straggler.
	rateDecay = 15.0 / 16
	// stallGapFactor is the number of mean intervals without a completion that indicate
	// an engine that has become slower. With irregular responses an interval of four
	// means occurs by chance two times in a hundred.
	stallGapFactor = 4
)

// serviceRate estimates the true processing rate of an engine: tokens per second of a busy
// slot, not per second of elapsed time.
//
// The throughput over elapsed time is low at an idle engine only because of low demand;
// an estimate from it would refuse the start of a burst. The approach follows the true
// processing rate of Zhang et al., AuTraScale+ (IEEE TPDS 2024). Work is measured in the
// tickets' own size estimates, so that a constant error factor in them cancels out.
type serviceRate struct {
	// work, in tokens, and busySeconds are sums over the complete runs, in which older
	// runs have less weight.
	work           float64
	busySeconds    float64
	lastCompletion time.Time
	// meanSize is the moving average of the size of complete runs, in tokens.
	meanSize float64
}

// observe records a complete run of a size that occupied a slot for d.
func (r *serviceRate) observe(now time.Time, size int, d time.Duration) {
	r.lastCompletion = now
	if d <= 0 {
		return
	}
	r.work = r.work*rateDecay + float64(size)
	r.busySeconds = r.busySeconds*rateDecay + d.Seconds()
	if r.meanSize == 0 {
		r.meanSize = float64(size)
	}
	r.meanSize += (1 - rateDecay) * (float64(size) - r.meanSize)
}

// known reports whether any run has been observed.
func (r *serviceRate) known() bool {
	return r.busySeconds > 0
}

// runTime returns the expected duration of a run of a size; zero if the rate is unknown.
func (r *serviceRate) runTime(size int) time.Duration {
	if !r.known() {
		return 0
	}
	return secondsToDuration(float64(size) * r.busySeconds / r.work)
}

// throughput returns the engine's rate, in tokens per second, with all of the given slots
// in use; zero if the rate is unknown.
func (r *serviceRate) throughput(slots int) float64 {
	if !r.known() {
		return 0
	}
	return float64(slots) * r.work / r.busySeconds
}

// discountStall reduces the rate of a fully loaded engine that has completed no run for
// longer than stallGapFactor mean intervals.
func (r *serviceRate) discountStall(now time.Time, rate float64) float64 {
	if rate <= 0 || r.lastCompletion.IsZero() {
		return rate
	}
	maxGap := r.meanSize / rate * stallGapFactor
	gap := now.Sub(r.lastCompletion).Seconds()
	if gap <= maxGap {
		return rate
	}
	return rate * maxGap / gap
}
