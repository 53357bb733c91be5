package usage

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

func rowsOf(value []byte) []storage.Row { return []storage.Row{{Value: value}} }

// fleet is a few gateways that exchange updates at once.
type fleet struct {
	mu      sync.Mutex
	members []*member
	table   *storagetest.Table
	judge   *judge
	// gossiping ends with stop.
	gossiping sync.WaitGroup
	stop      context.CancelFunc
}

type member struct {
	fleet *fleet
	*Reporter
	stop context.CancelFunc
	wg   sync.WaitGroup
	// cut says that it and the others are partitioned from each other, alone that it has no way
	// to the store.
	cut, alone bool
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{table: storagetest.NewTable(), judge: newJudge(t)}
	for i, name := range names {
		f.start(t, name, uint64(i+1))
	}
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	f.gossiping.Go(func() { f.gossip(ctx) })
	return f
}

func (f *fleet) start(t *testing.T, name string, start uint64) *member {
	m := &member{fleet: f}
	m.Reporter = NewReporter(Config{
		Name: name, Start: start, Windows: fiveSeconds, Delay: 10 * time.Second, LeaseTime: 3 * time.Second,
		Table: way{m}, Platform: f.judge, Now: time.Now, Others: m, Able: func() bool { return !m.is(&m.alone) }, Observer: silent{}, Log: zap.NewNop(),
	})
	ctx, stop := context.WithCancel(t.Context())
	m.stop = stop
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	m.wg.Go(func() { m.Run(ctx) })
	return m
}

// kill ends a member without a word.
func (f *fleet) kill(m *member) {
	f.set(&m.cut, true)
	f.set(&m.alone, true)
	f.mu.Lock()
	for i := range f.members {
		if f.members[i] == m {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	m.stop()
	m.wg.Wait()
}

func (f *fleet) set(flag *bool, to bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*flag = to
}

func (m *member) is(flag *bool) bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return *flag
}

// gossip sends each member's updates to the others ten times a second.
func (f *fleet) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		all := append([]*member(nil), f.members...)
		f.mu.Unlock()
		for _, to := range all {
			for _, from := range all {
				if to != from && !to.is(&to.cut) && !from.is(&from.cut) {
					s := Source{Gateway: from.Name, Start: from.Start}
					to.Aggregate.Merge(time.Now(), s, from.Counter.Update(to.Aggregate.Sequence(s)))
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (m *member) livePeers() []*member {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var all []*member
	for _, o := range m.fleet.members {
		if o != m && !o.cut && !m.cut {
			all = append(all, o)
		}
	}
	return all
}

func (m *member) Reporting() bool {
	for _, o := range m.livePeers() {
		if o.Holds() {
			return true
		}
	}
	return false
}

func (m *member) Before() int {
	n := 0
	for _, o := range m.livePeers() {
		if o.Name < m.Name && !o.is(&o.alone) {
			n++
		}
	}
	return n
}

// way is a member's way to the table.
type way struct{ m *member }

func (w way) Get(ctx context.Context, key string) (storage.Row, error) {
	if w.m.is(&w.m.alone) {
		return storage.Row{}, storage.ErrUnavailable
	}
	return w.m.fleet.table.Get(ctx, key)
}

func (w way) List(ctx context.Context, prefix string) ([]storage.Row, error) {
	if w.m.is(&w.m.alone) {
		return nil, storage.ErrUnavailable
	}
	return w.m.fleet.table.List(ctx, prefix)
}

func (w way) Commit(ctx context.Context, writes []storage.Write) error {
	if w.m.is(&w.m.alone) {
		return storage.ErrOutcomeUnknown
	}
	return w.m.fleet.table.Commit(ctx, writes)
}

func (w way) Era() uint64 { return w.m.fleet.table.Era() }

type silent struct{}

func (silent) Reported(time.Duration, bool) {}
func (silent) Refused(error)                {}

// holder waits until one member holds the duty.
func (f *fleet) holder(t *testing.T) *member {
	t.Helper()
	for range 200 {
		f.mu.Lock()
		all := append([]*member(nil), f.members...)
		f.mu.Unlock()
		for _, m := range all {
			if m.Holds() {
				return m
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("nobody holds the duty")
	return nil
}

// load has each member begin a request of each of two customers ten times a second, for a
// time.
func (f *fleet) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.mu.Lock()
		for _, m := range f.members {
			m.Counter.Began("a")
			m.Counter.Began("b")
		}
		f.mu.Unlock()
	}
}

// play runs a test in a bubble of its own time, with three gateways of which one holds the
// duty and has reported.
func play(t *testing.T, do func(t *testing.T, f *fleet, holder *member)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.load(15 * time.Second)
		do(t, f, f.holder(t))
		f.mu.Lock()
		all := append([]*member(nil), f.members...)
		f.mu.Unlock()
		for _, m := range all {
			f.kill(m)
		}
		f.stop()
		f.gossiping.Wait()
	})
}

// expectReported checks that windows have been reported in time, whole to a part.
func (f *fleet) expectReported(t *testing.T, from, to uint64, want int64, off float64) {
	t.Helper()
	f.judge.mu.Lock()
	defer f.judge.mu.Unlock()
	for w := from; w <= to; w++ {
		counts, ok := f.judge.taken[w]
		if !ok || f.judge.at[w] > 10*time.Second {
			t.Errorf("window %d: reported %v, after %v", w, ok, f.judge.at[w])
			continue
		}
		if got := float64(counts["a"]); got < float64(want)*(1-off) || got > float64(want)*(1+off) {
			t.Errorf("window %d: %v requests, want %d", w, got, want)
		}
	}
}

func thisWindow() uint64 { return fiveSeconds.Number(time.Now()) }

// perWindow is what the three members begin for a customer in a window.
const perWindow = 150
