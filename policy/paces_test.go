package policy

import (
	"testing"
	"time"
)

func TestPacesFadeAndAreBounded(t *testing.T) {
	var p slowdowns
	if got := p.factor(testStart, 7); got != 1 {
		t.Errorf("a server that isn't known takes %.2f times as long", got)
	}
	for i := range 40 {
		p.observe(testStart.Add(time.Duration(i)*100*time.Millisecond), 7, 1.5)
		p.observe(testStart.Add(time.Duration(i)*100*time.Millisecond), 8, 1000)
	}
	now := testStart.Add(4 * time.Second)
	if got := p.factor(now, 7); got < 1.4 || got > 1.5 {
		t.Errorf("half as slow again: %.2f", got)
	}
	if got := p.factor(now, 8); got > maxSlowdown {
		t.Errorf("a server that stood still takes %.2f times as long", got)
	}
	if got := p.factor(now.Add(time.Minute), 7); got > 1.1 {
		t.Errorf("a minute later %.2f", got)
	}
	p.remove(7)
	if got := p.factor(now, 7); got != 1 {
		t.Errorf("once forgotten %.2f", got)
	}
}

// Others may tell of servers that are gone; what is known of them goes too.
func TestPacesAreBounded(t *testing.T) {
	var p slowdowns
	for i := range 10_000 {
		p.observe(testStart.Add(time.Duration(i)*time.Second), Key(i), 1)
	}
	if most := 2 * int(slowdownMaxAge/time.Second); len(p.servers) > most+1 {
		t.Errorf("%d servers are known, one of each second", len(p.servers))
	}
}
