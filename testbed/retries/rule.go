// Package retries judges the sends of gateways by the bound on retries that holds over all of them.
package retries

import (
	"slices"
	"time"
)

// Rule bounds the retries of one service: those in any span of Window may not exceed Ratio times its
// requests plus Extra. The requests are those in the span, in the one before it, or in the one that begins
// half a window earlier, whichever are most.
type Rule struct {
	Ratio, Extra float64
	Window       time.Duration
}

// Span is the span of a window's length that comes closest to the bound, or exceeds it most.
type Span struct {
	From time.Time
	// Retries is how many retries the span has, and Allowed how many are allowed.
	Retries int
	Allowed float64
}

// Excess returns how many retries the span has beyond those allowed; it is negative within the bound.
func (s Span) Excess() float64 { return float64(s.Retries) - s.Allowed }

// Send is a request as a backend server received it.
type Send struct {
	ID string
	At time.Time
}

// Retries returns the times of all sends but the first of each request.
func Retries(sends []Send) []time.Time {
	sends = slices.Clone(sends)
	slices.SortStableFunc(sends, func(a, b Send) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var retries []time.Time
	for _, s := range sends {
		if seen[s.ID] {
			retries = append(retries, s.At)
		}
		seen[s.ID] = true
	}
	return retries
}

// Worst returns the span with the largest excess, given the times of the service's requests and of its
// retries. Without retries it is the zero Span.
func (r Rule) Worst(requests, retries []time.Time) Span {
	requests, retries = slices.Clone(requests), slices.Clone(retries)
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(retries, time.Time.Compare)
	var worst Span
	consider := func(from time.Time) {
		s := Span{From: from, Retries: countIn(retries, from, r.Window)}
		mostRequests := max(countIn(requests, from, r.Window), countIn(requests, from.Add(-r.Window), r.Window), countIn(requests, from.Add(-r.Window/2), r.Window))
		s.Allowed = r.Ratio*float64(mostRequests) + r.Extra
		if worst.From.IsZero() || s.Excess() > worst.Excess() {
			worst = s
		}
	}
	for _, at := range retries {
		consider(at)
		// The span that ends with this retry.
		consider(at.Add(1 - r.Window))
	}
	return worst
}

// countIn returns how many of the sorted times are in the span of a length from a time on.
func countIn(times []time.Time, from time.Time, length time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(length), time.Time.Compare)
	return end - first
}
