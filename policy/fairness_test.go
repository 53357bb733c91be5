package policy

import (
	"testing"
	"time"
)

// TestHotCustomer simulates a burst at four times capacity of which one of ten
// customers sends 85%. The others together need less than their fair share, and so
// must be on time.
func TestHotCustomer(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, newFakeEngines(4, 8)...)
	capacity := 4 * newFakeEngine(8).capacity(questionWorkload(nil))
	q := questionWorkload(burstRate(0.2*capacity, 4*capacity, 30*time.Second, time.Minute))
	q.hotShare = 0.85
	sim.run(2*time.Minute, time.Minute, q)
	offered, onTime := 0, 0
	for _, customer := range []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"} {
		offered += sim.stats("question/" + customer).offered
		onTime += sim.stats("question/" + customer).onTime
	}
	hotStats := sim.stats("question/c0")
	t.Logf("other customers: %d of %d on time; hot customer: %d of %d", onTime, offered, hotStats.onTime, hotStats.offered)
	if share := float64(onTime) / float64(offered); share < 0.95 {
		t.Errorf("other customers on time: %.3f", share)
	}
}

// TestClassesOfOneTier simulates a burst of a class with a short target beside a class
// of the same tier with a longer target that needs a fifth of the capacity: the other
// class must be on time.
func TestClassesOfOneTier(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, newFakeEngines(4, 8)...)
	capacity := 4 * newFakeEngine(8).capacity(questionWorkload(nil))
	q := questionWorkload(burstRate(0.2*capacity, 8*capacity, 30*time.Second, time.Minute))
	other := questionWorkload(constantRate(0.2 * capacity))
	other.class, other.firstToken = "query", 5*time.Second
	sim.run(2*time.Minute, time.Minute, q, other)
	t.Logf("%s", sim.report(q, other))
	if share := sim.stats("query").attainment(); share < 0.97 {
		t.Errorf("the other class on time: %.3f", share)
	}
}

// TestLongAmongShort simulates long summaries and short questions that together use
// nine tenths of the capacity: both classes must be on time.
func TestLongAmongShort(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, newFakeEngines(4, 8)...)
	e := newFakeEngine(8)
	q := questionWorkload(constantRate(0.6 * 4 * e.capacity(questionWorkload(nil))))
	s := summaryWorkload(constantRate(0.3 * 4 * e.capacity(summaryWorkload(nil))))
	sim.run(5*time.Minute, 2*time.Minute, q, s)
	t.Logf("%s", sim.report(q, s))
	for _, w := range []workload{q, s} {
		if share := sim.stats(w.class).attainment(); share < 0.95 {
			t.Errorf("%s on time: %.3f", w.class, share)
		}
	}
}

// saturationBound is the longest wait under the starvation guarantee with five starved
// classes, runs of at most 20 s and eight slots or more.
const saturationBound = 130 * time.Second

// TestSaturation simulates 12 minutes in which each of the three most urgent classes
// needs more than all engines' capacity: every class must be served within the bound
// all the time.
func TestSaturation(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, newFakeEngines(2, 8)...)
	capacity := 2 * newFakeEngine(8).capacity(questionWorkload(nil))
	var classes []workload
	for tier := Tier(0); tier <= BottomTier; tier++ {
		w := questionWorkload(constantRate(1.2 * capacity))
		if tier >= 3 {
			w = summaryWorkload(constantRate(0.5))
		}
		w.class, w.tier = string(rune('a'+tier)), tier
		classes = append(classes, w)
	}
	lastCompleted := map[string]int{}
	const interval = saturationBound
	sim.every(interval, 12*time.Minute, func(since time.Duration) {
		for _, w := range classes {
			completed := sim.stats(w.class).completed + sim.stats(w.class).retriesOnTime
			if since > interval && completed == lastCompleted[w.class] {
				t.Errorf("class %s: no request completed from %v to %v", w.class, since-interval, since)
			}
			lastCompleted[w.class] = completed
		}
	})
	sim.run(12*time.Minute, 5*time.Minute, classes...)
	t.Logf("%s", sim.report(classes...))
	for _, w := range classes[1:] {
		stats := sim.stats(w.class)
		if stats.longestWait > saturationBound {
			t.Errorf("class %s waited %v", w.class, stats.longestWait)
		}
		if stats.longestResumeWait > 2*saturationBound {
			t.Errorf("class %s waited %v to be resumed", w.class, stats.longestResumeWait)
		}
	}
}
