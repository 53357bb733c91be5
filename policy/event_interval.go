package policy

import "time"

// EventInterval is the time between two events of streams at a server, without prefill: the
// lower quintile of one stream's intervals, or a mean of several such streams.
type EventInterval struct {
	Service  Key
	Server   Key
	Interval time.Duration
}

// MaxEventIntervals is the largest number of samples in a datagram, each of another server. Sixty-four
// samples take less than a kilobyte.
const MaxEventIntervals = 64
