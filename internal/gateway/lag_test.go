package gateway

import (
	"slices"
	"testing"
	"time"
)

// Another gateway is asked once the store has had its time, and not again before
// the store has had it once more: what it hands over may be of no use.
func TestOthersAreAskedNoMoreOftenThanTheStoreNeeds(t *testing.T) {
	var l lag
	start := time.Unix(0, 0)
	var asked []time.Duration
	for at := time.Duration(0); at <= 2*time.Second; at += learnEvery {
		if l.due(start.Add(at), at != time.Second) {
			asked = append(asked, at)
		}
	}
	var want []time.Duration
	for _, ms := range []int{300, 600, 900, 1400, 1700, 2000} {
		want = append(want, time.Duration(ms)*time.Millisecond)
	}
	if !slices.Equal(asked, want) {
		t.Errorf("asked at %v, want %v", asked, want)
	}
}
