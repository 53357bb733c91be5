package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestClassSizesLearnTheMean(t *testing.T) {
	var s ClassSizes
	if got := s.Mean("summary", 700); got != 700 {
		t.Errorf("judged by %v before anything was offered, its own size is 700", got)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		s.Observe("summary", logNormal(random, 9000, 0.5))
		s.Observe("question", 800)
	}
	for _, own := range []int{3000, 40_000} {
		want := (sizeSamples*9000 + ownSamples*float64(own)) / (sizeSamples + ownSamples)
		if got := s.Mean("summary", own); math.Abs(got-want) > 0.2*want {
			t.Errorf("a summary of %d is judged by %.0f, want about %.0f", own, got, want)
		}
	}
	if got := s.Mean("question", 800); math.Abs(got-800) > 1 {
		t.Errorf("a question of 800 among such is judged by %v", got)
	}
}

// A few requests that claim an enormous size don't change by what all others are judged.
func TestClassSizesBoundOneRequest(t *testing.T) {
	var s ClassSizes
	for range 200 {
		s.Observe("question", 800)
	}
	for range 3 {
		s.Observe("question", math.MaxInt32)
	}
	if got := s.Mean("question", 800); got > 1000 {
		t.Errorf("judged by %.0f after three that claim more than all memory holds", got)
	}
}

func TestClassSizesAreBounded(t *testing.T) {
	var s ClassSizes
	for i := range 3 * maxSizedClasses {
		s.Observe(fmt.Sprintf("class-%d", i), 10)
		if len(s.classes) > maxSizedClasses {
			t.Fatalf("%d classes are remembered", len(s.classes))
		}
	}
}
