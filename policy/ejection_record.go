package policy

import "time"

// ejectionRecord is the state of an engine that failed recently.
type ejectionRecord struct {
	// consecutive counts the failures since the last complete response or ejection.
	consecutive int
	// failureShare is the moving average of failures among recent outcomes.
	failureShare float64
	// successes counts the complete responses since the last failure.
	successes int
	// until is when the last ejection ends; ejections counts all ejections.
	until     time.Time
	ejections int
}

func (r *ejectionRecord) failed(now time.Time) {
	r.consecutive++
	r.successes = 0
	r.failureShare += newestOutcomeWeight * (1 - r.failureShare)
	if r.consecutive >= r.maxConsecutive() || r.failureShare >= ejectFailureShare {
		r.eject(now)
	}
}

// maxConsecutive returns how many consecutive failures eject the engine: a single one if it was
// ejected before.
func (r *ejectionRecord) maxConsecutive() int {
	if r.ejections > 0 {
		return 1
	}
	return ejectAfterFailures
}

func (r *ejectionRecord) succeeded() {
	r.consecutive = 0
	r.successes++
	r.failureShare -= newestOutcomeWeight * r.failureShare
}

func (r *ejectionRecord) eject(now time.Time) {
	duration := maxEjection
	if r.ejections < 6 {
		duration = min(minEjection<<r.ejections, maxEjection)
	}
	r.until = now.Add(duration)
	r.ejections++
	r.consecutive = 0
	r.failureShare = 0
}
