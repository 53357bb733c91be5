package measure

import (
	"fmt"
	"slices"
)

// sample is one figure of all seeds.
type sample []float64

// sampleOf takes a figure of each round.
func sampleOf(rounds []Round, figure func(Round) float64) sample {
	var s sample
	for _, round := range rounds {
		s = append(s, figure(round))
	}
	slices.Sort(s)
	return s
}

// median is the middle one, or the lower of the two.
func (s sample) median() float64 {
	if len(s) == 0 {
		return 0
	}
	return s[(len(s)-1)/2]
}

// text is the median with the spread, unless all are alike when written.
func (s sample) text(format string) string {
	if len(s) == 0 {
		return "not run"
	}
	middle := fmt.Sprintf(format, s.median())
	low, high := fmt.Sprintf(format, s[0]), fmt.Sprintf(format, s[len(s)-1])
	if low == high {
		return middle
	}
	return fmt.Sprintf("%s (%s to %s)", middle, low, high)
}
