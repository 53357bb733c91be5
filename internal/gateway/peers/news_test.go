package peers

import (
	"reflect"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

func TestNewsArePassedOn(t *testing.T) {
	a, b, _ := meshes(t)
	told := policy.News{
		Uses:       []policy.Use{{Server: 0xfffffff0, Part: 1<<63 + 5, Read: true}, {Server: 2, Part: 3}},
		Firsts:     []policy.FirstToken{{Service: 9, Server: 2, Urgency: 4, Ahead: 12_000, Took: 250 * time.Millisecond}},
		Unanswered: []policy.Key{0xfffffff0, 0xfffffff0},
		Pauses:     []policy.Pause{{Service: 9, Server: 0xfffffff0, Urgency: 3, Longest: 118 * time.Millisecond}},
	}
	a.News = func() policy.News { return told }
	var heard []policy.News
	b.Heard = func(n policy.News) { heard = append(heard, n) }
	pass(t, a, b)
	if len(heard) != 1 || !reflect.DeepEqual(heard[0], told) {
		t.Fatalf("heard %+v, told %+v", heard, told)
	}
	// Levels of urgency that aren't known here count as the least urgent.
	told.Firsts[0].Urgency, told.Pauses[0].Urgency = 200, 201
	pass(t, a, b)
	if got := heard[1].Firsts[0].Urgency; got != policy.UrgencyLevels-1 {
		t.Errorf("level 200 came as %d", got)
	}
	if got := heard[1].Pauses[0].Urgency; got != policy.UrgencyLevels-1 {
		t.Errorf("level 201 came as %d", got)
	}
	// Without news nobody is called.
	told = policy.News{}
	pass(t, a, b)
	if len(heard) != 2 {
		t.Errorf("%d times news, want 2", len(heard))
	}
}

// What one gateway knows of a request that crashes servers the others know as it is,
// however far their clocks are apart.
func TestSuspicionsArePassedOn(t *testing.T) {
	a, b, _ := meshes(t)
	now := time.Now()
	told := []policy.Suspicion{
		{Fingerprint: 1<<63 + 5, Crashes: []policy.Crash{{Start: 0xfffffff0, At: now.Add(-time.Hour)}, {Start: 3, At: now}}},
		{Fingerprint: 7, Cleared: now.Add(-time.Minute)},
	}
	a.News = func() policy.News { return policy.News{Suspicions: told} }
	var heard []policy.Suspicion
	b.Heard = func(n policy.News) { heard = append(heard, n.Suspicions...) }
	pass(t, a, b)
	if len(heard) != 2 || heard[0].Fingerprint != told[0].Fingerprint || len(heard[0].Crashes) != 2 || !heard[0].Cleared.IsZero() || heard[1].Crashes != nil {
		t.Fatalf("heard %+v, told %+v", heard, told)
	}
	near := func(got, want time.Time) {
		t.Helper()
		if d := got.Sub(want); d < -time.Second || d > time.Second {
			t.Errorf("%v, %v away from what was told", got, d)
		}
	}
	near(heard[0].Crashes[0].At, told[0].Crashes[0].At)
	near(heard[0].Crashes[1].At, told[0].Crashes[1].At)
	near(heard[1].Cleared, told[1].Cleared)
}
