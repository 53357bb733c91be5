package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Where servers have a few slots left each, and fewer in all than other senders
// want, what senders take comes to about what is left, and is spread over the
// servers. A chance at each server would add up.
func TestFewSlotsAreTakenOnceAndEvenly(t *testing.T) {
	const senders, roomy, each = 90, 7, 2
	servers := serversOf(50)
	full := int(fullSlots * float64(servers[0].Slots))
	for i := range servers {
		servers[i].Running = full
	}
	for i := range roomy {
		servers[5*i].Running = full - each
	}
	question := Job{Zone: "z", Target: 250 * time.Millisecond, Tokens: 800, Unseen: senders - 1}
	const rounds = 50
	sent, at := 0, map[int]int{}
	for round := range rounds {
		for i := range senders {
			c := NewChooser(rand.New(rand.NewPCG(uint64(i), uint64(round))), NewEjector(), NewPrefixIndex())
			if choice := c.Choose(testStart, question, servers, nil); choice.InTime {
				sent++
				at[choice.At]++
			}
		}
	}
	left := 0.0
	for i := range servers {
		left += max(servers[i].slotsLeft(question), 0)
	}
	if left < roomy*each {
		t.Fatalf("%.1f slots left, the test is about %d", left, roomy*each)
	}
	if mean := float64(sent) / rounds; mean < 0.8*left || mean > 1.25*left {
		t.Errorf("%.1f requests are sent at the mean where %.0f slots are left", mean, left)
	}
	for server, n := range at {
		if mean, has := float64(n)/rounds, servers[server].slotsLeft(question); mean > 1.5*has {
			t.Errorf("server %d gets %.1f at the mean, and has %.0f slots left", server, mean, has)
		}
	}
}

// A level leaves slots before any refusal where more than usual is offered above
// it, as much as that makes of the slots in use, and none a few seconds later.
func TestLevelsLeaveWhatRisesAbove(t *testing.T) {
	var y Yielding
	var s Shortage
	now, busy := testStart, 0.6
	play := func(d time.Duration, urgent float64) float64 {
		s[3].Offered, s[4].Offered = urgent, 100
		share := 0.0
		for until := now.Add(d); now.Before(until); now = now.Add(50 * time.Millisecond) {
			share = y.Share(now, &s, busy, 4)
		}
		return share
	}
	if share := play(10*time.Second, 200); share > 0.01 {
		t.Errorf("%.2f left though nothing rises", share)
	}
	if share := play(500*time.Millisecond, 400); share < 0.2 || share > yieldMost {
		t.Errorf("%.2f left half a second after what is more urgent doubled", share)
	}
	if own, above := y.Share(now, &s, busy, 3), y.Share(now, &s, busy, 0); own != 0 || above != 0 {
		t.Errorf("%.2f and %.2f left by those that nothing rises above", own, above)
	}
	if share := play(15*time.Second, 400); share > 0.02 {
		t.Errorf("%.2f left long after", share)
	}
	// A few requests at a level that few are offered at are no rise of note.
	s[0].Offered = 6
	if share := play(300*time.Millisecond, 400); share > 0.02 {
		t.Errorf("%.2f left for six requests among hundreds", share)
	}
}

// A sender that has just started doesn't take all that it hears of for a rise.
func TestNothingRisesAtTheStart(t *testing.T) {
	var y Yielding
	var s Shortage
	s[3].Offered, s[4].Offered = 300, 100
	for at := range 20 {
		now := testStart.Add(time.Duration(at) * 100 * time.Millisecond)
		if share := y.Share(now, &s, 0.9, 4); share > 0.01 {
			t.Fatalf("%.2f left %v after the start", share, now.Sub(testStart))
		}
	}
}

func TestSlotsInUse(t *testing.T) {
	if got := SlotsInUse(nil); got != 0 {
		t.Errorf("%v of no slots in use", got)
	}
	servers := serversOf(2)
	servers[0].Running, servers[1].Running = 16, 8
	servers[1].Pending[3].Requests = 8
	servers = append(servers, Server{Name: "plain", Running: 50})
	if got := SlotsInUse(servers); got != 0.5 {
		t.Errorf("%v of the slots in use, want half: unknown slots don't count", got)
	}
}

// A handful of requests that are more urgent and find no slot doesn't take the
// slots from hundreds that are less so: no level leaves more than the part that
// is offered above it.
func TestLevelsLeaveNoMoreThanIsOfferedAbove(t *testing.T) {
	var y Yielding
	var s Shortage
	s[0].Offered, s[0].Lacked = 8, 4
	s[3].Offered, s[3].Lacked = 392, 150
	s[4].Offered, s[4].Lacked = 130, 130
	for at := range 60 {
		now := testStart.Add(time.Duration(at) * 50 * time.Millisecond)
		if share := y.Share(now, &s, 0.9, 3); share > 0.04 {
			t.Fatalf("%.2f of the slots left to 8 requests of 530, %v after the start", share, now.Sub(testStart))
		}
	}
	if share := y.Share(testStart.Add(3*time.Second), &s, 0.9, 4); share < yieldMost-0.05 {
		t.Errorf("%.2f left to 400 requests of 530 of which many are refused", share)
	}
}

// A few refusals above a level make it leave a few slots, however much is offered
// there: what was let in above has its slots already.
func TestLevelsLeaveAsMuchAsIsRefusedAbove(t *testing.T) {
	var y Yielding
	var s Shortage
	s[0].Offered, s[0].Lacked = 182, 3
	s[1].Offered, s[1].Lacked = 44, 3
	s[3].Offered, s[3].Lacked = 470, 200
	for at := range 60 {
		now := testStart.Add(time.Duration(at) * 50 * time.Millisecond)
		// 6 of the 490 that are let in would hold a hundredth of the slots in use.
		if share := y.Share(now, &s, 0.9, 3); share > 0.03 {
			t.Fatalf("%.2f of the slots left for 6 refusals beside 490 that are let in, %v after the start", share, now.Sub(testStart))
		}
	}
}
