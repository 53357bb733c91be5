package overload

import (
	"testing"
	"testing/synctest"
	"time"
)

// pausedShare asks a Monitor for a second, and returns for which share of it work was refused.
func pausedShare(m *Monitor) float64 {
	var paused time.Duration
	for range 100 {
		paused += m.Pause()
		time.Sleep(10 * time.Millisecond)
	}
	return paused.Seconds()
}

// A process whose timers are late refuses work for a growing part of the time, and for less again once
// they are prompt. A single long delay, as after a suspension, changes nothing, and neither does one that
// a used-up processor quota explains.
func TestPausesFollowDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []bool
		m := New(func(refusing bool) { changes = append(changes, refusing) })
		// Probes of its own would be prompt.
		m.probing = true
		record := func(n int, delay time.Duration) {
			for range n {
				m.record(delay)
				m.probing = true
			}
		}
		record(10, time.Millisecond)
		record(1, 3*time.Second)
		record(10, 45*time.Millisecond)
		if share := pausedShare(m); share != 0 {
			t.Errorf("paused %.2f of the time after one late timer", share)
		}
		record(6, 90*time.Millisecond)
		if share := pausedShare(m); share < 0.2 || share > 0.8 {
			t.Errorf("paused %.2f of the time half a second after timers began to be late", share)
		}
		record(100, 90*time.Millisecond)
		if share := pausedShare(m); share < 0.9 || share > 0.99 {
			t.Errorf("paused %.2f of the time while timers stay late, want nearly all", share)
		}
		record(30, time.Millisecond)
		if share := pausedShare(m); share != 0 {
			t.Errorf("paused %.2f of the time three seconds after timers were prompt again", share)
		}
		if len(changes) != 2 || !changes[0] || changes[1] {
			t.Errorf("changes %v, want one to refusing and one back", changes)
		}
	})
}

// Guards against refusing the first work after a quiet time because of an overload before it.
func TestPauseEndsWithoutProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(nil)
		for range 20 {
			m.record(90 * time.Millisecond)
		}
		m.probed = time.Now()
		if m.Pause() == 0 {
			t.Fatal("no pause while timers are late")
		}
		time.Sleep(staleAfter + time.Second)
		if pause := m.Pause(); pause != 0 {
			t.Errorf("paused for %v after a quiet time", pause)
		}
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// A Monitor probes while it is asked, and leaves no timer behind.
func TestMonitorProbesWhileAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(nil)
		for range 35 {
			m.Pause()
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if m.next == 0 {
			t.Error("no probe in a third of a second")
		}
		if m.paused != 0 {
			t.Errorf("paused %.2f of the time though no timer was late", m.paused)
		}
	})
}
