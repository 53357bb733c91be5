package policy

import (
	"testing"
	"time"
)

func TestUnresponsiveServerIsExcluded(t *testing.T) {
	s, now := NewUnresponsiveServers(), testStart
	for i := range unresponsiveThreshold {
		if s.Excluded(now, 7) {
			t.Fatalf("excluded after %d requests", i)
		}
		s.RecordNoResponse(now, 7)
	}
	if !s.Excluded(now, 7) || s.Excluded(now, 8) {
		t.Error("the unresponsive server is used, or another one is excluded")
	}
	// Requests that were sent before the exclusion don't extend it.
	s.RecordNoResponse(now.Add(exclusionTime/2), 7)
	now = now.Add(exclusionTime)
	if s.Excluded(now, 7) {
		t.Error("the server isn't tried again")
	}
	s.RecordNoResponse(now, 7)
	if !s.Excluded(now, 7) {
		t.Error("another unanswered request doesn't exclude the server again")
	}
	s.RecordResponse(7)
	if s.Excluded(now, 7) {
		t.Error("the server is excluded although it answers")
	}
}

// Guards against excluding a server that loses some responses, or that one of many gateways
// can't reach.
func TestServerWithSomeResponsesIsUsed(t *testing.T) {
	s := NewUnresponsiveServers()
	for i := range 200 {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		if i%3 == 0 {
			s.RecordResponse(7)
		} else {
			s.RecordNoResponse(now, 7)
		}
		if s.Excluded(now, 7) {
			t.Fatalf("excluded after %d requests, of which a third is answered", i)
		}
	}
	s.RemoveServer(7)
	if len(s.servers) != 0 {
		t.Errorf("%d servers remain", len(s.servers))
	}
}

func TestUnansweredRecordsExpire(t *testing.T) {
	s := NewUnresponsiveServers()
	for i := range 10_000 {
		s.RecordNoResponse(testStart.Add(time.Duration(i)*time.Second), Key(i))
	}
	if most := 2 * int(unansweredRecordTTL/time.Second); len(s.servers) > most+1 {
		t.Errorf("%d records remain of one a second, want at most %d", len(s.servers), most+1)
	}
}

// Guards against choosing an unresponsive server beside others, and against excluding most
// servers: if most are unresponsive, the cause is more likely in the gateway, or the other
// servers can't carry the load.
func TestUnresponsiveServersAreChosenLast(t *testing.T) {
	c, servers := newTestChooser(), idleServers(4)
	servers[1].Unresponsive = true
	for range 50 {
		if at := c.Choose(testStart, summaryJob(5), servers, nil).Index; at == 1 {
			t.Fatal("an unresponsive server is chosen")
		}
	}
	servers[0].Unresponsive, servers[2].Unresponsive = true, true
	chosen := map[int]bool{}
	for prefix := range uint64(50) {
		chosen[c.Choose(testStart, summaryJob(prefix+1), servers, nil).Index] = true
	}
	if len(chosen) < 2 {
		t.Errorf("of four servers, three of them unresponsive, %v are chosen", chosen)
	}
}
