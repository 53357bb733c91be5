package policy

// copyShareGain is the weight of the newest ticket in the share.
const copyShareGain = 1.0 / 32

// copyShare measures how many of the tickets that wait at several engines run
// on this one. It is one in as many as there are copies while all engines
// take them in. In a burst most engines refuse theirs, and nearly all that
// were let in run where they wait; an estimate that counted them by their
// copies would let in up to twice of what can start in time.
type copyShare struct {
	share float64
	initialized  bool
}

// observe takes that a ticket with copies left the queue, to run here or not.
func (c *copyShare) observe(t Ticket, here bool) {
	if t.Copies < 2 {
		return
	}
	if !c.initialized {
		c.initialized = true
		c.share = 1 / float64(t.Copies)
	}
	x := 0.0
	if here {
		x = 1
	}
	c.share += copyShareGain * (x - c.share)
}

// work is the work in tokens that a ticket is expected to bring to this
// engine.
func (c *copyShare) work(t Ticket) float64 {
	share := 1 / float64(max(t.Copies, 1))
	return float64(ticketSize(t)) * max(share, c.share)
}
