package policy

import (
	"testing"
	"time"
)

// TestLimitReachesBatchOnColdEngine simulates overload from the start on an engine
// whose batch size isn't known: the limit must reach it within seconds and then stay
// near it.
func TestLimitReachesBatchOnColdEngine(t *testing.T) {
	t.Parallel()
	for _, batch := range []int{4, 8, 32, 64} {
		e := newFakeEngine(batch)
		sim := newSimulation(1, e)
		rate := 2 * e.capacity(questionWorkload(nil))
		lowest, highest := maxLimit, 0
		var reachedAfter time.Duration
		sim.every(100*time.Millisecond, time.Minute, func(since time.Duration) {
			limit := sim.engines[0].scheduler.limiter.limit
			if reachedAfter == 0 && limit >= batch-1 {
				reachedAfter = since
			}
			if since > 15*time.Second {
				lowest, highest = min(lowest, limit), max(highest, limit)
			}
		})
		sim.run(time.Minute, time.Minute, questionWorkload(constantRate(rate)))
		t.Logf("batch %d: limit %d reached after %v, then %d to %d", batch, batch-1, reachedAfter, lowest, highest)
		if reachedAfter == 0 || reachedAfter > 10*time.Second {
			t.Errorf("batch %d: limit reached the batch size after %v (0s: never), want at most 10s", batch, reachedAfter)
		}
		if lowest < batch*3/4 || highest > batch+2 {
			t.Errorf("batch %d: limit varied from %d to %d", batch, lowest, highest)
		}
	}
}

// TestLimitFollowsExternalLoad simulates an engine whose batch is mostly taken by
// other clients for two minutes: the limit must fall and rise with what is left.
func TestLimitFollowsExternalLoad(t *testing.T) {
	t.Parallel()
	e := newFakeEngine(16)
	sim := newSimulation(1, e)
	sim.clock.afterFunc(time.Minute, func() { e.externalStreams = 12 })
	sim.clock.afterFunc(3*time.Minute, func() { e.externalStreams = 0; e.startQueued() })
	limits := map[time.Duration]int{}
	sim.every(10*time.Second, 6*time.Minute, func(since time.Duration) {
		limits[since] = sim.engines[0].scheduler.limiter.limit
	})
	f := flagWorkload(constantRate(1))
	sim.run(6*time.Minute, time.Minute, f, questionWorkload(constantRate(2*e.capacity(questionWorkload(nil)))))
	t.Logf("limit at 60 s %d, 80 s %d, 180 s %d, 240 s %d, 350 s %d%s", limits[60*time.Second],
		limits[80*time.Second], limits[180*time.Second], limits[240*time.Second], limits[350*time.Second], sim.report(f, questionWorkload(nil)))
	if limit := limits[80*time.Second]; limit > 6 {
		t.Errorf("limit %d while 4 places are free", limit)
	}
	if limit := limits[240*time.Second]; limit < 12 {
		t.Errorf("limit %d a minute after the external load ended, want about 16", limit)
	}
}

// TestSlowEngine simulates four engines, one of which falls to a quarter of its speed:
// nearly all requests must still be on time.
func TestSlowEngine(t *testing.T) {
	t.Parallel()
	engines := newFakeEngines(4, 8)
	sim := newSimulation(1, engines...)
	sim.clock.afterFunc(30*time.Second, func() { engines[0].slowdown = 4 })
	capacity := 3.25 * engines[1].capacity(questionWorkload(nil))
	f, q := flagWorkload(constantRate(2)), questionWorkload(constantRate(0.8*capacity))
	sim.run(3*time.Minute, time.Minute, f, q)
	t.Logf("%s", sim.report(f, q))
	if share := sim.stats("question").attainment(); share < 0.97 {
		t.Errorf("questions on time: %.3f", share)
	}
	if late := sim.stats("flag").offered - sim.stats("flag").onTime; late > 1 {
		t.Errorf("%d hazard flags late", late)
	}
}

// TestUnequalEngines simulates eight cold engines at two thirds of their capacity, four
// of them with external load and one at a quarter of the speed: nearly all requests must
// be on time.
func TestUnequalEngines(t *testing.T) {
	t.Parallel()
	engines := newFakeEngines(8, 8)
	for i := range 4 {
		engines[i].externalStreams = i + 2
	}
	engines[7].slowdown = 4
	sim := newSimulation(3, engines...)
	f, q, s := flagWorkload(constantRate(4)), questionWorkload(constantRate(18)), summaryWorkload(constantRate(0.3))
	sim.run(2*time.Minute, time.Minute, f, q, s)
	t.Logf("%s", sim.report(f, q, s))
	if share := sim.stats("question").attainment(); share < 0.98 {
		t.Errorf("questions on time: %.3f", share)
	}
	if late := sim.stats("flag").offered - sim.stats("flag").onTime; late > 1 {
		t.Errorf("%d hazard flags late", late)
	}
}

// TestLimitKeepsTimeBetweenTokens simulates overload by a class whose target for the
// time between tokens allows six streams, on an engine with a batch of sixteen: the limit
// must settle at about six.
func TestLimitKeepsTimeBetweenTokens(t *testing.T) {
	t.Parallel()
	e := newFakeEngine(16)
	sim := newSimulation(1, e)
	q := questionWorkload(constantRate(2 * e.capacity(questionWorkload(nil))))
	q.betweenTokens = 26500 * time.Microsecond
	sim.run(3*time.Minute, time.Minute, q)
	t.Logf("%s", sim.report(q))
	stats := sim.stats("question")
	if onTimeShare := float64(stats.onTime) / float64(stats.completed); onTimeShare < 0.9 {
		t.Errorf("%.3f of the completed requests were on time", onTimeShare)
	}
	if limit := sim.engines[0].scheduler.limiter.limit; limit < 4 || limit > 7 {
		t.Errorf("limit %d, want about 6", limit)
	}
}
