package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/internal/logging"
)

// resting starts a follower that has read its table up to 3 and rests while told.
func resting(t *testing.T, src *source, out *sink, told *atomic.Bool) *Follower[string] {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &Follower[string]{
		Name: "t", Source: src, Sink: out, Wait: Always(time.Second), Gather: 200 * time.Millisecond,
		Idle: told.Load, Log: zap.NewNop(),
	}
	go f.Run(ctx)
	time.Sleep(time.Minute)
	synctest.Wait()
	return f
}

func readUpTo3() []step { return []step{{batch: Batch[string]{Items: []string{"a"}, At: 3}}} }

func TestRestingFollowerAsksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{steps: readUpTo3()}
		var told atomic.Bool
		told.Store(true)
		f := resting(t, src, &sink{}, &told)
		if got := join(src.asked); got != "read" || f.Live() {
			t.Errorf("asked %q, live %v, while others ask", got, f.Live())
		}
		told.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := join(src.asked); got != "read next after 3" {
			t.Errorf("asked %q after nobody else did", got)
		}
	})
}

// Others wait for who follows now to say so.
func TestFirstCallAfterARestIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := &holding{}
		var told atomic.Bool
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := &Follower[string]{
			Name: "t", Source: held, Sink: &sink{}, Wait: Always(4 * time.Second), Idle: told.Load, Log: zap.NewNop(),
		}
		var wg conc.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		told.Store(true)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		before := len(held.waits)
		told.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(held.waits) <= before || held.waits[before] > recheckWait || !f.Live() {
			t.Errorf("waits %v after %d before the rest", held.waits, before)
		}
		cancel()
		wg.Wait()
	})
}

func TestChangesFromOthersAreTakenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		var told atomic.Bool
		told.Store(true)
		f := resting(t, &source{steps: readUpTo3()}, out, &told)
		if f.Changed() != 0 || f.Known() != 3 {
			t.Errorf("changed %d, known %d after the whole table was read", f.Changed(), f.Known())
		}
		steps := []Step[string]{{From: 2, To: 3, Items: []string{"old"}}, {From: 3, To: 5, Items: []string{"b"}}, {From: 5, To: 9, Items: []string{"c"}}}
		if err := f.Take(0, steps); err != nil {
			t.Fatal(err)
		}
		if got := join(out.news); got != "all a b c" || f.Position() != 9 || f.Changed() != 9 {
			t.Errorf("took %q, is at %d, changed %d", got, f.Position(), f.Changed())
		}
		if err := f.Take(0, []Step[string]{{From: 10, To: 12, Items: []string{"d"}}}); !errors.Is(err, ErrGap) {
			t.Errorf("%v for changes with some missing before them", err)
		}
		if got, known := f.Since(3); !known || len(got) != 2 {
			t.Errorf("hands on %v, %v", got, known)
		}
		if _, known := f.Since(2); known {
			t.Error("claims to know what was before it read the table")
		}
	})
}

// A call that was made before others told of more may be answered after it, with news
// that are old by then.
func TestAnswerThatOthersHaveOvertakenIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		var told atomic.Bool
		src := &source{steps: append(readUpTo3(), step{takes: 2 * time.Minute, batch: Batch[string]{Items: []string{"old"}, At: 5}})}
		f := resting(t, src, out, &told)
		if err := f.Take(0, []Step[string]{{From: 3, To: 7, Items: []string{"new"}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if got := join(out.news); got != "all a new" || f.Position() != 7 {
			t.Errorf("took %q, is at %d", got, f.Position())
		}
	})
}

func TestRecentIsBounded(t *testing.T) {
	var r recent[string]
	r.reset(1, nil)
	for at := Position(1); at < 2*recentSteps; at++ {
		r.add(Step[string]{From: at, To: at + 1})
	}
	if _, known := r.since(recentSteps - 1); known || len(r.steps) > recentSteps {
		t.Errorf("%d steps kept, all after %d known: %v", len(r.steps), recentSteps-1, known)
	}
	if steps, known := r.since(2*recentSteps - 3); !known || len(steps) != 3 || r.changed() != 2*recentSteps {
		t.Errorf("%d steps, known %v, changed %d", len(steps), known, r.changed())
	}
}

func TestRestsAreToldInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		var told atomic.Bool
		told.Store(true)
		asked := 0
		f := &Follower[string]{
			Name: "t", Source: &source{steps: readUpTo3()}, Sink: &sink{}, Wait: Always(time.Second),
			Idle: told.Load, Asked: func() { asked++ }, Log: zap.New(core),
		}
		go f.Run(ctx)
		time.Sleep(time.Minute)
		told.Store(false)
		time.Sleep(time.Minute)
		synctest.Wait()
		all := lines.All()
		if len(all) != 2 || all[0].Message != logging.EventStoreLeft || all[1].Message != logging.EventStoreAsked {
			t.Errorf("lines %v", all)
		}
		if asked != 2 {
			t.Errorf("%d calls told, the read and the one after the rest were made", asked)
		}
	})
}
