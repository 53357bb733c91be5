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

// scriptedCall is the result of one call to a scriptedSource.
type scriptedCall struct {
	duration time.Duration
	batch    Batch[string]
	err      error
}

// scriptedSource returns its scripted results in order, then blocks until the context ends. It
// records the requests.
type scriptedSource struct {
	calls    []scriptedCall
	requests []string
}

func (s *scriptedSource) respond(ctx context.Context, request string) (Batch[string], error) {
	s.requests = append(s.requests, request)
	if len(s.calls) == 0 {
		<-ctx.Done()
		return Batch[string]{}, ctx.Err()
	}
	next := s.calls[0]
	s.calls = s.calls[1:]
	time.Sleep(next.duration)
	return next.batch, next.err
}

func (s *scriptedSource) Read(ctx context.Context, from string) (Batch[string], error) {
	return s.respond(ctx, "read"+from)
}

func (s *scriptedSource) Next(ctx context.Context, after Position, _ time.Duration) (Batch[string], error) {
	return s.respond(ctx, "next after "+string(rune('0'+after)))
}

type recordingSink struct {
	items    []string
	failures int
}

func (s *recordingSink) Reset(_ time.Duration, all Batch[string]) {
	s.items = append(append(s.items, "all"), all.Items...)
}

func (s *recordingSink) Change(_ time.Duration, changes Batch[string]) {
	s.items = append(s.items, changes.Items...)
}

func (s *recordingSink) Unavailable(error) { s.failures++ }

func (*recordingSink) Available() {}

func TestFollowerReadsTableThenPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{calls: []scriptedCall{
			{err: errors.New("down")},
			{batch: Batch[string]{Items: []string{"a"}, Position: 3}},
			{batch: Batch[string]{Items: []string{"b"}, Position: 5}},
			{err: errors.New("slow")},
			{batch: Batch[string]{Items: []string{"c"}, Position: 6}},
			{err: ErrHistoryGone},
			{batch: Batch[string]{Items: []string{"d"}, Position: 9}},
		}}
		sink := &recordingSink{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if got, want := join(src.requests), "read read next after 3 next after 5 next after 5 next after 6 read next after 9"; got != want {
			t.Errorf("requests %q, want %q", got, want)
		}
		if got, want := join(sink.items), "all a b c all d"; got != want {
			t.Errorf("sink got %q, want %q", got, want)
		}
		if sink.failures != 2 {
			t.Errorf("sink got %d failures, want 2: a lost history is not a failure", sink.failures)
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

// The first response after a failure shows when the store was back, so the store must not hold it
// back until there is a change.
func TestFirstPollAfterFailureIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &failOnceSource{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		f := Follower[string]{Name: "t", Source: src, Sink: &recordingSink{}, MaxWait: FixedWait(4 * time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if len(src.waits) < 4 || src.waits[0] < 3*time.Second || src.waits[1] > immediateWait || src.waits[2] < 3*time.Second {
			t.Errorf("waits %v; the second follows a failure and must be short", src.waits)
		}
	})
}

// Only a response without changes confirms that the known state is the newest. Unless a change is
// followed by a short poll, one that comes at the end of a wait makes the last confirmation as old as
// two waits.
func TestChangesAreConfirmedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &growingSource{started: time.Now(), interval: 1700 * time.Millisecond}
		sink := &confirmationSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		f := Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(2 * time.Second), ConfirmChanges: func() bool { return true }, Log: zap.NewNop()}
		f.Run(ctx)
		if sink.longestGap > 2*time.Second+immediateWait {
			t.Errorf("%v passed without confirmation with a wait of two seconds", sink.longestGap)
		}
	})
}

// confirmationSink measures the longest time between responses without changes, which confirm that
// the known state is the newest.
type confirmationSink struct {
	lastConfirmed time.Time
	longestGap    time.Duration
}

func (s *confirmationSink) Reset(time.Duration, Batch[string]) { s.lastConfirmed = time.Now() }

func (s *confirmationSink) Change(_ time.Duration, changes Batch[string]) {
	if changes.empty() {
		s.longestGap = max(s.longestGap, time.Since(s.lastConfirmed))
		s.lastConfirmed = time.Now()
	}
}

func (s *confirmationSink) Unavailable(error) {}

func (*confirmationSink) Available() {}

// failOnceSource has no changes; its first long poll fails.
type failOnceSource struct{ waits []time.Duration }

func (s *failOnceSource) Read(context.Context, string) (Batch[string], error) {
	return Batch[string]{}, nil
}

func (s *failOnceSource) Next(_ context.Context, _ Position, wait time.Duration) (Batch[string], error) {
	s.waits = append(s.waits, wait)
	if len(s.waits) == 1 {
		return Batch[string]{}, errors.New("down")
	}
	time.Sleep(wait)
	return Batch[string]{}, nil
}

// Servers that start together change the table one by one. The follower has to get these changes
// with few calls, since each call is paid for.
func TestSuccessiveChangesAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &growingSource{started: time.Now(), interval: 20 * time.Millisecond}
		sink := &recordingSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		f := Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(time.Second), CoalesceDelay: 250 * time.Millisecond, Log: zap.NewNop()}
		f.Run(ctx)
		if src.calls > 15 {
			t.Errorf("%d calls for 100 changes within two seconds", src.calls)
		}
		if got := len(sink.items) - 1; got != 100 {
			t.Errorf("sink got %d of 100 changes", got)
		}
	})
}

// growingSource adds one item each interval, up to a hundred.
type growingSource struct {
	started  time.Time
	interval time.Duration
	calls    int
}

func (s *growingSource) Read(context.Context, string) (Batch[string], error) {
	return Batch[string]{}, nil
}

func (s *growingSource) Next(ctx context.Context, after Position, wait time.Duration) (Batch[string], error) {
	s.calls++
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if newest := min(Position(time.Since(s.started)/s.interval), 100); newest > after {
			return Batch[string]{Items: make([]string, newest-after), Position: newest}, nil
		}
		if ctx.Err() != nil {
			return Batch[string]{}, ctx.Err()
		}
	}
	return Batch[string]{Position: after}, nil
}

// A long poll is cancelled when the last confirmation gets too old, and the next call uses a short
// wait. The sink must not see this as a failure.
func TestLongPollIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &slowSource{}
		sink := &recordingSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		started := time.Now()
		confirmed := started
		f := Follower[string]{
			Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(8 * time.Second), Log: zap.NewNop(),
			ShouldCancelPoll: func() bool { return time.Since(confirmed) > 3*time.Second },
		}
		src.onResponse = func() { confirmed = time.Now() }
		f.Run(ctx)
		if sink.failures != 0 {
			t.Errorf("sink got %d failures, want none", sink.failures)
		}
		if len(src.waits) < 8 || src.longest > 3*time.Second+2*cancelCheckInterval {
			t.Errorf("waits %v, longest call %v", src.waits, src.longest)
		}
		for i := 1; i < len(src.waits); i += 2 {
			if src.waits[i] != immediateWait {
				t.Errorf("call %d waits %v after a cancelled call", i, src.waits[i])
			}
		}
	})
}

// slowSource holds each response back for the whole wait.
type slowSource struct {
	waits      []time.Duration
	longest    time.Duration
	onResponse func()
}

func (*slowSource) Read(context.Context, string) (Batch[string], error) {
	return Batch[string]{Position: 1}, nil
}

func (s *slowSource) Next(ctx context.Context, _ Position, wait time.Duration) (Batch[string], error) {
	s.waits = append(s.waits, wait)
	started := time.Now()
	select {
	case <-ctx.Done():
		s.longest = max(s.longest, time.Since(started))
		return Batch[string]{}, ctx.Err()
	case <-time.After(wait):
		s.longest = max(s.longest, time.Since(started))
		s.onResponse()
		return Batch[string]{Position: 1}, nil
	}
}

// While the store is unavailable, one follower calls it and the others wait until that one
// succeeds.
func TestOnlyProbingFollowerCallsUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 2 * time.Second
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var store Health
		probingSource, waitingSource := &unavailableSource{until: started.Add(outage)}, &unavailableSource{until: started.Add(outage)}
		var wg conc.WaitGroup
		for _, f := range []*Follower[string]{
			{Name: "probing", Source: probingSource, Sink: &recordingSink{}, MaxWait: FixedWait(time.Minute), StoreHealth: &store, ProbesStore: true, Log: zap.NewNop()},
			{Name: "waiting", Source: waitingSource, Sink: &recordingSink{}, MaxWait: FixedWait(time.Minute), StoreHealth: &store, Log: zap.NewNop()},
		} {
			wg.Go(func() { f.Run(ctx) })
		}
		wg.Wait()
		if probingSource.failures < 4 || waitingSource.failures > 2 {
			t.Errorf("%d calls of the probing and %d of the waiting follower while the store was unavailable", probingSource.failures, waitingSource.failures)
		}
		// The backoff randomizes delays by up to half.
		if late := waitingSource.firstSuccess.Sub(started.Add(outage)); late > maxRetryDelay*3/2+2*availabilityCheckInterval {
			t.Errorf("the waiting follower called %v after the store was back", late)
		}
	})
}

// unavailableSource fails until a given time.
type unavailableSource struct {
	until        time.Time
	failures     int
	firstSuccess time.Time
}

func (s *unavailableSource) Read(context.Context, string) (Batch[string], error) {
	if time.Now().Before(s.until) {
		s.failures++
		return Batch[string]{}, errors.New("unavailable")
	}
	s.firstSuccess = time.Now()
	return Batch[string]{Position: 1}, nil
}

func (s *unavailableSource) Next(ctx context.Context, _ Position, _ time.Duration) (Batch[string], error) {
	<-ctx.Done()
	return Batch[string]{}, ctx.Err()
}
