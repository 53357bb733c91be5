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

// startIdle starts a follower that has read its table up to position 3 and is idle while the flag
// is set.
func startIdle(t *testing.T, source *scriptedSource, sink *recordingSink, idle *atomic.Bool) *Follower[string] {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &Follower[string]{
		Name: "t", Source: source, Sink: sink, MaxWait: FixedWait(time.Second), CoalesceDelay: 200 * time.Millisecond,
		Idle: idle.Load, Log: zap.NewNop(),
	}
	go f.Run(ctx)
	time.Sleep(time.Minute)
	synctest.Wait()
	return f
}

func readUpToPosition3() []scriptedCall {
	return []scriptedCall{{batch: Batch[string]{Items: []string{"a"}, Position: 3}}}
}

func TestIdleFollowerMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{calls: readUpToPosition3()}
		var idle atomic.Bool
		idle.Store(true)
		f := startIdle(t, src, &recordingSink{}, &idle)
		if got := join(src.requests); got != "read" || f.Live() {
			t.Errorf("requests %q, live %v, while idle", got, f.Live())
		}
		idle.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := join(src.requests); got != "read next after 3" {
			t.Errorf("requests %q after the idle period", got)
		}
	})
}

// Other gateways wait until this one announces that it polls the store, so its first response after
// an idle period must not wait for changes.
func TestFirstPollAfterIdleIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &failOnceSource{}
		var idle atomic.Bool
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := &Follower[string]{
			Name: "t", Source: src, Sink: &recordingSink{}, MaxWait: FixedWait(4 * time.Second), Idle: idle.Load, Log: zap.NewNop(),
		}
		var wg conc.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		idle.Store(true)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		before := len(src.waits)
		idle.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(src.waits) <= before || src.waits[before] > immediateWait || !f.Live() {
			t.Errorf("waits %v, of which %d were before the idle period", src.waits, before)
		}
		cancel()
		wg.Wait()
	})
}

func TestSharedDeltasAreAppliedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingSink{}
		var idle atomic.Bool
		idle.Store(true)
		f := startIdle(t, &scriptedSource{calls: readUpToPosition3()}, sink, &idle)
		if f.LastChange() != 0 || f.LastKnown() != 3 {
			t.Errorf("last change %d, last known %d after the complete table was read", f.LastChange(), f.LastKnown())
		}
		deltas := []Delta[string]{{From: 2, To: 3, Items: []string{"old"}}, {From: 3, To: 5, Items: []string{"b"}}, {From: 5, To: 9, Items: []string{"c"}}}
		if err := f.ApplyDeltas(0, deltas); err != nil {
			t.Fatal(err)
		}
		if got := join(sink.items); got != "all a b c" || f.Position() != 9 || f.LastChange() != 9 {
			t.Errorf("sink got %q, position %d, last change %d", got, f.Position(), f.LastChange())
		}
		if err := f.ApplyDeltas(0, []Delta[string]{{From: 10, To: 12, Items: []string{"d"}}}); !errors.Is(err, ErrGap) {
			t.Errorf("error %v for deltas after a gap, want ErrGap", err)
		}
		if got, complete := f.DeltasSince(3); !complete || len(got) != 2 {
			t.Errorf("shares deltas %v, complete: %v", got, complete)
		}
		if _, complete := f.DeltasSince(2); complete {
			t.Error("claims to know the changes before the table was read")
		}
	})
}

// Other gateways may share later changes during a call. The response to that call is then outdated
// and must be dropped.
func TestOutdatedResponseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingSink{}
		var idle atomic.Bool
		src := &scriptedSource{calls: append(readUpToPosition3(), scriptedCall{duration: 2 * time.Minute, batch: Batch[string]{Items: []string{"old"}, Position: 5}})}
		f := startIdle(t, src, sink, &idle)
		if err := f.ApplyDeltas(0, []Delta[string]{{From: 3, To: 7, Items: []string{"new"}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if got := join(sink.items); got != "all a new" || f.Position() != 7 {
			t.Errorf("sink got %q, position %d", got, f.Position())
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	var h history[string]
	h.reset(1, nil)
	for position := Position(1); position < 2*maxHistoryDeltas; position++ {
		h.add(Delta[string]{From: position, To: position + 1})
	}
	if _, complete := h.since(maxHistoryDeltas - 1); complete || len(h.deltas) > maxHistoryDeltas {
		t.Errorf("%d deltas kept, complete after %d: %v", len(h.deltas), maxHistoryDeltas-1, complete)
	}
	if deltas, complete := h.since(2*maxHistoryDeltas - 3); !complete || len(deltas) != 3 || h.lastChange() != 2*maxHistoryDeltas {
		t.Errorf("%d deltas, complete: %v, last change %d", len(deltas), complete, h.lastChange())
	}
}

func TestIdlePeriodsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		var idle atomic.Bool
		idle.Store(true)
		calls := 0
		f := &Follower[string]{
			Name: "t", Source: &scriptedSource{calls: readUpToPosition3()}, Sink: &recordingSink{}, MaxWait: FixedWait(time.Second),
			Idle: idle.Load, OnCall: func() { calls++ }, Log: zap.New(core),
		}
		go f.Run(ctx)
		time.Sleep(time.Minute)
		idle.Store(false)
		time.Sleep(time.Minute)
		synctest.Wait()
		all := lines.All()
		if len(all) != 2 || all[0].Message != logging.EventStorePollingStopped || all[1].Message != logging.EventStorePollingStarted {
			t.Errorf("log lines %v", all)
		}
		if calls != 2 {
			t.Errorf("%d calls counted, want 2: the full read and the poll after the idle period", calls)
		}
	})
}

// waitingSink is a Sink whose Change waits until wait returns.
type waitingSink struct {
	recordingSink
	wait func()
}

func (s *waitingSink) Change(asOf time.Duration, changes Batch[string]) {
	s.wait()
	s.recordingSink.Change(asOf, changes)
}

// Guards against a deadlock: the status that gateways send is read while locks are held for which a Sink may
// wait, so that reading it must not wait for the Sink.
func TestStatusIsReadWhileSinkWaits(t *testing.T) {
	sink := &waitingSink{}
	f := &Follower[string]{Name: "t", Source: &scriptedSource{}, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
	if err := f.ApplyDeltas(0, []Delta[string]{{To: 5, Items: []string{"a"}, Snapshot: true}}); err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{})
	sink.wait = func() {
		select {
		case <-read:
		case <-time.After(5 * time.Second):
			t.Error("the status can't be read while the sink is called")
		}
	}
	applied := make(chan error)
	go func() { applied <- f.ApplyDeltas(0, []Delta[string]{{From: 5, To: 6, Items: []string{"b"}}}) }()
	time.Sleep(10 * time.Millisecond)
	f.ConfirmedAt()
	f.LastKnown()
	f.LastChange()
	f.Live()
	close(read)
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
}

// Guards against a confirmation that is sent with an older position than the one it is about: the time must
// become visible after the change that it covers.
func TestConfirmationIsVisibleAfterItsChange(t *testing.T) {
	sink := &waitingSink{}
	f := &Follower[string]{Name: "t", Source: &scriptedSource{}, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
	if err := f.applyFullRead(1, Batch[string]{Position: 5}); err != nil {
		t.Fatal(err)
	}
	sink.wait = func() {
		if got := f.ConfirmedAt(); got != 1 {
			t.Errorf("confirmed at %d before the change at position 6 is known", got)
		}
	}
	f.applyChanges(2, Batch[string]{Position: 6, Items: []string{"a"}})
	if f.ConfirmedAt() != 2 || f.LastKnown() != 6 {
		t.Errorf("confirmed at %d, position %d", f.ConfirmedAt(), f.LastKnown())
	}
}

// Guards against a follower that relies on other gateways though its table is too old for that.
func TestOverdueFollowerPollsThoughOthersDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{calls: readUpToPosition3()}
		var overdue atomic.Bool
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := &Follower[string]{
			Name: "t", Source: src, Sink: &recordingSink{}, MaxWait: FixedWait(time.Second), Log: zap.NewNop(),
			Idle: func() bool { return true }, Overdue: overdue.Load,
		}
		time.AfterFunc(20*time.Second, func() { overdue.Store(true) })
		f.Run(ctx)
		if got := join(src.requests); got != "read next after 3" {
			t.Errorf("requests %q, want a poll once the table is overdue", got)
		}
	})
}
