package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// step is what a scripted source answers to one call.
type step struct {
	takes time.Duration
	batch Batch[string]
	err   error
}

// source plays its steps and then waits for the end; it notes what was asked.
type source struct {
	steps []step
	asked []string
}

func (s *source) play(ctx context.Context, what string) (Batch[string], error) {
	s.asked = append(s.asked, what)
	if len(s.steps) == 0 {
		<-ctx.Done()
		return Batch[string]{}, ctx.Err()
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	time.Sleep(next.takes)
	return next.batch, next.err
}

func (s *source) Read(ctx context.Context, from string) (Batch[string], error) {
	return s.play(ctx, "read"+from)
}

func (s *source) Next(ctx context.Context, after Position, _ time.Duration) (Batch[string], error) {
	return s.play(ctx, "next after "+string(rune('0'+after)))
}

type sink struct {
	news   []string
	failed int
}

func (s *sink) Reset(_ time.Duration, all Batch[string]) {
	s.news = append(append(s.news, "all"), all.Items...)
}

func (s *sink) Change(_ time.Duration, c Batch[string]) { s.news = append(s.news, c.Items...) }

func (s *sink) Unavailable(error) { s.failed++ }

func (*sink) Available() {}

func TestFollowerReadsThenFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{steps: []step{
			{err: errors.New("down")},
			{batch: Batch[string]{Items: []string{"a"}, At: 3}},
			{batch: Batch[string]{Items: []string{"b"}, At: 5}},
			{err: errors.New("slow")},
			{batch: Batch[string]{Items: []string{"c"}, At: 6}},
			{err: ErrHistoryGone},
			{batch: Batch[string]{Items: []string{"d"}, At: 9}},
		}}
		out := &sink{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := Follower[string]{Name: "t", Source: src, Sink: out, Wait: Always(time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if got, want := join(src.asked), "read read next after 3 next after 5 next after 5 next after 6 read next after 9"; got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
		if got, want := join(out.news), "all a b c all d"; got != want {
			t.Errorf("news %q, want %q", got, want)
		}
		if out.failed != 2 {
			t.Errorf("%d failures told, a lost history is none", out.failed)
		}
	})
}

func join(words []string) string {
	text := ""
	for i, w := range words {
		if i > 0 {
			text += " "
		}
		text += w
	}
	return text
}

// The first answer after a failure shows when the store was back; it isn't held
// back until there is news.
func TestFirstCallAfterAFailureIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := &holding{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		f := Follower[string]{Name: "t", Source: held, Sink: &sink{}, Wait: Always(4 * time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if len(held.waits) < 4 || held.waits[0] < 3*time.Second || held.waits[1] > recheckWait || held.waits[2] < 3*time.Second {
			t.Errorf("waits of %v; the second is the first after a failure", held.waits)
		}
	})
}

// News that come at the end of a wait would leave the proof as old as two waits.
func TestNewsAreConfirmedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &changing{began: time.Now(), every: 1700 * time.Millisecond}
		out := &proving{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		f := Follower[string]{Name: "t", Source: changes, Sink: out, Wait: Always(2 * time.Second), Confirm: func() bool { return true }, Log: zap.NewNop()}
		f.Run(ctx)
		if out.longest > 2*time.Second+recheckWait {
			t.Errorf("%v passed without a proof, a wait is two seconds", out.longest)
		}
	})
}

// proving measures the time between answers that prove what is the newest.
type proving struct {
	last    time.Time
	longest time.Duration
}

func (p *proving) Reset(time.Duration, Batch[string]) { p.last = time.Now() }

func (p *proving) Change(_ time.Duration, changes Batch[string]) {
	if changes.empty() {
		p.longest = max(p.longest, time.Since(p.last))
		p.last = time.Now()
	}
}

func (p *proving) Unavailable(error) {}

func (*proving) Available() {}

// holding has no news; its first call that waits fails.
type holding struct{ waits []time.Duration }

func (h *holding) Read(context.Context, string) (Batch[string], error) { return Batch[string]{}, nil }

func (h *holding) Next(_ context.Context, _ Position, wait time.Duration) (Batch[string], error) {
	h.waits = append(h.waits, wait)
	if len(h.waits) == 1 {
		return Batch[string]{}, errors.New("down")
	}
	time.Sleep(wait)
	return Batch[string]{}, nil
}

// Servers that start together change the list one by one.
func TestChangesThatComeTogetherTakeOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &changing{began: time.Now(), every: 20 * time.Millisecond}
		out := &sink{}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		f := Follower[string]{Name: "t", Source: changes, Sink: out, Wait: Always(time.Second), Gather: 250 * time.Millisecond, Log: zap.NewNop()}
		f.Run(ctx)
		if changes.calls > 15 {
			t.Errorf("%d calls for 100 changes within two seconds", changes.calls)
		}
		if got := len(out.news) - 1; got != 100 {
			t.Errorf("%d changes of 100 were heard of", got)
		}
	})
}

// changing has an item more ever so often, up to a hundred.
type changing struct {
	began time.Time
	every time.Duration
	calls int
}

func (c *changing) Read(context.Context, string) (Batch[string], error) { return Batch[string]{}, nil }

func (c *changing) Next(ctx context.Context, after Position, wait time.Duration) (Batch[string], error) {
	c.calls++
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if now := min(Position(time.Since(c.began)/c.every), 100); now > after {
			return Batch[string]{Items: make([]string, now-after), At: now}, nil
		}
		if ctx.Err() != nil {
			return Batch[string]{}, ctx.Err()
		}
	}
	return Batch[string]{At: after}, nil
}

// A call that is held back is given up when its proof gets old, and the next one
// asks for an answer at once; nobody is told of a failure.
func TestFollowerHurries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &patient{}
		out := &sink{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		began := time.Now()
		proved := began
		f := Follower[string]{
			Name: "t", Source: src, Sink: out, Wait: Always(8 * time.Second), Log: zap.NewNop(),
			Hurry: func() bool { return time.Since(proved) > 3*time.Second },
		}
		src.answered = func() { proved = time.Now() }
		f.Run(ctx)
		if out.failed != 0 {
			t.Errorf("%d failures told", out.failed)
		}
		if len(src.waits) < 8 || src.longest > 3*time.Second+2*hurryEvery {
			t.Errorf("waits of %v, the longest unanswered %v", src.waits, src.longest)
		}
		for i := 1; i < len(src.waits); i += 2 {
			if src.waits[i] != recheckWait {
				t.Errorf("call %d waits %v after one that was given up", i, src.waits[i])
			}
		}
	})
}

// patient holds each answer back for the whole wait.
type patient struct {
	waits    []time.Duration
	longest  time.Duration
	answered func()
}

func (*patient) Read(context.Context, string) (Batch[string], error) {
	return Batch[string]{At: 1}, nil
}

func (p *patient) Next(ctx context.Context, _ Position, wait time.Duration) (Batch[string], error) {
	p.waits = append(p.waits, wait)
	began := time.Now()
	select {
	case <-ctx.Done():
		p.longest = max(p.longest, time.Since(began))
		return Batch[string]{}, ctx.Err()
	case <-time.After(wait):
		p.longest = max(p.longest, time.Since(began))
		p.answered()
		return Batch[string]{At: 1}, nil
	}
}

// While the store is away one follower asks, and the others wait for its success.
func TestOneFollowerAsksWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const away = 2 * time.Second
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var store Health
		leader, other := &outage{until: began.Add(away)}, &outage{until: began.Add(away)}
		var wg conc.WaitGroup
		for _, f := range []*Follower[string]{
			{Name: "leads", Source: leader, Sink: &sink{}, Wait: Always(time.Minute), Store: &store, Leads: true, Log: zap.NewNop()},
			{Name: "waits", Source: other, Sink: &sink{}, Wait: Always(time.Minute), Store: &store, Log: zap.NewNop()},
		} {
			wg.Go(func() { f.Run(ctx) })
		}
		wg.Wait()
		if leader.failed < 4 || other.failed > 2 {
			t.Errorf("%d and %d calls while the store was away", leader.failed, other.failed)
		}
		// Pauses are drawn from up to half as much again.
		if late := other.back.Sub(began.Add(away)); late > longestPause*3/2+2*awaitEvery {
			t.Errorf("the one that waits knew %v after the store was back", late)
		}
	})
}

// outage fails until a time.
type outage struct {
	until  time.Time
	failed int
	back   time.Time
}

func (o *outage) Read(context.Context, string) (Batch[string], error) {
	if time.Now().Before(o.until) {
		o.failed++
		return Batch[string]{}, errors.New("away")
	}
	o.back = time.Now()
	return Batch[string]{At: 1}, nil
}

func (o *outage) Next(ctx context.Context, _ Position, _ time.Duration) (Batch[string], error) {
	<-ctx.Done()
	return Batch[string]{}, ctx.Err()
}
