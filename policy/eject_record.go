package policy

import "time"

// ejectionRecord is the state of an engine that failed recently.
type ejectRecord struct {
	// consecutive counts the failures since the last complete answer or ejection.
	row int
	// failureShare is the moving average of failures among recent outcomes.
	share float64
	// successes counts the complete answers since the last failure.
	trusted int
	// until is when the last ejection ends; ejections counts all ejections.
	until time.Time
	times int
}

func (r *ejectRecord) failed(now time.Time) {
	r.row++
	r.trusted = 0
	r.share += ejectMemory * (1 - r.share)
	if r.row >= r.tolerance() || r.share >= ejectShare {
		r.eject(now)
	}
}

// maxConsecutive returns how many consecutive failures eject the engine: one after it has been
// ejected before.
func (r *ejectRecord) tolerance() int {
	if r.times > 0 {
		return 1
	}
	return ejectAfter
}

func (r *ejectRecord) succeeded() {
	r.row = 0
	r.trusted++
	r.share -= ejectMemory * r.share
}

func (r *ejectRecord) eject(now time.Time) {
	duration := ejectLongest
	if r.times < 6 {
		duration = min(ejectFirst<<r.times, ejectLongest)
	}
	r.until = now.Add(duration)
	r.times++
	r.row = 0
	r.share = 0
}
