package policy

import "time"

// running holds the runs of one engine and the slot time they have used.
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
	// area is the sum of slot time in seconds, up to last.
	area float64
	last time.Time
}

func newRunning() running {
	return running{byID: map[string]*run{}}
}

// advance accounts for the slot time since the last call.
func (r *running) advance(now time.Time) {
	if !r.last.IsZero() {
		r.area += now.Sub(r.last).Seconds() * float64(len(r.byID))
	}
	r.last = now
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
	run.area = r.area
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

// concurrency is the mean number of runs while a run was going on.
func (r *running) concurrency(now time.Time, run *run) float64 {
	d := now.Sub(run.started).Seconds()
	if d <= 0 {
		return 1
	}
	return (r.area - run.area) / d
}
