package policy

import (
	"testing"
	"time"
)

func TestSlowdownDecaysAndIsBounded(t *testing.T) {
	var s slowdowns
	if got := s.factor(testStart, 7); got != 1 {
		t.Errorf("slowdown of an unknown server: %.2f", got)
	}
	for i := range 40 {
		s.observe(testStart.Add(time.Duration(i)*100*time.Millisecond), 7, 1.5)
		s.observe(testStart.Add(time.Duration(i)*100*time.Millisecond), 8, 1000)
	}
	now := testStart.Add(4 * time.Second)
	if got := s.factor(now, 7); got < 1.4 || got > 1.5 {
		t.Errorf("slowdown of a server that takes 1.5 times as long: %.2f", got)
	}
	if got := s.factor(now, 8); got > maxSlowdown {
		t.Errorf("slowdown of a server that hung: %.2f", got)
	}
	if got := s.factor(now.Add(time.Minute), 7); got > 1.1 {
		t.Errorf("slowdown a minute later: %.2f", got)
	}
	s.remove(7)
	if got := s.factor(now, 7); got != 1 {
		t.Errorf("slowdown of a removed server: %.2f", got)
	}
}

// Other gateways may report on servers after they are gone; their entries expire.
func TestSlowdownEntriesExpire(t *testing.T) {
	var s slowdowns
	for i := range 10_000 {
		s.observe(testStart.Add(time.Duration(i)*time.Second), Key(i), 1)
	}
	if most := 2 * int(slowdownMaxAge/time.Second); len(s.servers) > most+1 {
		t.Errorf("%d entries remain, one of each second", len(s.servers))
	}
}
