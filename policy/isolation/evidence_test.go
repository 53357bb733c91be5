package isolation

import (
	"testing"
	"time"
)

// Guards against reservations in deployments whose streams meet their pause targets, and for a
// handful of late streams.
func TestReservationNeedsEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		streams, late int
		reserved      bool
	}{
		"none":                {0, 0, false},
		"all on time":         {1000, 0, false},
		"seven late":          {7, 7, false},
		"eight late":          {8, 8, true},
		"one in twenty":       {400, 20, true},
		"under one in twenty": {400, 19, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := &Planner{}, testLoad(40)
			observe(p, testStart, shortLevel, test.streams, test.late)
			if plan := planAt(p, 0, load); (plan.Count > 0) != test.reserved {
				t.Errorf("%d servers reserved after %d of %d late streams", plan.Count, test.late, test.streams)
			}
		})
	}
}

// Guards against late streams of the distant past, and of other levels, as evidence.
func TestOldAndForeignStreamsAreNoEvidence(t *testing.T) {
	p, load := &Planner{}, testLoad(40)
	for i := range 20 {
		observe(p, testStart.Add(time.Duration(i)*10*time.Second), shortLevel, 4, 4)
	}
	if plan := planAt(p, 200*time.Second, load); plan.Count > 0 {
		t.Errorf("%d servers reserved, with four late streams every ten seconds", plan.Count)
	}
	observe(p, testStart, longLevel, 100, 100)
	observe(p, testStart, -1, 100, 100)
	observe(p, testStart, 1000, 100, 100)
	if plan := planAt(p, 201*time.Second, load); plan.Count > 0 {
		t.Errorf("%d servers reserved for late streams of a level with long prompts", plan.Count)
	}
}

// Guards against a reservation that ends as soon as it works, and against one that never ends.
func TestReservationEndsAMinuteAfterTheEvidence(t *testing.T) {
	p, load := &Planner{}, testLoad(40)
	observe(p, testStart, shortLevel, 8, 8)
	for at := time.Duration(0); at < 80*time.Second; at += 50 * time.Millisecond {
		observe(p, testStart.Add(at), shortLevel, 4, 0)
		// The eight late streams count as fewer than eight at once.
		if plan := planAt(p, at, load); (plan.Count > 0) != (at < time.Minute) {
			t.Fatalf("%v after the late streams %d servers are reserved", at, plan.Count)
		}
	}
	observe(p, testStart.Add(80*time.Second), shortLevel, 500, 100)
	if plan := planAt(p, 80*time.Second, load); plan.Count == 0 {
		t.Error("nothing is reserved though streams are late again")
	}
}

// Guards against a reservation that starts with the demand of an earlier one.
func TestNewReservationForgetsEarlierDemand(t *testing.T) {
	p, load := activePlanner(), testLoad(100)
	usual := planAt(p, 0, load).Count
	load.Classes[shortLevel].Rate *= 4
	for at := time.Duration(0); at < 100*time.Second; at += time.Second {
		planAt(p, at, load)
	}
	load.Classes[shortLevel].Rate /= 4
	observe(p, testStart.Add(100*time.Second), shortLevel, 100, 50)
	if plan := planAt(p, 100*time.Second, load); plan.Count != usual {
		t.Errorf("%d servers reserved, want %d", plan.Count, usual)
	}
}
