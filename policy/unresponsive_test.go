package policy

import (
	"testing"
	"time"
)

func TestServerThatAnswersNobodyIsLeftOut(t *testing.T) {
	s, now := NewUnresponsive(), testStart
	for i := range unresponsiveThreshold {
		if s.LeftOut(now, 7) {
			t.Fatalf("left out after %d requests", i)
		}
		s.Unanswered(now, 7)
	}
	if !s.LeftOut(now, 7) || s.LeftOut(now, 8) {
		t.Error("the unresponsive server is used, or another left out")
	}
	// Those that were on their way don't keep it out for longer.
	s.Unanswered(now.Add(exclusionTime/2), 7)
	now = now.Add(exclusionTime)
	if s.LeftOut(now, 7) {
		t.Error("it isn't tried again")
	}
	s.Unanswered(now, 7)
	if !s.LeftOut(now, 7) {
		t.Error("one more without an answer doesn't leave it out again")
	}
	s.Answered(7)
	if s.LeftOut(now, 7) {
		t.Error("it is left out though it answers")
	}
}

// A server that loses some answers, or is cut off from one sender of many, is used.
func TestServerThatAnswersSomeIsUsed(t *testing.T) {
	s := NewUnresponsive()
	for i := range 200 {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		if i%3 == 0 {
			s.Answered(7)
		} else {
			s.Unanswered(now, 7)
		}
		if s.LeftOut(now, 7) {
			t.Fatalf("left out after %d requests, of which a third is answered", i)
		}
	}
	s.Forget(7)
	if len(s.servers) != 0 {
		t.Errorf("%d servers are known", len(s.servers))
	}
}

func TestMissesAreForgotten(t *testing.T) {
	s := NewUnresponsive()
	for i := range 10_000 {
		s.Unanswered(testStart.Add(time.Duration(i)*time.Second), Key(i))
	}
	if most := 2 * int(missRecordTTL/time.Second); len(s.servers) > most+1 {
		t.Errorf("%d unresponsive servers are known, one of each second", len(s.servers))
	}
}

// Unresponsive servers are used where most of all are: then the fault is more likely the
// sender's, or the rest can't bear the load.
func TestUnresponsiveAreChosenLast(t *testing.T) {
	c, servers := newTestChooser(), serversOf(4)
	servers[1].Unresponsive = true
	for range 50 {
		if at := c.Choose(testStart, summary(5), servers, nil).At; at == 1 {
			t.Fatal("an unresponsive server is chosen")
		}
	}
	servers[0].Unresponsive, servers[2].Unresponsive = true, true
	chosen := map[int]bool{}
	for prefix := range uint64(50) {
		chosen[c.Choose(testStart, summary(prefix+1), servers, nil).At] = true
	}
	if len(chosen) < 2 {
		t.Errorf("of four servers, three of them unresponsive, %v are chosen", chosen)
	}
}
