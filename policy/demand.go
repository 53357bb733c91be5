package policy

import (
	"math"
	"time"
)

// demandMemory is over how long the work of the higher tiers is averaged:
// long enough to hold a burst's pace, short enough that the end of a burst is
// seen within a few seconds.
const demandMemory = 10 * time.Second

// demand is how much work each tier was granted lately.
type demand struct {
	work [tierCount]float64
	last time.Time
}

func (d *demand) advance(now time.Time) {
	if !d.last.IsZero() && now.After(d.last) {
		keep := math.Exp(-now.Sub(d.last).Seconds() / demandMemory.Seconds())
		for i := range d.work {
			d.work[i] *= keep
		}
	}
	d.last = now
}

func (d *demand) add(t Ticket) {
	d.work[t.Tier] += float64(ticketSize(t))
}

// above is the work per second of the tiers more urgent than t.
func (d *demand) above(t Tier) float64 {
	sum := 0.0
	for _, work := range d.work[:t] {
		sum += work
	}
	return sum / demandMemory.Seconds()
}
