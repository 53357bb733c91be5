package policy

import "time"

// activeRuns holds the granted runs of one engine, by ticket ID.
type activeRuns struct {
	byID map[string]*run
	// awaitingFirstToken holds the runs that have started and have no first token
	// yet, in order of their start.
	awaitingFirstToken []*run
	// nonUrgent is the number of runs below the urgent tiers.
	nonUrgent int
	// topTier is the number of runs of the top tier.
	topTier int
	// preemptedCount is the number of preempted runs that haven't ended yet.
	preemptedCount int
}

// newActiveRuns returns an empty activeRuns.
func newActiveRuns() activeRuns {
	return activeRuns{byID: map[string]*run{}}
}

// add adds a granted run, which hasn't started yet.
func (r *activeRuns) add(run *run) {
	r.byID[run.ticket.ID] = run
	r.adjustCounts(run.ticket.Tier, 1)
}

// remove deletes a run that has ended.
func (r *activeRuns) remove(run *run) {
	delete(r.byID, run.ticket.ID)
	r.adjustCounts(run.ticket.Tier, -1)
	if run.preempted {
		r.preemptedCount--
	}
	r.removeAwaiting(run)
}

// markPreempted records that the run is about to end by preemption.
func (r *activeRuns) markPreempted(run *run) {
	run.preempted = true
	r.preemptedCount++
}

// notPreempted returns the number of runs that aren't about to end by preemption.
func (r *activeRuns) notPreempted() int {
	return len(r.byID) - r.preemptedCount
}

// adjustCounts adds delta to the counts that include tier t.
func (r *activeRuns) adjustCounts(t Tier, delta int) {
	switch {
	case t == TopTier:
		r.topTier += delta
	case t > lastUrgentTier:
		r.nonUrgent += delta
	}
}

// urgentCount returns the number of runs of the urgent tiers.
func (r *activeRuns) urgentCount() int {
	return len(r.byID) - r.nonUrgent
}

// markStarted records that the run has started and waits for its first token.
func (r *activeRuns) markStarted(now time.Time, run *run) {
	run.started = now
	run.depth = len(r.byID)
	r.awaitingFirstToken = append(r.awaitingFirstToken, run)
}

// removeAwaiting removes a run from those without a first token. A linear search
// suffices: they are no more than the prompts that the engine prefills at the
// same time.
func (r *activeRuns) removeAwaiting(run *run) {
	for i, other := range r.awaitingFirstToken {
		if other == run {
			r.awaitingFirstToken = append(r.awaitingFirstToken[:i], r.awaitingFirstToken[i+1:]...)
			return
		}
	}
}
