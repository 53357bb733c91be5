package measure

import (
	"fmt"
	"slices"
)

// sample holds the values of one metric over all seeds, sorted.
type sample []float64

// newSample returns the values of a metric over results.
func newSample(results []Result, metric func(Result) float64) sample {
	var s sample
	for _, result := range results {
		s = append(s, metric(result))
	}
	slices.Sort(s)
	return s
}

// median returns the median, or the lower of the two middle values; 0 if empty.
func (s sample) median() float64 {
	if len(s) == 0 {
		return 0
	}
	return s[(len(s)-1)/2]
}

// formatted returns the median, with the range unless all values are equal as formatted.
func (s sample) formatted(format string) string {
	if len(s) == 0 {
		return "not run"
	}
	median := fmt.Sprintf(format, s.median())
	low, high := fmt.Sprintf(format, s[0]), fmt.Sprintf(format, s[len(s)-1])
	if low == high {
		return median
	}
	return fmt.Sprintf("%s (%s to %s)", median, low, high)
}
