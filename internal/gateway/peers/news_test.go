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
