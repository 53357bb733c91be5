package isolation

import "math"

const (
	// usableSlotShare is the share of a reserved server's slots that running streams may fill:
	// the rest absorbs what other gateways have sent since their last update.
	usableSlotShare = 3.0 / 4
	// usablePrefillShare is the share of a reserved server's time for the prefill of the
	// protected class, which stalls its streams as well.
	usablePrefillShare = 0.4
	// maxReservedShare bounds the reserved servers' share of the service, weighted by speed, so
	// that the other classes keep a minimum.
	// The largest tenth of the other prompts fits no budget and depends on the rest of the service: with
	// half or more it is served less than half as often as all of them at four times the capacity.
	maxReservedShare = 0.45
	// weightTolerance allows for rounding in sums of weights.
	weightTolerance = 1e-9
)

// weight returns the server's share of the work relative to the average server.
func (s *Server) weight() float64 { return 1 / s.slowdown() }

// weightLimit returns the largest sum of weights of servers that may be restricted.
func weightLimit(servers []Server) float64 {
	total := 0.0
	for i := range servers {
		if servers[i].Usable {
			total += servers[i].weight()
		}
	}
	return maxReservedShare*total + weightTolerance
}

// meanSlots returns the mean of the known numbers of slots of usable servers; 0 if none is known.
func meanSlots(servers []Server) float64 {
	known, sum := 0, 0.0
	for i := range servers {
		if servers[i].Usable && servers[i].Slots > 0 {
			known++
			sum += float64(servers[i].Slots)
		}
	}
	return sum / float64(max(known, 1))
}

// neededServers returns how many of the usable servers, in order, have enough slots for the
// demand, and how many prefill enough. Servers with an unknown number of slots count as the mean;
// if all are unknown, slots don't matter.
func neededServers(order []place, load *Load, d demand) (forSlots, forPrefill int) {
	tokensPerSecond, slotsPerServer := 1000*load.prefillRate(), meanSlots(load.Servers)
	slotsLeft, prefillLeft := d.streams, d.tokensPerSecond
	if slotsPerServer == 0 {
		slotsLeft = 0
	}
	for _, at := range order {
		s := &load.Servers[at.index]
		if !s.Usable {
			continue
		}
		if slotsLeft > 0 {
			forSlots++
		}
		if prefillLeft > 0 {
			forPrefill++
		}
		slots := slotsPerServer
		if s.Slots > 0 {
			slots = float64(s.Slots)
		}
		slotsLeft -= usableSlotShare * slots
		prefillLeft -= usablePrefillShare * tokensPerSecond * s.weight()
	}
	return forSlots, forPrefill
}

// reserve marks the first usable servers in order, at most count of them and up to the given sum
// of weights. A server that would exceed the limit is passed over. It returns the number and the
// sum of weights of the marked servers.
func reserve(order []place, servers []Server, count int, limit float64, reserved []bool) (marked int, weight float64) {
	for _, at := range order {
		if marked == count {
			break
		}
		s := &servers[at.index]
		if s.Usable && weight+s.weight() <= limit {
			reserved[at.index] = true
			marked++
			weight += s.weight()
		}
	}
	return marked, weight
}

// unboundedBudgets returns a budget without a bound for each of n servers.
func unboundedBudgets(n int) []float64 {
	budgets := make([]float64, n)
	for i := range budgets {
		budgets[i] = math.Inf(1)
	}
	return budgets
}
