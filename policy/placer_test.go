package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{
			Name: fmt.Sprintf("engine-%04d", i), Zone: fmt.Sprintf("zone-%d", i%4),
			Running: i % 8, Limit: 8, ReportedAt: testStart,
		}
	}
	return list
}

func newTestPlacer() (*Placer, *Ejector) {
	ejector := NewEjector()
	return NewPlacer(rand.New(rand.NewPCG(1, 2)), ejector), ejector
}

func TestPickSkipsUnusableEngines(t *testing.T) {
	p, ejector := newTestPlacer()
	list := candidates(6)
	list[0].Draining = true
	list[1].Down = true
	for range ejectAfterFailures {
		ejector.Observe(testStart, list[2].Name, OutcomeFailed)
	}
	request := PlacementRequest{Exclude: []string{list[3].Name}}
	got := p.Pick(testStart, request, list, 6)
	slices.Sort(got)
	if !slices.Equal(got, []string{list[4].Name, list[5].Name}) {
		t.Errorf("picked %v, want only the usable engines %s and %s", got, list[4].Name, list[5].Name)
	}
	if got := p.Pick(testStart, PlacementRequest{}, nil, 2); len(got) != 0 {
		t.Errorf("picked %v without candidates", got)
	}
}

func TestPickIgnoresEjectionOfMost(t *testing.T) {
	p, ejector := newTestPlacer()
	list := candidates(4)
	for _, c := range list[:3] {
		for range ejectAfterFailures {
			ejector.Observe(testStart, c.Name, OutcomeFailed)
		}
	}
	if got := p.Pick(testStart, PlacementRequest{}, list, 4); len(got) != 4 {
		t.Errorf("picked %v, want all 4 engines although 3 are ejected", got)
	}
}

func TestPrefixAffinityWhileEngineHasRoom(t *testing.T) {
	p, _ := newTestPlacer()
	list := candidates(16)
	for i := range list {
		list[i].Running = 4
	}
	request := PlacementRequest{Prefix: 42}
	home := p.Pick(testStart, request, list, 2)[0]
	for range 20 {
		if got := p.Pick(testStart, request, list, 2)[0]; got != home {
			t.Fatalf("prefix moved from %s to %s while its engine has room", home, got)
		}
	}
	for i := range list {
		if list[i].Name == home {
			list[i].Waiting = 8
		}
	}
	if got := p.Pick(testStart, request, list, 2); slices.Contains(got, home) {
		t.Errorf("prefix still goes to its full engine: picked %v", got)
	}
}

func TestPickPrefersOwnZoneAndLowLoad(t *testing.T) {
	p, _ := newTestPlacer()
	list := candidates(3)
	list[0].Zone, list[0].Running = "own", 4
	list[1].Zone, list[1].Running = "other", 4
	list[2].Zone, list[2].Running, list[2].Waiting = "own", 8, 20
	if got := p.Pick(testStart, PlacementRequest{Zone: "own"}, list, 1)[0]; got != list[0].Name {
		t.Errorf("picked %s, want %s, the less loaded engine of the zone", got, list[0].Name)
	}
	list[0].ReportedAt = testStart.Add(-time.Hour)
	list[2].ReportedAt = time.Time{}
	if got := p.Pick(testStart, PlacementRequest{Zone: "other"}, list, 1)[0]; got != list[1].Name {
		t.Errorf("picked %s, want %s, the engine of the zone", got, list[1].Name)
	}
}
