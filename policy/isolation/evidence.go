package isolation

import (
	"math"
	"time"
)

const (
	// evidenceTimeConstant is the time constant for averaging streams.
	evidenceTimeConstant = 10 * time.Second
	// minLateStreams and minLateShare are the number and the share of recent streams that must
	// be late for servers to be reserved: a few late streams may have other causes.
	minLateStreams = 8.0
	minLateShare   = 1.0 / 20
	// reservationTime is how long servers stay reserved after the evidence has ended.
	// Reservations themselves make streams punctual, and therefore end the evidence.
	reservationTime = time.Minute
)

// evidence counts the recent streams of one level, with exponential decay.
type evidence struct {
	streams, late float64
	updated       time.Time
	// sufficientAt is the last time at which the counts were sufficient; zero for never.
	sufficientAt time.Time
}

// observe counts streams.
func (e *evidence) observe(now time.Time, late, onTime int) {
	e.decay(now)
	e.streams += float64(late + onTime)
	e.late += float64(late)
	e.assess(now)
}

// active reports whether the counts are sufficient, or were within reservationTime.
func (e *evidence) active(now time.Time) bool {
	e.decay(now)
	e.assess(now)
	return !e.sufficientAt.IsZero() && now.Sub(e.sufficientAt) < reservationTime
}

// assess records whether the counts are sufficient now.
func (e *evidence) assess(now time.Time) {
	if e.late >= minLateStreams && e.late >= minLateShare*e.streams {
		e.sufficientAt = now
	}
}

func (e *evidence) decay(now time.Time) {
	elapsed := now.Sub(e.updated)
	if !e.updated.IsZero() && elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / evidenceTimeConstant.Seconds())
	e.streams *= factor
	e.late *= factor
	e.updated = now
}
