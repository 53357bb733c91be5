package policy

import "time"

// demandMemory is over how long the work of the higher tiers is averaged:
// long enough to hold a burst's pace, short enough that the end of a burst is
// seen within a few seconds.
const demandMemory = 10 * time.Second

// demand is how much work each tier was granted lately.
type demand struct {
	work [tierCount]float64
	last time.Time
}

// add counts the grant of a ticket.
func (d *demand) add(now time.Time, t Ticket) {
	d.fade(now)
	d.work[t.Tier] += float64(ticketSize(t))
}

// above is the work per second of the tiers more urgent than t.
func (d *demand) above(now time.Time, t Tier) float64 {
	d.fade(now)
	sum := 0.0
	for _, work := range d.work[:t] {
		sum += work
	}
	return sum / demandMemory.Seconds()
}

func (d *demand) fade(now time.Time) {
	if !d.last.IsZero() {
		lost := newestWeight(now.Sub(d.last))
		for i := range d.work {
			d.work[i] -= lost * d.work[i]
		}
	}
	d.last = now
}

// newestWeight is what the last moments of length d count for in a mean over
// demandMemory.
func newestWeight(d time.Duration) float64 {
	return d.Seconds() / (d + demandMemory).Seconds()
}
