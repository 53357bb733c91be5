package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestClassSizesLearnTheMean(t *testing.T) {
	var sizes ClassSizes
	if got := sizes.Mean("summary", 700); got != 700 {
		t.Errorf("size %v before anything was observed, want its own size 700", got)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		sizes.Observe("summary", logNormalLength(random, 9000, 0.5))
		sizes.Observe("question", 800)
	}
	for _, size := range []int{3000, 40_000} {
		want := (maxMeanSamples*9000 + ownSizeWeight*float64(size)) / (maxMeanSamples + ownSizeWeight)
		if got := sizes.Mean("summary", size); math.Abs(got-want) > 0.2*want {
			t.Errorf("a summary of size %d is judged as %.0f, want about %.0f", size, got, want)
		}
	}
	if got := sizes.Mean("question", 800); math.Abs(got-800) > 1 {
		t.Errorf("a question of size 800 is judged as %v, want 800", got)
	}
}

// A few requests that claim an enormous size must not change how all others are judged.
func TestClassSizesBoundSingleSamples(t *testing.T) {
	var sizes ClassSizes
	for range 200 {
		sizes.Observe("question", 800)
	}
	for range 3 {
		sizes.Observe("question", math.MaxInt32)
	}
	if got := sizes.Mean("question", 800); got > 1000 {
		t.Errorf("judged as %.0f after three requests of enormous size, want at most 1000", got)
	}
}

func TestClassSizesAreBounded(t *testing.T) {
	var sizes ClassSizes
	for i := range 3 * maxSizedClasses {
		sizes.Observe(fmt.Sprintf("class-%d", i), 10)
		if len(sizes.classes) > maxSizedClasses {
			t.Fatalf("%d classes remembered", len(sizes.classes))
		}
	}
}
