package policy

import "time"

// demandWindow is the time over which granted work is averaged: long enough to measure a
// burst's rate, short enough to notice the end of a burst within a few seconds.
const demandWindow = 10 * time.Second

// tierDemand tracks how much work each tier was granted recently.
type tierDemand struct {
	// work is in tokens, with a weight that decays over demandWindow.
	work    [tierCount]float64
	updated time.Time
}

// add counts the grant of a ticket.
func (d *tierDemand) add(now time.Time, t Ticket) {
	d.decay(now)
	d.work[t.Tier] += float64(ticketSize(t))
}

// rateAbove returns the rate, in tokens per second, at which tiers more urgent than t were
// granted work.
func (d *tierDemand) rateAbove(now time.Time, t Tier) float64 {
	d.decay(now)
	sum := 0.0
	for _, work := range d.work[:t] {
		sum += work
	}
	return sum / demandWindow.Seconds()
}

func (d *tierDemand) decay(now time.Time) {
	if !d.updated.IsZero() {
		weight := windowWeight(now.Sub(d.updated))
		for i := range d.work {
			d.work[i] -= weight * d.work[i]
		}
	}
	d.updated = now
}

// windowWeight returns the weight of the last interval of length d in an average over
// demandWindow.
func windowWeight(d time.Duration) float64 {
	return d.Seconds() / (d + demandWindow).Seconds()
}
