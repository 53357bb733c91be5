package zonerouting

const (
	// horizonMillis is the time for which the demand is expected to last, in milliseconds: gateways
	// learn of changed loads within a tenth of it, and bursts last several times as long.
	horizonMillis = 1000.0
	// noCapacityMillis is the marginal time in a zone without usable servers, in milliseconds: more
	// than any wait that ends in time.
	noCapacityMillis = 60_000.0
)

// load is a zone's state while shares are solved for.
type load struct {
	capacity float64
	waiting  float64
	// inflow is the number of tokens per second that are served in the zone.
	inflow        float64
	requestMillis float64
}

// marginalMillis returns the marginal time at an inflow, in milliseconds: by how much an additional
// request lengthens the waits of all callers in the zone, its own included.
//
// It is the sum of two parts. Random arrivals wait even below the capacity. With the least loaded of
// three random servers chosen, as policy.Chooser does, the mean wait at utilization u is close to
// u^3+u^12 prefill times (Mitzenmacher, The power of two choices, 2001; later terms matter only
// beyond 0.95), and the derivative of u times that wait is 4u^3+13u^12. The other part is the
// backlog that remains at the end of the horizon. A backlog that is gone by then is one of random
// arrivals, which the first part already counts.
func (l *load) marginalMillis(inflow float64) float64 {
	if l.capacity <= 0 {
		return noCapacityMillis
	}
	utilization := inflow / l.capacity
	capped := min(utilization, 1)
	cube := capped * capped * capped
	random := l.requestMillis * (4*cube + 13*cube*cube*cube*cube)
	backlog := l.waiting/l.capacity*1000 + horizonMillis*(utilization-1)
	return min(random+max(backlog, 0), noCapacityMillis)
}
