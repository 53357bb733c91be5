package history

import "fmt"

// Point numbers one of the promises that must always hold.
type Point int

// The promises, in the order of the project's list.
const (
	// PointTopTier: top-tier work is not refused or cancelled while lower
	// work of the same kind is let in.
	PointTopTier Point = iota + 1
	// PointServed: every call has an end, and every class is served again
	// once faults are lifted.
	PointServed
	// PointWhole: a whole answer is the caller's own, and a failed one is a
	// visible failure that holds nothing foreign.
	PointWhole
	// PointNotRun: what was said not to have run did not run.
	PointNotRun
	// PointOnce: what must not be repeated runs at most once, and unknown is
	// said only when something failed.
	PointOnce
	// PointLeaving: a leaving backend server gets no new work after a limit.
	PointLeaving
	// PointStop: a planned stop cuts off nothing.
	PointStop
	// PointTargets: an accepted change is in force within its limit and
	// never reverts.
	PointTargets
	// PointLease: nobody acts on a lease that is no longer his. It is no
	// promise of its own, but what others rest on.
	PointLease
)

// Violation is one breach of a promise.
type Violation struct {
	Point Point `json:"point"`
	// Subject names the call, run or process concerned.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("point %d: %s: %s", v.Point, v.Subject, v.Detail)
}

// Check judges a history against all promises; none broken gives nil.
func Check(h History) []Violation {
	x := newIndexed(h)
	var all []Violation
	for _, check := range []func(*indexed) []Violation{
		checkTopTier,
		checkServed,
		checkBound,
		checkWhole,
		checkNotRun,
		checkOnce,
		checkUnknown,
		checkLeaving,
		checkStops,
		checkVersions,
		checkChanges,
		checkFences,
	} {
		all = append(all, check(x)...)
	}
	return all
}
