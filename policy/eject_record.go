package policy

import "time"

// ejectRecord is what an Ejector knows of an engine that failed.
type ejectRecord struct {
	// row counts failures without a whole answer between them.
	row int
	// share is the recent share of failures.
	share float64
	// trusted counts whole answers since the last failure.
	trusted int
	// until is when an ejection ends; times counts the ejections.
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

// tolerance is how many failures in a row it takes: one after a return.
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
	pause := ejectLongest
	if r.times < 6 {
		pause = min(ejectFirst<<r.times, ejectLongest)
	}
	r.until = now.Add(pause)
	r.times++
	r.row = 0
	r.share = 0
}
