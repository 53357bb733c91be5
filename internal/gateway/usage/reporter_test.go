package usage

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

func rowsOf(value []byte) []storage.Row { return []storage.Row{{Value: value}} }

// judge is a platform that takes reports and says what breaks: two of one window that
// differ, two holders of one generation.
type judge struct {
	t  *testing.T
	mu sync.Mutex
	// answer is what becomes of the next calls; nil for the platform's own answer.
	answer  func() error
	taken   map[uint64]map[string]int64
	at      map[uint64]time.Duration
	holders map[uint64]string
	newest  uint64
	calls   int
	turns   []string
}

func newJudge(t *testing.T) *judge {
	return &judge{t: t, taken: map[uint64]map[string]int64{}, at: map[uint64]time.Duration{}, holders: map[uint64]string{}}
}

func (j *judge) Report(_ context.Context, h Holder, r Report) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls++
	if j.answer != nil {
		if err := j.answer(); err != nil {
			return err
		}
	}
	return j.execute(h, r)
}

// execute carries a call out; j.mu is held.
func (j *judge) execute(h Holder, r Report) error {
	if other, ok := j.holders[h.Generation]; ok && other != h.Name {
		j.t.Errorf("%s and %s report under generation %d", other, h.Name, h.Generation)
	}
	j.holders[h.Generation] = h.Name
	if h.Generation < j.newest {
		return ErrDeposed
	}
	j.newest = h.Generation
	if len(j.turns) == 0 || j.turns[len(j.turns)-1] != h.Name {
		j.turns = append(j.turns, h.Name)
	}
	if before, ok := j.taken[r.Window]; ok && !maps.Equal(before, r.Counts) {
		j.t.Errorf("window %d was reported as %v and %v", r.Window, before, r.Counts)
	}
	if _, ok := j.taken[r.Window]; !ok {
		j.taken[r.Window], j.at[r.Window] = maps.Clone(r.Counts), time.Since(fiveSeconds.End(r.Window))
	}
	return nil
}

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

func TestWindowsAreReportedOnce(t *testing.T) {
	play(t, func(t *testing.T, f *fleet, _ *member) {
		first := thisWindow()
		f.load(30 * time.Second)
		f.expectReported(t, first, thisWindow()-2, perWindow, 0.02)
		if calls := f.judge.calls; calls > len(f.judge.taken) {
			t.Errorf("%d calls for %d windows", calls, len(f.judge.taken))
		}
	})
}

// A successor has the counts of a holder that is killed, and those of its own that it sent.
func TestSuccessorReportsInTime(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 1300 * time.Millisecond, 4900 * time.Millisecond, 5200 * time.Millisecond} {
		play(t, func(t *testing.T, f *fleet, holder *member) {
			first := thisWindow()
			f.load(after)
			f.kill(holder)
			// Two go on: what is lost is what the third would have begun.
			f.load(30 * time.Second)
			f.expectReported(t, first+2, thisWindow()-2, perWindow*2/3, 0.02)
			f.judge.mu.Lock()
			defer f.judge.mu.Unlock()
			for w := first; w < first+2; w++ {
				if f.judge.at[w] > 10*time.Second || f.judge.taken[w]["a"] < perWindow*2/3*95/100 {
					t.Errorf("window %d: %v after %v", w, f.judge.taken[w], f.judge.at[w])
				}
			}
		})
	}
}

// All that was sent survives the loss of all gateways.
func TestCountsOutliveAllGateways(t *testing.T) {
	play(t, func(t *testing.T, f *fleet, holder *member) {
		for time.Until(fiveSeconds.End(thisWindow())) > time.Second {
			f.load(100 * time.Millisecond)
		}
		window := thisWindow()
		for _, m := range []string{"a", "b", "c"} {
			for _, member := range append([]*member(nil), f.members...) {
				if member.Name == m {
					f.kill(member)
				}
			}
		}
		f.start(t, "a", 11)
		f.start(t, "b", 12)
		time.Sleep(12 * time.Second)
		// Four seconds were sent, less the last renewal of the lease.
		f.expectReported(t, window, window, perWindow*3/5+perWindow/10, 0.25)
	})
}

// A holder that has no way to the store gives the duty up to one that has.
func TestHolderWithoutTheStoreGivesUp(t *testing.T) {
	play(t, func(t *testing.T, f *fleet, holder *member) {
		first := thisWindow()
		f.set(&holder.alone, true)
		f.load(20 * time.Second)
		f.expectReported(t, first, thisWindow()-2, perWindow, 0.02)
		f.set(&holder.alone, false)
		f.load(20 * time.Second)
		if turns := len(f.judge.turns); turns != 2 {
			t.Errorf("holders acted in the order %v", f.judge.turns)
		}
	})
}

// Two partitioned halves have one holder, which the store decides.
func TestHalvesHaveOneHolder(t *testing.T) {
	play(t, func(t *testing.T, f *fleet, holder *member) {
		f.set(&holder.cut, true)
		f.load(40 * time.Second)
		if turns := f.judge.turns; len(turns) > 1 {
			t.Errorf("holders acted in the order %v while one had the lease", turns)
		}
	})
}

// While the store is away reports wait; they come once it is back, and once each.
func TestReportsWaitForTheStore(t *testing.T) {
	play(t, func(t *testing.T, f *fleet, _ *member) {
		first := thisWindow()
		f.table.SetDown(true)
		f.load(9 * time.Second)
		f.table.SetDown(false)
		f.load(20 * time.Second)
		f.judge.mu.Lock()
		defer f.judge.mu.Unlock()
		for w := first; w < thisWindow()-1; w++ {
			if got := f.judge.taken[w]["a"]; got < perWindow*98/100 || got > perWindow*102/100 {
				t.Errorf("window %d: %d requests", w, got)
			}
		}
	})
}

// Answers of the store are lost, and writes are carried out late.
func TestLostAndLateWrites(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultLost, storagetest.FaultDropped, storagetest.FaultLate, storagetest.FaultDown, storagetest.FaultSlow} {
		play(t, func(t *testing.T, f *fleet, _ *member) {
			first := thisWindow()
			for range 10 {
				f.table.FailCommits(storagetest.FaultNone, fault, fault, storagetest.FaultNone)
				f.load(2 * time.Second)
				f.table.Land()
			}
			f.load(15 * time.Second)
			f.judge.mu.Lock()
			defer f.judge.mu.Unlock()
			for w := first; w < thisWindow()-2; w++ {
				if got := f.judge.taken[w]["a"]; got < perWindow*95/100 {
					t.Errorf("fault %d, window %d: %d requests", fault, w, got)
				}
			}
		})
	}
}

// A platform that doesn't answer, or is busy, gets the same report again.
func TestReportsAreSentAgain(t *testing.T) {
	for _, err := range []error{ErrBusy, ErrNoAnswer, ErrRefused} {
		play(t, func(t *testing.T, f *fleet, _ *member) {
			first := thisWindow()
			n := 0
			f.judge.mu.Lock()
			f.judge.answer = func() error {
				if n++; n%4 != 0 {
					return err
				}
				return nil
			}
			f.judge.mu.Unlock()
			f.load(30 * time.Second)
			f.expectReported(t, first, thisWindow()-3, perWindow, 0.02)
		})
	}
}

// Who is refused since another has a higher generation calls no more under its own, and
// leaves the duty to others.
func TestDeposedHolderStepsDown(t *testing.T) {
	play(t, func(t *testing.T, f *fleet, holder *member) {
		generation := holder.Generation()
		f.judge.mu.Lock()
		f.judge.newest = generation + 1
		f.judge.mu.Unlock()
		f.load(7 * time.Second)
		f.judge.mu.Lock()
		refused := f.judge.calls
		f.judge.mu.Unlock()
		f.load(20 * time.Second)
		if now := f.holder(t); now.Name == holder.Name || now.Generation() <= generation {
			t.Errorf("%s holds generation %d after %s was refused with %d", now.Name, now.Generation(), holder.Name, generation)
		}
		if refused == 0 {
			t.Error("nothing was refused")
		}
	})
}

// The store comes back from an older copy without the last reports: what may have been
// sent isn't counted again, and no generation is given out twice.
func TestNothingIsReportedTwiceAfterAReturn(t *testing.T) {
	for _, kill := range []bool{false, true} {
		play(t, func(t *testing.T, f *fleet, holder *member) {
			older := f.table.Copy()
			first := thisWindow()
			f.load(12 * time.Second)
			before := holder.Generation()
			f.table.Return(older)
			if kill {
				f.kill(holder)
			}
			f.load(30 * time.Second)
			if now := f.holder(t); now.Generation() <= before {
				t.Errorf("generation %d after %d", now.Generation(), before)
			}
			f.judge.mu.Lock()
			defer f.judge.mu.Unlock()
			for w := first + 4; w < thisWindow()-2; w++ {
				if _, ok := f.judge.taken[w]; !ok {
					t.Errorf("window %d isn't reported, killed %v", w, kill)
				}
			}
		})
	}
}
