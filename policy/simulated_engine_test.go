package policy

import "time"

// simulatedEngine is an engine with its agent's scheduler.
type simulatedEngine struct {
	sim       *simulation
	name      string
	engine    *fakeEngine
	scheduler *Scheduler
	waiting   map[string]*request
	running   map[string]*request
	// nextWake is when the scheduler is run next; zero if no wake-up is scheduled.
	nextWake time.Time
	// lastReport is the load that entries know of.
	lastReport Candidate
}

// offer offers a ticket to the scheduler and handles its decision.
func (e *simulatedEngine) offer(r *request) {
	copies := min(e.sim.copies(r.workload.tier), len(e.sim.engines))
	decision := e.scheduler.Offer(e.sim.clock.now, r.ticket(copies, min(maxRefusals, len(e.sim.engines))))
	for _, id := range decision.Displaced {
		e.drop(id)
	}
	if !decision.Admitted {
		e.sim.handleRefusal(e, r, decision)
		return
	}
	e.waiting[r.id] = r
	e.runScheduler()
}

// drop refuses a waiting ticket that the scheduler has displaced or expired.
func (e *simulatedEngine) drop(id string) {
	r := e.waiting[id]
	delete(e.waiting, id)
	retryAfter := e.scheduler.RetryAfter(e.sim.clock.now, r.workload.tier)
	e.sim.handleRefusal(e, r, Decision{RetryAfter: retryAfter})
}

// runScheduler executes all decisions that are due and sets the next wake-up.
func (e *simulatedEngine) runScheduler() {
	now := e.sim.clock.now
	for _, id := range e.scheduler.Expire(now) {
		e.drop(id)
	}
	for e.preemptNext() || e.grantNext() {
	}
	wake, ok := e.scheduler.NextWake(now)
	if !ok || !e.nextWake.IsZero() && !wake.Before(e.nextWake) && e.nextWake.After(now) {
		return
	}
	if !wake.After(now) {
		panic("NextWake is not after now")
	}
	e.nextWake = wake
	e.sim.clock.afterFunc(wake.Sub(now), func() {
		if e.nextWake.Equal(wake) {
			e.nextWake = time.Time{}
			e.runScheduler()
		}
	})
}

// grantNext starts the next run, if the scheduler grants one.
func (e *simulatedEngine) grantNext() bool {
	t, ok := e.scheduler.Next(e.sim.clock.now)
	if ok {
		e.startRun(e.waiting[t.ID])
	}
	return ok
}

// startRun starts a granted request on the engine, where it may wait for a place.
func (e *simulatedEngine) startRun(r *request) {
	now := e.sim.clock.now
	if r == nil || r.granted {
		panic("granted a ticket that does not wait, or granted it twice")
	}
	r.granted = true
	delete(e.waiting, r.id)
	e.running[r.id] = r
	e.sim.handleGrant(e, r)
	e.scheduler.Started(now, r.id)
	r.run++
	r.runStart = now
	run := r.run
	r.queuedInEngine = true
	e.engine.start(r.workload.tier, func() bool {
		if run != r.run {
			return false
		}
		r.queuedInEngine = false
		e.sim.clock.afterFunc(e.engine.prefillTime(r.promptTokens), func() { e.generateToken(r, run) })
		return true
	})
}

// generateToken gives the next token of a run, unless it was preempted meanwhile,
// and ends the run after the last one.
func (e *simulatedEngine) generateToken(r *request, run int) {
	if run != r.run {
		return
	}
	if r.generated == 0 {
		r.firstTokenAt = e.sim.clock.now
	}
	r.generated++
	e.scheduler.Tokens(e.sim.clock.now, r.id, 1)
	if r.generated < r.responseTokens {
		e.sim.clock.afterFunc(e.engine.tokenInterval(), func() { e.generateToken(r, run) })
		if r.generated == 1 {
			e.runScheduler()
		}
		return
	}
	e.engine.release()
	delete(e.running, r.id)
	e.scheduler.Finished(e.sim.clock.now, r.id, OutcomeComplete)
	e.sim.handleCompletion(r)
	e.runScheduler()
}

// preemptNext cancels the run that the scheduler returns, if any, and queues its request
// on this engine again, to be resumed.
func (e *simulatedEngine) preemptNext() bool {
	id, ok := e.scheduler.Preempt(e.sim.clock.now)
	if !ok {
		return false
	}
	r := e.running[id]
	delete(e.running, id)
	e.sim.updateStats(r, func(stats *requestStats) {
		stats.preemptions++
		stats.wastedTime += e.engine.prefillTime(r.promptTokens)
	})
	r.run++
	if !r.queuedInEngine {
		e.engine.release()
	}
	e.scheduler.Finished(e.sim.clock.now, id, OutcomeCancelled)
	r.granted = false
	r.preempted = e.sim.clock.now
	r.id += "p"
	r.ticketsAt = map[*simulatedEngine]bool{e: true}
	e.waiting[r.id] = r
	e.scheduler.Resume(e.sim.clock.now, r.ticket(1, 1))
	return true
}

// loadReport returns the load as entries know it, half a second old at most.
func (e *simulatedEngine) loadReport() Candidate {
	now := e.sim.clock.now
	if now.Sub(e.lastReport.ReportedAt) > 500*time.Millisecond {
		load := e.scheduler.Load()
		e.lastReport = Candidate{Name: e.name, Waiting: load.Waiting, Running: load.Running, Limit: load.Limit, ReportedAt: now}
	}
	return e.lastReport
}
