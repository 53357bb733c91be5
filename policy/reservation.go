package policy

import "time"

// overBudgetCost is the additional cost of a server whose PrefillBudget the job exceeds, in tokens:
// more than any other cost, so that the server is chosen only if there is no other.
const overBudgetCost = 1e9

// negligibleWaitShare is the share of a job's MaxWaitingTokens up to which what waits at a server is
// negligible.
const negligibleWaitShare = 0.1

// chooseReserved returns the best of the usable servers that are reserved.
func (c *Chooser) chooseReserved(now time.Time, job Job, servers []Server, rate *PrefillRate, usable func(*Server) bool) Choice {
	reserved := func(s *Server) bool { return s.Reserved && usable(s) }
	// Most other requests are sent to servers that aren't reserved. If all unreported ones counted
	// as sent to the few reserved servers, these would seem full with a quarter of their slots free.
	job.UnreportedRequests = min(job.UnreportedRequests, job.UnreportedProtected)
	for i := range servers {
		if reserved(&servers[i]) {
			return c.chooseByPlan(now, job, servers, rate, reserved)
		}
	}
	return Choice{}
}

// exceedsBudget reports whether the prefill of the job would stall the streams of a server for too
// long. All tokens that wait there count, whatever their urgency: they stall these streams alike.
// A job without a prompt and one that continues a stream are never refused because of a reservation.
func (j *Job) exceedsBudget(s *Server, prefillTokens int) bool {
	if !j.BoundByReservation || j.Bound || j.Tokens == 0 {
		return false
	}
	waiting := 0
	for _, level := range s.Pending {
		waiting += level.Tokens
	}
	meanTokens := j.scaleToMeanLength(float64(prefillTokens))
	// Shorter prompts are judged as if they had the mean length: otherwise they would take all budgets, and
	// the longest ones of the class would be served less than half as often.
	if s.PrefillBudget > 0 && float64(waiting)+max(float64(prefillTokens), meanTokens) > s.PrefillBudget {
		return true
	}
	// A server where almost nothing waits takes any prompt: otherwise a class whose mean prompt exceeds the
	// bound, or a long prefix that no server has cached, would never be served.
	waitingTokens := s.slowdown() * float64(waiting)
	if j.MaxWaitingTokens == 0 || waitingTokens <= negligibleWaitShare*j.MaxWaitingTokens {
		return false
	}
	// Judged by its own length, a prompt that takes the whole bound would find no server; see ClassSizes.
	return waitingTokens+s.slowdown()*meanTokens > j.MaxWaitingTokens
}
