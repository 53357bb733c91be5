package policy

// copyShareGain is the weight of the newest ticket in the moving average.
const copyShareGain = 1.0 / 32

// copyShare estimates the fraction of tickets with several copies that run on this
// engine. While all engines admit them, it is 1 divided by the number of copies. In a
// burst most engines refuse theirs and nearly all admitted tickets run where they wait;
// an estimate by the number of copies would then admit up to twice what can start in
// time.
type copyShare struct {
	share       float64
	initialized bool
}

// observe records that a ticket left the queue, and whether it runs here. Tickets
// with a single copy are ignored.
func (c *copyShare) observe(t Ticket, here bool) {
	if t.Copies < 2 {
		return
	}
	if !c.initialized {
		c.initialized = true
		c.share = 1 / float64(t.Copies)
	}
	sample := 0.0
	if here {
		sample = 1
	}
	c.share += copyShareGain * (sample - c.share)
}

// expectedWork returns the work that a ticket is expected to bring to this engine, in
// tokens.
func (c *copyShare) expectedWork(t Ticket) float64 {
	share := 1 / float64(max(t.Copies, 1))
	return float64(ticketSize(t)) * max(share, c.share)
}
