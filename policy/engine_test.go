package policy

import (
	"testing"
	"time"
)

// TestColdEngines plays a burst that meets engines of which nothing is known,
// and looks at the limit while it lasts.
func TestColdEngines(t *testing.T) {
	t.Parallel()
	for _, batch := range []int{4, 8, 32, 64} {
		e := newFakeEngine(batch)
		p := newPlay(1, e)
		rate := 2 * e.capacity(questions(nil))
		lowest, highest := maxLimit, 0
		var reached time.Duration
		p.watch(100*time.Millisecond, time.Minute, func(since time.Duration) {
			limit := p.engines[0].scheduler.limiter.limit
			if reached == 0 && limit >= batch-1 {
				reached = since
			}
			if since > 15*time.Second {
				lowest, highest = min(lowest, limit), max(highest, limit)
			}
		})
		p.run(time.Minute, time.Minute, questions(steady(rate)))
		t.Logf("batch %d: limit %d after %v, then %d to %d", batch, batch-1, reached, lowest, highest)
		if reached == 0 || reached > 10*time.Second {
			t.Errorf("batch %d: limit reached it after %v", batch, reached)
		}
		if lowest < batch*3/4 || highest > batch+2 {
			t.Errorf("batch %d: limit from %d to %d", batch, lowest, highest)
		}
	}
}

// TestForeignLoad plays an engine of which others take most of the batch for
// a while: the limit follows, both ways.
func TestForeignLoad(t *testing.T) {
	t.Parallel()
	e := newFakeEngine(16)
	p := newPlay(1, e)
	p.clock.after(time.Minute, func() { e.foreign = 12 })
	p.clock.after(3*time.Minute, func() { e.foreign = 0; e.fill() })
	limits := map[time.Duration]int{}
	p.watch(10*time.Second, 6*time.Minute, func(since time.Duration) {
		limits[since] = p.engines[0].scheduler.limiter.limit
	})
	f := flags(steady(1))
	p.run(6*time.Minute, time.Minute, f, questions(steady(2*e.capacity(questions(nil)))))
	t.Logf("limit at 60 s %d, 80 s %d, 180 s %d, 240 s %d, 350 s %d%s", limits[60*time.Second],
		limits[80*time.Second], limits[180*time.Second], limits[240*time.Second], limits[350*time.Second], p.report(f, questions(nil)))
	if limit := limits[80*time.Second]; limit > 6 {
		t.Errorf("limit %d with room for 4", limit)
	}
	if limit := limits[240*time.Second]; limit < 12 {
		t.Errorf("limit %d a minute after the others left, with room for 16", limit)
	}
}

// TestSlowEngine plays one engine of four at a quarter of the speed.
func TestSlowEngine(t *testing.T) {
	t.Parallel()
	engines := fleet(4, 8)
	p := newPlay(1, engines...)
	p.clock.after(30*time.Second, func() { engines[0].slow = 4 })
	capacity := 3.25 * engines[1].capacity(questions(nil))
	f, q := flags(steady(2)), questions(steady(0.8*capacity))
	p.run(3*time.Minute, time.Minute, f, q)
	t.Logf("%s", p.report(f, q))
	if share := p.tally("question").attained(); share < 0.97 {
		t.Errorf("questions on time: %.3f", share)
	}
	if late := p.tally("flag").offered - p.tally("flag").onTime; late > 1 {
		t.Errorf("%d hazard flags late", late)
	}
}

// TestUnequalEngines plays eight cold engines, four of them with load of
// others and one at a quarter of the speed, at two thirds of what they can do.
func TestUnequalEngines(t *testing.T) {
	t.Parallel()
	engines := fleet(8, 8)
	for i := range 4 {
		engines[i].foreign = i + 2
	}
	engines[7].slow = 4
	p := newPlay(3, engines...)
	f, q, s := flags(steady(4)), questions(steady(18)), summaries(steady(0.3))
	p.run(2*time.Minute, time.Minute, f, q, s)
	t.Logf("%s", p.report(f, q, s))
	if share := p.tally("question").attained(); share < 0.98 {
		t.Errorf("questions on time: %.3f", share)
	}
	if late := p.tally("flag").offered - p.tally("flag").onTime; late > 1 {
		t.Errorf("%d hazard flags late", late)
	}
}

// TestBetweenTokens plays a class whose target for the time between tokens
// allows six streams on an engine that takes sixteen.
func TestBetweenTokens(t *testing.T) {
	t.Parallel()
	e := newFakeEngine(16)
	p := newPlay(1, e)
	q := questions(steady(2 * e.capacity(questions(nil))))
	q.betweenTokens = 26500 * time.Microsecond
	p.run(3*time.Minute, time.Minute, q)
	t.Logf("%s", p.report(q))
	tally := p.tally("question")
	if kept := float64(tally.onTime) / float64(tally.whole); kept < 0.9 {
		t.Errorf("of the answered %.3f were on time", kept)
	}
	if limit := p.engines[0].scheduler.limiter.limit; limit < 4 || limit > 7 {
		t.Errorf("limit %d, want about 6", limit)
	}
}
