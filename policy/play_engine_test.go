package policy

import "time"

// playEngine is an engine with its agent's scheduler.
type playEngine struct {
	play      *play
	name      string
	engine    *fakeEngine
	scheduler *Scheduler
	waiting   map[string]*request
	running   map[string]*request
	wake      time.Time
	reported  Candidate
}

func (e *playEngine) offer(r *request) {
	copies := min(e.play.copies(r.w.tier), len(e.play.engines))
	decision := e.scheduler.Offer(e.play.clock.now, r.ticket(copies, min(playRefusals, len(e.play.engines))))
	for _, id := range decision.Displaced {
		e.drop(id)
	}
	if !decision.Admitted {
		e.play.refused(e, r, decision)
		return
	}
	e.waiting[r.id] = r
	e.serve()
}

// drop refuses a waiting ticket that the scheduler gave up on.
func (e *playEngine) drop(id string) {
	r := e.waiting[id]
	delete(e.waiting, id)
	hint := e.scheduler.RetryAfter(e.play.clock.now, r.w.tier)
	e.play.refused(e, r, Decision{RetryAfter: hint})
}

// serve does all that is due now and sets the next wake.
func (e *playEngine) serve() {
	now := e.play.clock.now
	for _, id := range e.scheduler.Expire(now) {
		e.drop(id)
	}
	for e.preempt() || e.grant() {
	}
	wake, ok := e.scheduler.NextWake(now)
	if !ok || !e.wake.IsZero() && !wake.Before(e.wake) && e.wake.After(now) {
		return
	}
	if !wake.After(now) {
		panic("a decision is due that was not made")
	}
	e.wake = wake
	e.play.clock.after(wake.Sub(now), func() {
		if e.wake.Equal(wake) {
			e.wake = time.Time{}
			e.serve()
		}
	})
}

func (e *playEngine) grant() bool {
	t, ok := e.scheduler.Next(e.play.clock.now)
	if ok {
		e.begin(e.waiting[t.ID])
	}
	return ok
}

func (e *playEngine) begin(r *request) {
	now := e.play.clock.now
	if r == nil || r.granted {
		panic("granted an unknown ticket, or twice")
	}
	r.granted = true
	delete(e.waiting, r.id)
	e.running[r.id] = r
	e.play.taken(e, r)
	e.scheduler.Started(now, r.id)
	r.run++
	r.began = now
	run := r.run
	r.inLine = true
	e.engine.enter(r.w.tier, func() bool {
		if run != r.run {
			return false
		}
		r.inLine = false
		e.play.clock.after(e.engine.prefill(r.prompt), func() { e.token(r, run) })
		return true
	})
}

func (e *playEngine) token(r *request, run int) {
	if run != r.run {
		return
	}
	if r.given == 0 {
		r.first = e.play.clock.now
	}
	r.given++
	e.scheduler.Tokens(e.play.clock.now, r.id, 1)
	if r.given < r.answer {
		e.play.clock.after(e.engine.between(), func() { e.token(r, run) })
		if r.given == 1 {
			e.serve()
		}
		return
	}
	e.engine.leave()
	delete(e.running, r.id)
	e.scheduler.Finished(e.play.clock.now, r.id, OutcomeWhole)
	e.play.finished(r)
	e.serve()
}

// preempt cancels a run when the scheduler says so; its request waits again,
// to be resumed here.
func (e *playEngine) preempt() bool {
	id, ok := e.scheduler.Preempt(e.play.clock.now)
	if !ok {
		return false
	}
	r := e.running[id]
	delete(e.running, id)
	tally := e.play.tally(r.w.class)
	tally.preempted++
	tally.wasted += e.engine.prefill(r.prompt)
	r.run++
	if !r.inLine {
		e.engine.leave()
	}
	e.scheduler.Finished(e.play.clock.now, id, OutcomeCancelled)
	r.granted = false
	r.cancelled = e.play.clock.now
	r.id += "p"
	r.holders = map[*playEngine]bool{e: true}
	e.waiting[r.id] = r
	e.scheduler.Resume(e.play.clock.now, r.ticket(1, 1))
	return true
}

// report is what an entry last heard, half a second old at most.
func (e *playEngine) report() Candidate {
	now := e.play.clock.now
	if now.Sub(e.reported.Seen) > 500*time.Millisecond {
		load := e.scheduler.Load()
		e.reported = Candidate{Name: e.name, Waiting: load.Waiting, Running: load.Running, Limit: load.Limit, Seen: now}
	}
	return e.reported
}
