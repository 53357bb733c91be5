package soak

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Guards against a time limit that ends while the whole machine stands still and is reported as if the
// process had had that time.
func TestStallsAreReported(t *testing.T) {
	h := validHistory()
	h.Stops[0].Failed = true
	h.Stalls = []Stall{
		{From: at(1), To: at(9), Monotonic: 8 * time.Second, Wall: 8 * time.Second},
		{From: at(20), To: at(20), Wall: 5 * time.Second},
		{From: at(21), To: at(22), Monotonic: time.Second, Wall: time.Second},
	}
	violations := Check(*h)
	if len(violations) != 1 || !strings.Contains(violations[0].String(), "stall of the soak meanwhile: 5s") {
		t.Errorf("violations %v, want one that names a stall of 5 s", violations)
	}
}

// Guards against a watch that sees no stall, or one where there is none.
func TestStallsAreSeen(t *testing.T) {
	begin := time.Now()
	for gap, want := range map[time.Duration]bool{0: false, stallCheckInterval: false, minStall: true, time.Minute: true} {
		if stall, ok := newStall(begin, begin.Add(gap)); ok != want || ok && (stall.Monotonic != gap || stall.Wall != gap) {
			t.Errorf("gap of %v: %+v, %v; want %v", gap, stall, ok, want)
		}
	}
	h := &harness{}
	ctx, cancel := context.WithTimeout(t.Context(), 3*stallCheckInterval)
	defer cancel()
	h.watchStalls(ctx)
}
