package policy

import "time"

// running holds the runs of one engine.
type running struct {
	byID map[string]*run
	// pending are the runs that have started and have no first token yet,
	// in order of their start.
	pending []*run
	// lower counts the runs of all but the urgent tiers.
	lower int
	// top counts the runs of the top tier.
	top int
	// leaving counts the runs that were preempted and have not ended yet.
	leaving int
}

func newRunning() running {
	return running{byID: map[string]*run{}}
}

func (r *running) add(run *run) {
	r.byID[run.ticket.ID] = run
	r.count(run.ticket.Tier, 1)
}

func (r *running) remove(run *run) {
	delete(r.byID, run.ticket.ID)
	r.count(run.ticket.Tier, -1)
	if run.preempted {
		r.leaving--
	}
	r.dropPending(run)
}

func (r *running) preempt(run *run) {
	run.preempted = true
	r.leaving++
}

// staying is how many runs are not about to end for an urgent one.
func (r *running) staying() int {
	return len(r.byID) - r.leaving
}

func (r *running) count(t Tier, by int) {
	switch {
	case t == TopTier:
		r.top += by
	case t > urgentTier:
		r.lower += by
	}
}

// urgent is how many runs are of the urgent tiers.
func (r *running) urgent() int {
	return len(r.byID) - r.lower
}

func (r *running) start(now time.Time, run *run) {
	run.started = now
	run.depth = len(r.byID)
	r.pending = append(r.pending, run)
}

// dropPending takes a run from the pending ones. They are few: as many as the
// engine reads prompts of at once.
func (r *running) dropPending(run *run) {
	for i, p := range r.pending {
		if p == run {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}
