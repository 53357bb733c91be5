package usage

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

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
		// Four seconds began, and what the last of them had may be lost.
		began := int64(perWindow) * 4 / 5
		lost := int64(perWindow) / 5
		f.expectReported(t, window, window, began-lost/2, float64(lost/2)/float64(began-lost/2))
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
		f.load(27 * time.Second)
		if now := f.holder(t); now.Name == holder.Name || now.Generation() <= generation {
			t.Errorf("%s holds generation %d after %s was refused with %d", now.Name, now.Generation(), holder.Name, generation)
		}
		f.judge.mu.Lock()
		defer f.judge.mu.Unlock()
		if got := f.judge.refused[generation]; got != 1 {
			t.Errorf("%d calls were refused under generation %d, want the one that told of it", got, generation)
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

// At the size of the largest deployment of today one of all reports, and a herd that is
// killed takes at most what it hasn't sent.
func TestManyGatewaysHaveOneReporter(t *testing.T) {
	const gateways = 68
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range gateways {
			names = append(names, fmt.Sprintf("gateway-%02d", i))
		}
		f := newFleet(t, names...)
		f.load(15 * time.Second)
		first := thisWindow()
		for _, m := range append([]*member(nil), f.members[:gateways/2]...) {
			f.kill(m)
		}
		f.load(20 * time.Second)
		f.expectReported(t, first+1, thisWindow()-2, gateways/2*perWindow/3, 0.02)
		holders := 0
		for _, m := range append([]*member(nil), f.members...) {
			if m.Holds() {
				holders++
			}
			f.kill(m)
		}
		if holders != 1 {
			t.Errorf("%d hold the duty", holders)
		}
		f.stop()
		f.gossiping.Wait()
	})
}
