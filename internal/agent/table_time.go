package agent

import (
	"context"
	"time"
)

// keepTime lets grants lapse, forgets old ones and asks the policy when a
// decision of its own is due.
func (tb *table) keepTime(ctx context.Context) {
	at := time.Now().Add(wakeAtLeast)
	timer := time.NewTimer(wakeAtLeast)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			at = tb.tick(time.Now())
			timer.Reset(time.Until(at))
		case <-tb.wake:
			// Never later than planned: else a stream of new tickets would
			// put the next look off for good.
			if due := tb.due(time.Now()); due.Before(at) {
				at = due
				timer.Reset(time.Until(at))
			}
		}
	}
}

// tick does what time alone brings about and returns when to look again.
func (tb *table) tick(now time.Time) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, g := range tb.grants.offered {
		if now.Sub(g.offered) > grantTTL {
			tb.lapse(now, g)
		}
	}
	tb.grants.forget(now.Add(-grantMemory))
	tb.expire(now)
	tb.grantWaiting(now)
	load := tb.sched.Load()
	tb.queue.Set(load.Waiting, load.Running, load.Limit)
	return tb.nextLook(now)
}

// due is when the policy's next decision is due.
func (tb *table) due(now time.Time) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.nextLook(now)
}

// nextLook bounds the policy's next decision from both sides. Called with mu
// held.
func (tb *table) nextLook(now time.Time) time.Time {
	latest := now.Add(wakeAtLeast)
	due, ok := tb.sched.NextWake(now)
	if !ok || due.After(latest) {
		return latest
	}
	if soonest := now.Add(time.Millisecond); due.Before(soonest) {
		return soonest
	}
	return due
}
