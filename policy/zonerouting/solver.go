package zonerouting

import "time"

const (
	// fractionStep is the part of a zone's demand that is moved at a time while shares are solved for.
	fractionStep = 1.0 / 40
	// startTolerance is the relative error of both zones' demands in spite of which using a pair must
	// pay for it to be started. agingTolerance is what each second of the age of the receiving zone's
	// figures adds, also for a pair that is in use. The random error of a zone with 100 requests per second is about 0.1, and demands
	// that swing by a quarter within 15 s change by a tenth in a second. Gateways of two zones each
	// know their own zone better, and at a smaller tolerance both might start to send to the other.
	startTolerance = 0.15
	agingTolerance = 0.1
)

// pairState is one direction of a pair of zones, by their indices.
type pairState struct {
	from, to int
	// costMillis is the cost of a crossing in milliseconds of a caller's wait.
	costMillis float64
	// tolerance is the relative error of both zones' demands in spite of which a step must pay, and
	// startTolerance what is added for the first step of a pair that isn't in use.
	tolerance, startTolerance float64
	// fraction is the part of the sending zone's demand that the pair takes.
	fraction float64
}

// solver moves small parts of zones' demands, each from the zone and to the zone between which the
// difference of the marginal times exceeds the cost of the crossing most, until none does
// (water-filling). Capacities and marginal times are those of load.
type solver struct {
	loads []load
	// marginal is each zone's marginal time at its present inflow.
	marginal []float64
	demands  []float64
	// remaining is the fraction of its demand that a zone serves itself.
	remaining       []float64
	sends, receives []bool
	pairs           []pairState
}

func newSolver(zones int) *solver {
	return &solver{loads: make([]load, zones), marginal: make([]float64, zones), demands: make([]float64, zones), remaining: make([]float64, zones), sends: make([]bool, zones), receives: make([]bool, zones)}
}

// setZone sets a zone's state and its demand.
func (s *solver) setZone(i int, z *Zone, demand float64) {
	s.loads[i] = load{capacity: z.Capacity, waiting: z.Waiting, inflow: demand, requestMillis: z.RequestTime.Seconds() * 1000}
	s.marginal[i] = s.loads[i].marginalMillis(demand)
	s.demands[i], s.remaining[i] = demand, 1
}

// addPair adds a direction of a pair that may be used. age is that of the receiving zone's figures.
func (s *solver) addPair(from, to int, costMillis float64, age time.Duration, started bool) {
	p := pairState{from: from, to: to, costMillis: costMillis, tolerance: agingTolerance * min(age, maxInformationAge).Seconds()}
	if !started {
		p.startTolerance = startTolerance
	}
	s.pairs = append(s.pairs, p)
}

// solve sets the pairs' fractions.
func (s *solver) solve() {
	for range len(s.loads) * int(1/fractionStep) {
		best, highest := -1, 0.0
		for i := range s.pairs {
			p := &s.pairs[i]
			// No gain exceeds the difference of the marginal times, which is faster to compute.
			if s.marginal[p.from]-s.marginal[p.to]-p.costMillis <= highest {
				continue
			}
			if gain := s.gain(p); gain > highest {
				best, highest = i, gain
			}
		}
		if best < 0 {
			return
		}
		s.move(&s.pairs[best])
	}
}

// gain returns by how many milliseconds moving the next step over a pair shortens the wait, less the
// cost of the crossing; 0 or less if the step can't be moved.
func (s *solver) gain(p *pairState) float64 {
	step := fractionStep * s.demands[p.from]
	if step <= 0 || s.remaining[p.from] < fractionStep/2 || s.receives[p.from] || s.sends[p.to] || s.loads[p.to].capacity <= 0 {
		return 0
	}
	tolerance := p.tolerance + p.startTolerance
	leaving, entering := (s.loads[p.from].inflow-step/2)*(1-tolerance), (s.loads[p.to].inflow+step/2)*(1+tolerance)
	return s.loads[p.from].marginalMillis(leaving) - s.loads[p.to].marginalMillis(entering) - p.costMillis
}

// move moves the next step over a pair.
func (s *solver) move(p *pairState) {
	step := fractionStep * s.demands[p.from]
	s.loads[p.from].inflow -= step
	s.loads[p.to].inflow += step
	s.marginal[p.from], s.marginal[p.to] = s.loads[p.from].marginalMillis(s.loads[p.from].inflow), s.loads[p.to].marginalMillis(s.loads[p.to].inflow)
	s.remaining[p.from] -= fractionStep
	s.sends[p.from], s.receives[p.to] = true, true
	p.startTolerance = 0
	p.fraction += fractionStep
}
