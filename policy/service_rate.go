package policy

import "time"

const (
	// rateDecay is what remains of the older runs with each new one: the
	// rate reflects about the last 16 runs. Fewer follow the luck of single
	// answers; more are slow to see an engine that became a straggler.
	rateDecay = 15.0 / 16
	// stallGapFactor is how many mean gaps without a completion count as a sign
	// that the engine got slower. With irregular answers a gap of four means
	// happens by luck two times in a hundred.
	stallGapFactor = 4
)

// serviceRate is the true rate of an engine: work done per second of a busy
// slot, not per second of the clock.
//
// It answers load that comes and goes. The rate seen over time is low on a
// quiet engine merely since little was asked of it; an estimate from it
// refuses the start of a burst. The idea is the true processing rate of Zhang
// et al., AuTraScale+ (IEEE TPDS 2024). Work is in the tickets' own estimate
// of size, so that an estimate that is off by a factor cancels out.
type serviceRate struct {
	work     float64
	busySeconds  float64
	lastCompletion time.Time
	// meanSize is the mean size of a whole run.
	meanSize float64
}

// observe takes a whole run of a size that held a slot for d.
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

// known reports whether the engine was ever seen busy.
func (r *serviceRate) known() bool {
	return r.busySeconds > 0
}

// runTime is how long a run of a size takes.
func (r *serviceRate) runTime(size int) time.Duration {
	if !r.known() {
		return 0
	}
	return seconds(float64(size) * r.busySeconds / r.work)
}

// at is the work per second that the engine does with slots runs at once;
// zero when it was never seen busy.
func (r *serviceRate) at(slots int) float64 {
	if !r.known() {
		return 0
	}
	return float64(slots) * r.work / r.busySeconds
}

// stalled lowers a rate when a full engine has completed nothing for long.
func (r *serviceRate) stalled(now time.Time, rate float64) float64 {
	if rate <= 0 || r.lastCompletion.IsZero() {
		return rate
	}
	gap := r.meanSize / rate * stallGapFactor
	since := now.Sub(r.lastCompletion).Seconds()
	if since <= gap {
		return rate
	}
	return rate * gap / since
}
