package follow

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// A page that fails is requested again without the pages before it.
func TestPagedReadResumesAtFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{calls: []scriptedCall{
			{batch: Batch[string]{Items: []string{"a"}, Position: 7, NextPage: "/b"}},
			{err: errors.New("rejected")},
			{batch: Batch[string]{Items: []string{"b"}, Unreadable: []string{"x"}, Position: 9, NextPage: "/c"}},
			{err: errors.New("rejected")},
			{batch: Batch[string]{Items: []string{"c"}, Position: 8}},
			{err: ErrHistoryGone},
			{batch: Batch[string]{Items: []string{"d"}, Position: 20}},
		}}
		sink := &recordingSink{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if got, want := join(src.requests[:7]), "read read/b read/b read/c read/c next after 7 read"; got != want {
			t.Errorf("requests %q, want %q", got, want)
		}
		if got, want := join(sink.items), "all a b c all d"; got != want {
			t.Errorf("sink got %q, want %q", got, want)
		}
	})
}

// Pages that are too old are read again, since the store may have lost the changes since then.
func TestOldPagesAreDiscarded(t *testing.T) {
	var r pagedRead[string]
	src := &scriptedSource{calls: []scriptedCall{
		{batch: Batch[string]{Items: []string{"a"}, Position: 7, NextPage: "/b"}},
		{err: errors.New("rejected")},
		{batch: Batch[string]{Items: []string{"b"}, Position: 9}},
	}}
	if err := r.read(t.Context(), src); err == nil {
		t.Fatal("no error from a failed page")
	}
	r.startedAt -= 2 * maxPagedReadAge
	if err := r.read(t.Context(), src); err != nil {
		t.Fatal(err)
	}
	if got, want := join(src.requests), "read read/b read"; got != want || r.batch.Position != 9 {
		t.Errorf("requests %q, want %q; position %d", got, want, r.batch.Position)
	}
}

// limitedStore limits the rate of successful calls and rejects the rest.
type limitedStore struct {
	mu        sync.Mutex
	perTick   int
	remaining int
	pages     int
	calls     int
}

const refillInterval = 10 * time.Millisecond

// refill resets the number of allowed calls in each interval.
func (s *limitedStore) refill(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.remaining = s.perTick
		s.mu.Unlock()
		time.Sleep(refillInterval)
	}
}

func (s *limitedStore) Read(_ context.Context, from string) (Batch[string], error) {
	const responseTime = 4 * time.Millisecond
	time.Sleep(responseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.remaining == 0 {
		return Batch[string]{}, errors.New("too many calls")
	}
	s.remaining--
	page, _ := strconv.Atoi(from)
	batch := Batch[string]{Items: []string{from}, Position: 1}
	if page+1 < s.pages {
		batch.NextPage = strconv.Itoa(page + 1)
	}
	return batch, nil
}

func (s *limitedStore) Next(ctx context.Context, after Position, wait time.Duration) (Batch[string], error) {
	time.Sleep(wait)
	return Batch[string]{Position: after}, ctx.Err()
}

// resetTimeSink sends the time at which the complete table was received.
type resetTimeSink struct {
	resets chan<- time.Time
}

func (s resetTimeSink) Reset(time.Duration, Batch[string])  { s.resets <- time.Now() }
func (s resetTimeSink) Change(time.Duration, Batch[string]) {}
func (s resetTimeSink) Unavailable(error)                   {}

func (resetTimeSink) Available() {}

// Hundreds of gateways restart at the same moment after all were killed. They must have the list of
// thousands of servers within two seconds, although the store's rate limit allows hardly more calls
// in one second than they need in total.
func TestSimultaneousStartWithRateLimitedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, perSecond, pages = 300, 2000, 6
		ctx, cancel := context.WithCancel(t.Context())
		store := &limitedStore{perTick: perSecond / int(time.Second/refillInterval), pages: pages}
		var wg conc.WaitGroup
		wg.Go(func() { store.refill(ctx) })
		resets, started := make(chan time.Time, gateways), time.Now()
		for range gateways {
			f := Follower[string]{Name: "t", Source: store, Sink: resetTimeSink{resets}, MaxWait: FixedWait(15 * time.Second), Log: zap.NewNop()}
			wg.Go(func() { f.Run(ctx) })
		}
		var last time.Duration
		for range gateways {
			last = (<-resets).Sub(started)
		}
		t.Logf("the last of %d gateways received the table after %v; %d calls, %d needed", gateways, last, store.calls, gateways*pages)
		if last > 2*time.Second {
			t.Errorf("the last of %d gateways received the table after %v", gateways, last)
		}
		cancel()
		wg.Wait()
	})
}

// A first page that fails must not leave a start time behind: what is read later is as of the call
// that returned it.
func TestFailedFirstPageLeavesNoStartTime(t *testing.T) {
	var r pagedRead[string]
	src := &scriptedSource{calls: []scriptedCall{
		{err: errors.New("unavailable")},
		{batch: Batch[string]{Items: []string{"a"}, Position: 7}},
	}}
	if err := r.read(t.Context(), src); err == nil {
		t.Fatal("no error from an unavailable store")
	}
	r.startedAt -= maxPagedReadAge / 2
	before := r.startedAt + maxPagedReadAge/4
	if err := r.read(t.Context(), src); err != nil {
		t.Fatal(err)
	}
	if r.startedAt < before {
		t.Errorf("the read is as of a call that failed, %v too early", before-r.startedAt)
	}
}
